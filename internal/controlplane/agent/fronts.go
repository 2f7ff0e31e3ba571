package agent

import (
	"fmt"
	"maps"
	"slices"
	"strconv"

	"applequay/internal/controlplane/controller"
	"applequay/internal/transport/wire"
)

// otherFront is what this agent knows of another front, for as long as keys
// sent by it may come again.
type otherFront struct {
	name    string
	stands  bool
	seenAt  int64 // when it was first seen, by the clocks
	stoodMs int64 // when it last stood, by this node's own time
	stoodAt int64 // and by the clocks
	version int64 // of its worker list
	learnt  int64 // when it learned that version; nought if it never had another
	bareAt  int64 // when it last sent a key that no other front knew of
}

// Facts tell the other fronts which worker list this one goes by, and when it
// last sent a key that nobody else knew of.
const (
	listFact = "list"
	bareFact = "bare"
)

// mostProbes is within how many probes a front that went is surely missed.
const mostProbes = 16

// graceMs is for how long a front that lost sight of the others sends no keys.
func (a *Agent) graceMs() int64 { return 2 * a.boot.LeaseMs }

// learntList notes when this front's list changed. The first of a life counts
// as known for ever: this front never went by an older one.
func (a *Agent) learntList(version int64) {
	if a.versions[controller.DirectoryKey] == 0 {
		a.listAt = 0
	} else {
		a.listAt = a.members.Wall(a.now)
	}
	a.list = fmt.Sprintf("%d@%d", version, a.listAt)
	a.tellList()
}

// tellList tells the others by which list this front goes: at once, but where lists
// follow one another soon only the last of them. Until then this front passes for
// one that goes by an older list, which refuses keys and sends none.
func (a *Agent) tellList() {
	if a.list != "" && a.now-a.listToldMs >= a.boot.LeaseMs/2 {
		a.listToldMs = a.now
		a.members.Set(listFact, a.list)
	}
}

// watchFronts keeps account of the other fronts, those that went among them.
func (a *Agent) watchFronts(now int64) {
	wall := a.members.Wall(now)
	if version := a.members.Version(); version != a.frontsOf {
		a.frontsOf = version
		for _, member := range a.members.All() {
			if member.Role == "agent" && member.ID != a.boot.ID {
				a.sawFront(now, wall, member)
			}
		}
	}
	for id, kept := range a.fronts {
		if kept.stands {
			kept.stoodMs, kept.stoodAt = now, wall
		}
		if now-kept.stoodMs > 2*a.boot.KeyMs {
			delete(a.fronts, id)
		}
	}
}

// sawFront takes what is new of another front.
func (a *Agent) sawFront(now, wall int64, member wire.Member) {
	kept, known := a.fronts[member.ID]
	if !known {
		kept = &otherFront{name: member.Name, stoodMs: now, stoodAt: wall, seenAt: wall}
		a.fronts[member.ID] = kept
	}
	kept.stands = wire.Standing(member.Standing) < wire.StandingLeaving
	var version, learnt int64
	if _, err := fmt.Sscanf(member.Fact[listFact], "%d@%d", &version, &learnt); err == nil && version >= kept.version {
		kept.version, kept.learnt = version, learnt
	}
	if bare, err := strconv.ParseInt(member.Fact[bareFact], 10, 64); err == nil {
		kept.bareAt = max(kept.bareAt, bare)
	}
}

// inTouch tells whether this front would hear of a new list: it knows the
// others, is not behind them, and reaches a majority of the core or of the
// fronts. A front that does not for long sends no keys anywhere.
func (a *Agent) inTouch() bool {
	if len(a.members.All()) == 1 || a.versions[controller.DirectoryKey] == 0 {
		return false
	}
	names, stand := map[string]bool{a.boot.Name: true}, map[string]bool{a.boot.Name: true}
	for _, front := range a.fronts {
		if front.stands && front.version > a.versions[controller.DirectoryKey] {
			return false
		}
		names[front.name] = true
		if front.stands {
			stand[front.name] = true
		}
	}
	return a.members.Majority(a.proposer.Core().Voters) || 2*len(stand) > len(names)
}

// settle raises the version up to which lists that were replaced do not matter any
// more: every front has gone by a newer one for longer than a key may be
// repeated. It never falls.
func (a *Agent) settle(now int64) {
	wall, keyMs := a.members.Wall(now), a.boot.KeyMs
	for _, roster := range a.rosters {
		if roster.UntilMs == 0 || roster.Version <= a.settled {
			continue
		}
		fresh := func(version, learnt int64) bool {
			return version < roster.Version || (learnt > 0 && wall < learnt+keyMs)
		}
		open := wall < roster.UntilMs+keyMs*3/2 || fresh(a.versions[controller.DirectoryKey], a.listAt)
		for _, front := range a.fronts {
			open = open || fresh(front.version, front.learnt)
		}
		if open {
			return
		}
		a.settled = roster.Version
	}
}

// contact tells the proxy that keys may be sent, and which old lists
// still matter for them; false if nothing is to be told.
func (a *Agent) contact(now int64, out *wire.Outputs) bool {
	a.tellList()
	a.watchFronts(now)
	a.settle(now)
	if !a.inTouch() {
		a.toldContact = wire.Contact{}
		return false
	}
	told := wire.Contact{Settled: a.settled, KeyMs: a.boot.KeyMs, AnswerMs: a.boot.LeaseMs / 4, GraceMs: a.graceMs()}
	if told == a.toldContact && !a.due(now, "unchanged", 2*a.boot.ProbeMs) {
		return false
	}
	a.toldContact, a.timers["unchanged"] = told, now
	out.Send(a.boot.Proxy, wire.KindContact, &told)
	return true
}

// sortedRosters are those of a list by the versions that replaced them.
func sortedRosters(list *wire.WorkerList) []wire.Roster {
	return slices.SortedFunc(slices.Values(list.Rosters), func(a, b wire.Roster) int { return int(a.Version - b.Version) })
}

const lostAlone = "a front lost keys that it sent while it had lost sight of the others"

// judge works out which fronts lost their memory of keys sent by a list that was
// in force from a moment on, until the one with a version: those that went since.
// A reason says that one of them may have sent keys that nobody else knows of.
func (a *Agent) judge(fromMs, version int64) (lost []string, bad string) {
	for _, id := range slices.Sorted(maps.Keys(a.fronts)) {
		front := a.fronts[id]
		last := front.stoodAt + a.boot.LeaseMs
		if front.stands || last+a.boot.KeyMs/2 < fromMs {
			continue
		}
		if front.version < version && !a.cameBack(front) {
			bad = "a front that may still send keys is out of sight"
		}
		if last < fromMs {
			continue
		}
		if !slices.Contains(lost, front.name) {
			lost = append(lost, front.name)
		}
		if front.bareAt >= fromMs {
			bad = lostAlone
		}
	}
	slices.Sort(lost)
	return lost, bad
}

// cameBack tells whether a front that went was started again so soon that it
// cannot have sent keys out of sight of the others in between.
func (a *Agent) cameBack(gone *otherFront) bool {
	for _, front := range a.fronts {
		soon := gone.stoodAt - mostProbes*a.boot.ProbeMs + a.graceMs()
		if front.name == gone.name && front != gone && front.seenAt >= gone.stoodAt-a.boot.LeaseMs && front.seenAt <= soon {
			return true
		}
	}
	return false
}
