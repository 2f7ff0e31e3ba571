package idempotency

import (
	"maps"
	"slices"

	"applequay/internal/transport/wire"
)

// Hear takes a message from the agent.
//
//	out := book.Hear(now, &wire.Contact{Settled: 4, KeyMs: 60000, AnswerMs: 800, GraceMs: 6400})
func (b *Book) Hear(now int64, body wire.Record) wire.Outputs {
	var out wire.Outputs
	switch told := body.(type) {
	case *wire.Contact:
		b.contactMs, b.keyMs, b.answerMs, b.graceMs = now, told.KeyMs, told.AnswerMs, told.GraceMs
		b.settled = max(b.settled, told.Settled)
	case *wire.TicketAsk:
		out.Send(b.agent, wire.KindTicketTold, &wire.TicketTold{Op: told.Op, Asker: told.Asker, Others: b.tell(told), FromMs: told.FromMs, Version: told.Version})
	case *wire.TicketDone:
		b.done(now, &out, told)
	}
	return out
}

// tell answers another front with what is known of a key, and notes its wish.
func (b *Book) tell(asked *wire.TicketAsk) []string {
	if server, known := b.server(asked.Key); known {
		return []string{server}
	}
	others := b.claimed(asked.Key, asked.Asker)
	b.claim(asked.Key, asked.Asker, asked.Server)
	return others
}

// done ends a round. One other server that all who know of the key agree on is
// taken in a second round; more than one is a refusal.
func (b *Book) done(now int64, out *wire.Outputs, told *wire.TicketDone) {
	asked, ok := b.wishes[told.Op]
	if !ok {
		return
	}
	delete(b.wishes, told.Op)
	delete(b.byKey, asked.call.Key)
	others := slices.DeleteFunc(slices.Clone(told.Others), func(s string) bool { return s == asked.call.Choice })
	for _, server := range b.claimed(asked.call.Key, own) {
		if server != asked.call.Choice && !slices.Contains(others, server) {
			others = append(others, server)
		}
	}
	switch {
	case told.Ok && len(others) == 0:
		b.bind(asked.call.Key, asked.call.Choice)
		b.answer(out, asked.call, asked.call.Choice, asked.calls...)
	case told.Ok && asked.round == 0:
		// Somebody knows the key by another server: all are asked.
		b.Asked++
		asked.round = 1
		b.ask(now, out, asked)
	case told.Ok && len(others) == 1 && asked.round == 1 && asked.call.Open(others[0]):
		asked.call.Choice, asked.round = others[0], 2
		b.ask(now, out, asked)
	case told.Ok:
		b.refuse(out, "this key was sent to another server, which is gone, or to more than one front at once", 0, asked.calls...)
	default:
		b.refuse(out, told.Why, told.RetryMs, asked.calls...)
	}
}

// Busy tells whether any key waits for what others say.
//
//	if book.Busy() { ... }
func (b *Book) Busy() bool { return len(b.wishes) > 0 }

// Tick says wishes again that were not heard, gives up those that wait too
// long, and forgets keys that may not be repeated any more.
//
//	out := book.Tick(now)
func (b *Book) Tick(now int64) wire.Outputs {
	var out wire.Outputs
	if b.keyMs > 0 && now-b.turnedMs >= b.keyMs {
		b.turnedMs = now
		b.keys = [2]map[string]string{{}, b.keys[0]}
		b.claims = [2]map[string]map[string]string{{}, b.claims[0]}
	}
	if b.bareMs > 0 && now-b.bareMs < 2*b.keyMs {
		out.Send(b.agent, wire.KindBare, &wire.Bare{AgeMs: now - b.bareMs})
	}
	for _, op := range slices.Sorted(maps.Keys(b.wishes)) {
		asked := b.wishes[op]
		switch {
		case now-asked.sentMs > b.answerMs:
			delete(b.wishes, op)
			delete(b.byKey, asked.call.Key)
			b.refuse(&out, "not all other fronts say whether they know this key", b.answerMs, asked.calls...)
		case now-asked.toldMs > b.againTime():
			asked.toldMs = now
			b.say(&out, op, asked)
		}
	}
	return out
}
