package register

import (
	"slices"
	"sort"

	"applequay/internal/transport/wire"
)

// Hear takes a controller's answer.
//
//	out := proposer.Hear(now, "c2~51", &wire.Promise{Op: 3, Ok: true})
func (p *Proposer) Hear(now int64, from string, body wire.Record) wire.Outputs {
	var out wire.Outputs
	switch told := body.(type) {
	case *wire.Promise:
		o, ok := p.ops[told.Op]
		if late, read := p.mends[told.Op]; !ok && read && told.Query && told.Ok && Less(told.Accepted, late.ballot) {
			p.mendOne(&out, late, from)
		}
		if !ok || told.Key != o.key || p.newer(now, &out, o, told.Epoch, told.Core) {
			return out
		}
		if told.Query && o.phase == phaseQuery && told.Ok {
			p.queried(now, &out, o, from, told)
		} else if !told.Query && o.phase == phasePrepare {
			p.promised(now, &out, o, from, told)
		}
	case *wire.Accepted:
		o, ok := p.ops[told.Op]
		if !ok || told.Key != o.key || o.phase != phaseAccept || p.newer(now, &out, o, told.Epoch, told.Core) {
			return out
		}
		p.accepted(now, &out, o, from, told)
	case *wire.KeysTold:
		o, ok := p.ops[told.Op]
		if !ok || o.phase != phaseKeys || p.newer(now, &out, o, 0, nil) {
			return out
		}
		if told.Ok && p.admitted(from) {
			o.heard[from] = true
			for _, key := range told.Keys {
				o.found[key] = true
			}
			if len(o.heard) >= p.majority() && p.vouched(o) {
				keys := make([]string, 0, len(o.found))
				for key := range o.found {
					keys = append(keys, key)
				}
				sort.Strings(keys)
				p.finish(&out, o, Outcome{Keys: keys})
			}
		}
	}
	return out
}

// newer starts a call over where the core set is newer than the one that its
// attempt counts by, as a controller tells or as this node learned meanwhile: what
// was heard under one set makes no majority of another.
func (p *Proposer) newer(now int64, out *wire.Outputs, o *operation, epoch int64, core []byte) bool {
	if set, ok := ParseCore(core); ok && set.Epoch > p.core.Epoch {
		p.Learn(set)
	}
	if o.epoch < p.core.Epoch {
		if o.phase != phaseWait {
			out.Add(p.begin(now, o))
		}
		return true
	}
	return epoch > p.core.Epoch
}

// ParseCore reads a core set out of the value of the register that holds it.
//
//	core, ok := register.ParseCore(value)
func ParseCore(value []byte) (wire.CoreSet, bool) {
	var core wire.CoreSet
	outer, ok := valueOf(value)
	if !ok || core.Unmarshal(outer.Body) != nil {
		return wire.CoreSet{}, false
	}
	return core, true
}

// valueOf reads a register's value; false where there is none.
func valueOf(body []byte) (wire.Value, bool) {
	if len(body) == 0 {
		return wire.Value{}, false
	}
	value, err := wire.DecodeValue(body)
	return value, err == nil
}

// CoreTopic is the news of a core set; that it is re-replicated is a step of its epoch.
//
//	board.Put(register.CoreTopic(core))
func CoreTopic(core wire.CoreSet) wire.Topic {
	topic := wire.Topic{Name: CoreKey, Term: core.Epoch, Body: wire.Encode(&core)}
	if core.Rereplicated {
		topic.Step = 1
	}
	return topic
}

func (p *Proposer) promised(now int64, out *wire.Outputs, o *operation, from string, told *wire.Promise) {
	if !told.Ok {
		if Less(o.ballot, told.Ballot) {
			p.again(now, o, told.Ballot)
		}
		return
	}
	if !p.admitted(from) || told.Ballot != o.ballot || o.heard[from] {
		return
	}
	o.heard[from] = true
	if Less(o.best, told.Accepted) {
		o.best, o.bestValue = told.Accepted, told.Value
	}
	if len(o.heard) < p.majority() {
		return
	}
	// A round takes two such phases; that of one which is then turned away counts, too.
	p.roundMs = max(p.roundMs, min(2*(now-o.began), p.limits.CallMs/2))
	p.decide(o)
	o.phase, o.heard = phaseAccept, map[string]bool{}
	o.phaseEnds = now + p.patience()
	if !o.hasChosen {
		p.told(now, out, o)
		return
	}
	p.say(out, o)
}

func (p *Proposer) accepted(now int64, out *wire.Outputs, o *operation, from string, told *wire.Accepted) {
	if !told.Ok {
		if Less(o.ballot, told.Ballot) {
			p.again(now, o, told.Ballot)
		}
		return
	}
	if told.Ballot != o.ballot {
		return
	}
	o.heard[from] = true
	count, joined := 0, true
	for _, voter := range p.core.Voters {
		if o.heard[voter.ID] {
			count++
		}
	}
	for _, voter := range p.core.Joining {
		joined = joined && o.heard[voter.ID]
	}
	if count < p.majority() || (o.mend && !joined) {
		return
	}
	for _, voter := range p.core.Voters {
		note := &wire.Chosen{Key: o.key, Ballot: o.ballot}
		if !o.heard[voter.ID] {
			note.Value = o.chosenValue
		}
		out.Send(voter.ID, wire.KindChosen, note)
	}
	p.found[o.key] = mend{key: o.key, ballot: o.ballot, value: o.chosenValue}
	p.roundMs = (3*p.roundMs + min(now-o.began, p.limits.CallMs/2)) / 4
	p.told(now, out, o)
}

func (p *Proposer) majority() int { return len(p.core.Voters)/2 + 1 }

// vouched tells whether enough voters answered for registers to be copied to a
// newcomer: of those that count, as many as make a majority of the set that it
// comes into, so that none ever stands that cannot do without the newcomer's vote.
func (p *Proposer) vouched(o *operation) bool {
	joining, count := len(p.core.Joining), 0
	for _, voter := range p.core.Voters {
		if o.heard[voter.ID] && (o.counted == nil || o.counted[voter.ID]) {
			count++
		}
	}
	return joining == 0 || count >= min((len(p.core.Voters)+joining)/2+1, len(p.core.Voters))
}

func sortedOps(ops map[int64]*operation) []int64 {
	keys := make([]int64, 0, len(ops))
	for op := range ops {
		keys = append(keys, op)
	}
	slices.Sort(keys)
	return keys
}

// Hopeless answers a call at once where no majority can be asked: it certainly
// did nothing.
//
//	return register.Hopeless(call, "policy")
func Hopeless(call int64, key string) wire.Outputs {
	return wire.Outputs{Answers: []wire.Answer{{Call: call, Body: Outcome{Key: key, Fate: FateNone}}}}
}
