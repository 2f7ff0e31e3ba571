package register

import (
	"slices"

	"applequay/internal/transport/wire"
)

// Write is one compare-and-set as clients ask for it. Expected is the version that
// must stand, -1 for any; Next is the version it shall get, 0 for the one after.
// Name tells it from all others: a write with a name that the value remembers is
// acknowledged again. Again says that it may have been sent before, here or at
// other nodes; it then fares as all its sendings do together.
type Write struct {
	Key            string
	Expected, Next int64
	Body           []byte
	Name           string
	Again          bool
}

// write is one client's write within an operation; those on one register go
// together.
type write struct {
	Write
	call, asked, ends int64
	// decided: this round says how it fares. sentVersion is the version under which it
	// was offered to the copies, if it ever was.
	decided     bool
	fate        Fate
	sentVersion int64
	// given is who was last asked to take it along.
	given string
}

// Change asks for a new body where the register's version is the expected one;
// -1 expects any. It gets the next version, which must be above the one that stands;
// 0 takes the one after. The name tells this write from all others.
//
//	out := proposer.Change(now, call, "policy", 7, 0, body, "l2~9c#44")
func (p *Proposer) Change(now, call int64, key string, expected, next int64, body []byte, name string) wire.Outputs {
	return p.Write(now, call, Write{Key: key, Expected: expected, Next: next, Body: body, Name: name})
}

// Write is Change for a write that may have been sent before.
//
//	out := proposer.Write(now, call, register.Write{Key: "policy", Expected: 7, Body: body, Name: "9c44", Again: true})
func (p *Proposer) Write(now, call int64, asked Write) wire.Outputs {
	one := &write{Write: asked, call: call, asked: now, ends: now + p.limitMs(asked.Key, false)}
	for _, op := range sortedOps(p.ops) {
		if o := p.ops[op]; o.key == asked.Key && len(o.writes) > 0 {
			o.writes = append(o.writes, one)
			return wire.Outputs{}
		}
	}
	return p.start(now, &operation{key: asked.Key, writes: []*write{one}})
}

// Knows tells whether a write is under way here.
//
//	if !proposer.Knows("policy", "l2~9c#44") { ... }
func (p *Proposer) Knows(key, name string) bool {
	for _, o := range p.ops {
		if o.key == key && slices.ContainsFunc(o.writes, func(asked *write) bool { return asked.Name == name }) {
			return true
		}
	}
	return false
}

// decide works out what the accept phase carries: the writes that go on top of
// what is there, in turn; else what is there, so that it is chosen before it is
// told.
func (p *Proposer) decide(o *operation) {
	current, had := valueOf(o.bestValue)
	o.hasChosen = had
	for _, asked := range o.writes {
		asked.decided = true
		if version, known := Written(current, asked.Name); known {
			asked.fate, asked.sentVersion = FateDone, version
			continue
		}
		next := asked.Next
		if next == 0 {
			next = current.Version + 1
		}
		if (asked.Expected >= 0 && current.Version != asked.Expected) || next <= current.Version {
			asked.fate = asked.missed(current)
			continue
		}
		current = remember(current, asked.Body, asked.Name, next, p.limits.LineageLen)
		asked.fate, asked.sentVersion, o.hasChosen = FateDone, next, true
	}
	o.chosen, o.chosenValue = current, wire.EncodeValue(current)
}

// Fared tells how a write that may have been sent before fares where a value
// stands: it was done; or, stale, it never was and never will be; else nobody
// can tell, since a sending may be under way yet, or may have been forgotten.
//
//	fate := register.Fared(outcome.Value, asked)
func Fared(value wire.Value, asked Write) Fate {
	_, known := Written(value, asked.Name)
	switch {
	case known:
		return FateDone
	case !asked.overtaken(value) || Forgotten(value, asked.Expected):
		return FateUnknown
	}
	return FateStale
}

// missed is the fate of a write that a value does not name and that cannot come
// upon it. One that was offered may have been made and forgotten.
func (w *write) missed(value wire.Value) Fate {
	if w.Again || w.given != "" {
		return Fared(value, w.Write)
	}
	if w.sentVersion > 0 && w.sentVersion <= value.Forgot {
		return FateUnknown
	}
	return FateStale
}

// told ends a round: it answers all whose fate it decided, and goes on with
// those that came too late for it.
func (p *Proposer) told(now int64, out *wire.Outputs, o *operation) {
	if len(o.writes) == 0 {
		p.finish(out, o, Outcome{Key: o.key, Fate: FateDone, Has: o.hasChosen, Value: o.chosen})
		return
	}
	var rest []*write
	for _, asked := range o.writes {
		if !asked.decided {
			rest = append(rest, asked)
			continue
		}
		outcome := Outcome{Key: o.key, Fate: asked.fate, Has: o.hasChosen, Value: o.chosen}
		if asked.fate == FateDone {
			outcome.Value.Version = asked.sentVersion
		}
		out.Answers = append(out.Answers, wire.Answer{Call: asked.call, Body: outcome})
	}
	delete(p.ops, o.op)
	if len(rest) > 0 {
		out.Add(p.start(now, &operation{key: o.key, writes: rest}))
	}
}

// overdue ends what ran out of time.
func (p *Proposer) overdue(now int64, out *wire.Outputs, o *operation) {
	if len(o.writes) == 0 {
		if now >= o.ends {
			p.finish(out, o, Outcome{Key: o.key, Fate: FateNone})
		}
		return
	}
	o.writes = slices.DeleteFunc(o.writes, func(asked *write) bool {
		if now < asked.ends {
			return false
		}
		out.Answers = append(out.Answers, wire.Answer{Call: asked.call, Body: Outcome{Key: o.key, Fate: asked.unanswered()}})
		return true
	})
	if len(o.writes) == 0 {
		delete(p.ops, o.op)
	}
}

// unanswered is the fate of a write that ran out of time.
func (w *write) unanswered() Fate {
	if w.sentVersion > 0 || w.given != "" {
		return FateUnknown
	}
	return FateNone
}
