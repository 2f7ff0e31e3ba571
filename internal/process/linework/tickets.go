package linework

import (
	"slices"
	"sort"

	"applequay/internal/connection/wire"
)

// asking is a key for which this front asks all others.
type asking struct {
	wish    *wire.TicketWish
	sinceMs int64
	saidMs  int64
	needMs  int64 // how old a front's memory must be
	silent  map[string]bool
	others  []string
}

// wished begins to ask the other fronts about a key. It is refused where a
// front that may have sent the key cannot tell: it is gone, or younger than a
// list by which the key went elsewhere.
func (l *Line) wished(now int64, out *wire.Outputs, wish *wire.TicketWish) {
	if _, already := l.asking[wish.Op]; already {
		return
	}
	wall := l.members.Wall(now)
	from, doubts := wall, false
	for _, roster := range l.rosters {
		if roster.Mark > l.settled && slices.Contains(wish.Marks, roster.Mark) {
			from, doubts = min(from, roster.FromMs), true
		}
	}
	asked := &asking{wish: wish, sinceMs: now, silent: map[string]bool{}}
	if doubts {
		asked.needMs = wall - from + l.boot.ProbeMs
	}
	if doubts && (now-l.startMs < asked.needMs || wish.AgeMs < asked.needMs) {
		l.tell(out, asked, "this front started too lately to know this key")
		return
	}
	for id, front := range l.fronts {
		if front.stands {
			asked.silent[id] = true
		} else if doubts && front.stoodAt+l.boot.LeaseMs >= from {
			l.tell(out, asked, "a front that may have sent this key is gone")
			return
		}
	}
	l.asking[wish.Op] = asked
	l.askOn(now, out, asked)
}

func (l *Line) tell(out *wire.Outputs, asked *asking, why string) {
	delete(l.asking, asked.wish.Op)
	out.Send(l.boot.Switchboard, wire.KindTicketDone, &wire.TicketDone{Op: asked.wish.Op, Ok: why == "", Others: asked.others, Why: why})
}

// askOn asks those who have not told yet; once all have, the round is done.
func (l *Line) askOn(now int64, out *wire.Outputs, asked *asking) {
	if len(asked.silent) == 0 {
		l.tell(out, asked, "")
		return
	}
	asked.saidMs = now
	ids := make([]string, 0, len(asked.silent))
	for id := range asked.silent {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		out.Send(id, wire.KindTicketAsk, &wire.TicketAsk{Op: asked.wish.Op, Asker: l.boot.ID, Key: asked.wish.Key, Server: asked.wish.Server})
	}
}

// toldTicket takes the word of a switchboard: this front's own goes to the
// front that asked, another's counts here.
func (l *Line) toldTicket(now int64, out *wire.Outputs, from string, told *wire.TicketTold) {
	if told.Asker != l.boot.ID {
		out.Send(told.Asker, wire.KindTicketTold, told)
		return
	}
	asked, ok := l.asking[told.Op]
	if !ok || !asked.silent[from] {
		return
	}
	if told.AgeMs < asked.needMs {
		l.tell(out, asked, "a front started too lately to know this key")
		return
	}
	delete(asked.silent, from)
	for _, server := range told.Others {
		if !slices.Contains(asked.others, server) {
			asked.others = append(asked.others, server)
		}
	}
	if len(asked.silent) == 0 {
		l.tell(out, asked, "")
	}
}

// ticketsTick asks again where letters were lost, and drops what the
// switchboard has given up.
func (l *Line) ticketsTick(now int64, out *wire.Outputs) {
	ops := make([]int64, 0, len(l.asking))
	for op := range l.asking {
		ops = append(ops, op)
	}
	slices.Sort(ops)
	for _, op := range ops {
		asked := l.asking[op]
		if now-asked.sinceMs > l.boot.LeaseMs {
			delete(l.asking, op)
		} else if now-asked.saidMs >= l.boot.ProbeMs/2 {
			l.askOn(now, out, asked)
		}
	}
}
