package linework

import (
	"fmt"
	"slices"

	"applequay/internal/connection/wire"
	"applequay/internal/process/frame"
)

// otherFront is what this lineman knows of another front, for as long as keys
// sent by it may come again.
type otherFront struct {
	name    string
	stands  bool
	stoodMs int64 // when it last stood, by this node's own time
	stoodAt int64 // and by the clocks
	mark    int64 // of its worker list
	learnt  int64 // when it learned that mark; nought if it never had another
}

// listFact tells the other fronts which worker list this one goes by.
const listFact = "list"

// learntList notes when this front's list changed. The first of a life counts
// as known for ever: this front never went by an older one.
func (l *Line) learntList(mark int64) {
	if l.marks[frame.DirectoryKey] == 0 {
		l.listAt = 0
	} else {
		l.listAt = l.members.Wall(l.now)
	}
	l.members.Set(listFact, fmt.Sprintf("%d@%d", mark, l.listAt))
}

// watchFronts keeps account of the other fronts, those that went among them.
func (l *Line) watchFronts(now int64) {
	wall := l.members.Wall(now)
	for _, member := range l.members.All() {
		if member.Role != "lineman" || member.ID == l.boot.ID {
			continue
		}
		stands := wire.Standing(member.Standing) < wire.StandingLeaving
		kept, known := l.fronts[member.ID]
		if !known {
			kept = &otherFront{name: member.Name, stoodMs: now, stoodAt: wall}
			l.fronts[member.ID] = kept
		}
		if kept.stands = stands; stands {
			kept.stoodMs, kept.stoodAt = now, wall
		}
		var mark, learnt int64
		if _, err := fmt.Sscanf(member.Fact[listFact], "%d@%d", &mark, &learnt); err == nil && mark >= kept.mark {
			kept.mark, kept.learnt = mark, learnt
		}
	}
	for id, kept := range l.fronts {
		if now-kept.stoodMs > 2*l.boot.KeyMs {
			delete(l.fronts, id)
		}
	}
}

// inTouch tells whether this front would hear of a new list: it knows the
// others, is not behind them, and reaches a majority of the core or of the
// fronts. A front that does not for long sends no keys anywhere.
func (l *Line) inTouch() bool {
	if len(l.members.All()) == 1 || l.marks[frame.DirectoryKey] == 0 {
		return false
	}
	names, stand := map[string]bool{l.boot.Name: true}, map[string]bool{l.boot.Name: true}
	for _, front := range l.fronts {
		if front.stands && front.mark > l.marks[frame.DirectoryKey] {
			return false
		}
		names[front.name] = true
		if front.stands {
			stand[front.name] = true
		}
	}
	return l.members.Majority(l.proposer.Core().Seats) || 2*len(stand) > len(names)
}

// settle raises the mark up to which lists that were replaced do not matter any
// more: every front has gone by a newer one for longer than a key may be
// repeated. It never falls.
func (l *Line) settle(now int64) {
	wall, keyMs := l.members.Wall(now), l.boot.KeyMs
	for _, roster := range l.rosters {
		if roster.UntilMs == 0 || roster.Mark <= l.settled {
			continue
		}
		fresh := func(mark, learnt int64) bool { return mark < roster.Mark || (learnt > 0 && wall < learnt+keyMs) }
		open := wall < roster.UntilMs+keyMs*3/2 || fresh(l.marks[frame.DirectoryKey], l.listAt)
		for _, front := range l.fronts {
			open = open || fresh(front.mark, front.learnt)
		}
		if open {
			return
		}
		l.settled = roster.Mark
	}
}

// contact tells the switchboard that keys may be sent, and which old lists
// still matter for them.
func (l *Line) contact(now int64, out *wire.Outputs) {
	l.watchFronts(now)
	l.settle(now)
	if l.inTouch() {
		out.Send(l.boot.Switchboard, wire.KindContact, &wire.Contact{Settled: l.settled, KeyMs: l.boot.KeyMs, AnswerMs: l.boot.LeaseMs / 4})
	}
}

// sortedRosters are those of a list by the marks that replaced them.
func sortedRosters(list *wire.WorkerList) []wire.Roster {
	return slices.SortedFunc(slices.Values(list.Rosters), func(a, b wire.Roster) int { return int(a.Mark - b.Mark) })
}
