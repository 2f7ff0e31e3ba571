package register

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"applequay/internal/transport/wire"
)

// Write is one compare-and-set as callers ask for it. Expected is the mark that
// must stand, -1 for any; Next is the mark it shall get, 0 for the one after.
// Name tells it from all others: a write with a name that the value remembers is
// acknowledged again.
type Write struct {
	Key            string
	Expected, Next int64
	Body           []byte
	Name           string
}

// write is one caller's write within an operation; those on one register go
// together.
type write struct {
	Write
	call, ends int64
	// decided: this round says how it fares. sentMark is the mark under which it
	// was offered to the copies, if it ever was.
	decided  bool
	fate     Fate
	sentMark int64
	// given is who was last asked to take it along.
	given string
}

// Change asks for a new body where the register's mark is the expected one;
// -1 expects any. It gets the next mark, which must be above the one that stands;
// 0 takes the one after. The name tells this write from all others.
//
//	out := proposer.Change(now, call, "policy", 7, 0, body, "l2~9c#44")
func (p *Proposer) Change(now, call int64, key string, expected, next int64, body []byte, name string) wire.Outputs {
	asked := &write{Write: Write{Key: key, Expected: expected, Next: next, Body: body, Name: name}, call: call, ends: now + p.limits.CallMs}
	for _, op := range sortedOps(p.ops) {
		if o := p.ops[op]; o.key == key && len(o.writes) > 0 {
			o.writes = append(o.writes, asked)
			return wire.Outputs{}
		}
	}
	return p.start(now, &operation{key: key, writes: []*write{asked}})
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

// Written finds the mark that a write got, by its name, while the value
// remembers it.
//
//	mark, ok := register.Written(outcome.Value, "l2~9c#44")
func Written(value wire.Value, name string) (int64, bool) {
	for _, entry := range slices.Backward(value.Lineage) {
		if written, mark := parseEntry(entry); written == name {
			return mark, true
		}
	}
	return 0, false
}

// Standing is a value under its own mark, where an outcome told that of an
// earlier write.
//
//	value := register.Standing(outcome.Value)
func Standing(value wire.Value) wire.Value {
	if last := len(value.Lineage) - 1; last >= 0 {
		_, mark := parseEntry(value.Lineage[last])
		value.Mark = max(value.Mark, mark)
	}
	return value
}

// parseEntry reads what a value remembers of a write, as "l2~9c#44@7".
func parseEntry(entry string) (string, int64) {
	at := strings.LastIndexByte(entry, '@')
	if at < 0 {
		return entry, 0
	}
	mark, _ := strconv.ParseInt(entry[at+1:], 10, 64)
	return entry[:at], mark
}

// decide works out what the accept phase carries: the writes that go on top of
// what is there, in turn; else what is there, so that it is chosen before it is
// told.
func (p *Proposer) decide(o *operation) {
	var current wire.Value
	o.hasChosen = len(o.bestValue) > 0 && current.Unmarshal(o.bestValue) == nil
	for _, asked := range o.writes {
		asked.decided = true
		if mark, known := Written(current, asked.Name); known {
			asked.fate, asked.sentMark = FateDone, mark
			continue
		}
		next := asked.Next
		if next == 0 {
			next = current.Mark + 1
		}
		if (asked.Expected >= 0 && current.Mark != asked.Expected) || next <= current.Mark {
			asked.fate = FateStale
			// One given to another proposer may yet come about, but for what was overtaken.
			if (asked.sentMark > 0 && p.forgotten(current, asked.sentMark)) || (asked.given != "" && !asked.overtaken(current)) {
				asked.fate = FateUnknown
			}
			continue
		}
		lineage := append(slices.Clone(current.Lineage), fmt.Sprintf("%s@%d", asked.Name, next))
		if over := len(lineage) - p.limits.LineageLen; over > 0 {
			lineage = lineage[over:]
		}
		current = wire.Value{Mark: next, Body: asked.Body, Lineage: lineage}
		asked.fate, asked.sentMark, o.hasChosen = FateDone, next, true
	}
	o.chosen = current
}

// forgotten tells whether a value may have had a write that it no longer names.
func (p *Proposer) forgotten(value wire.Value, mark int64) bool {
	if len(value.Lineage) < p.limits.LineageLen {
		return false
	}
	_, oldest := parseEntry(value.Lineage[0])
	return oldest > mark
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
			outcome.Value.Mark = asked.sentMark
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
		fate := FateNone
		if asked.sentMark > 0 || asked.given != "" {
			fate = FateUnknown
		}
		out.Answers = append(out.Answers, wire.Answer{Call: asked.call, Body: Outcome{Key: o.key, Fate: fate}})
		return true
	})
	if len(o.writes) == 0 {
		delete(p.ops, o.op)
	}
}
