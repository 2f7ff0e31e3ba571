package register

import (
	"applequay/internal/transport/wire"
)

// Read asks for a register's value; where the copies differ it mends them.
//
//	out := proposer.Read(now, call, "policy", heldBallot, heldValue)
func (p *Proposer) Read(now, call int64, key string, have wire.Ballot, value []byte) wire.Outputs {
	if found, known := p.found[key]; known && Less(have, found.ballot) {
		have, value = found.ballot, found.value
	}
	return p.start(now, &operation{call: call, key: key, read: true, have: have, haveValue: value})
}

// mend is what a read found chosen, kept for a while for late copies, and for the next
// read: who has the same then answers without it.
type mend struct {
	key    string
	ballot wire.Ballot
	value  []byte
	until  int64
}

// Mend writes a register's value again at a majority and at every newcomer.
//
//	out := proposer.Mend(now, call, "policy")
func (p *Proposer) Mend(now, call int64, key string) wire.Outputs {
	return p.start(now, &operation{call: call, key: key, read: true, mend: true})
}

// Keys asks a majority which registers there are; counted voters vouch for a newcomer.
//
//	out := proposer.Keys(now, call, nil)
func (p *Proposer) Keys(now, call int64, counted map[string]bool) wire.Outputs {
	return p.start(now, &operation{call: call, keys: true, found: map[string]bool{}, counted: counted})
}

func (p *Proposer) queried(now int64, out *wire.Outputs, o *operation, from string, told *wire.Promise) {
	if !p.admitted(from) || o.heard[from] {
		return
	}
	o.heard[from] = true
	value := told.Value
	if told.Same {
		value = o.haveValue
	}
	if o.agreed > 0 && Less(told.Accepted, o.best) {
		o.behind = append(o.behind, from)
	}
	switch {
	case o.agreed == 0 || Less(o.best, told.Accepted):
		o.best, o.bestValue, o.agreed = told.Accepted, value, 1
	case o.best == told.Accepted:
		o.agreed++
	}
	if o.agreed >= p.majority() {
		p.counter = max(p.counter, o.best.N)
		outcome := Outcome{Key: o.key, Fate: FateDone}
		outcome.Value, outcome.Has = valueOf(o.bestValue)
		p.finish(out, o, outcome)
		p.mends[o.op] = mend{key: o.key, ballot: o.best, value: o.bestValue, until: now + p.limits.PhaseMs}
		p.found[o.key] = p.mends[o.op]
		for _, late := range o.behind {
			p.mendOne(out, p.mends[o.op], late)
		}
		return
	}
	if o.agreed+len(p.core.Voters)-len(o.heard) < p.majority() {
		p.differs(now, out, o)
		return
	}
	// Others may agree with the newest; who is away is not waited for.
	if len(o.heard) >= p.majority() {
		o.phaseEnds = min(o.phaseEnds, now+p.readPace())
	}
}

// silent goes on with a read that has waited long enough for answers: without those
// of a majority only asking again helps.
func (p *Proposer) silent(now int64, out *wire.Outputs, o *operation) {
	if len(o.heard) >= p.majority() {
		p.differs(now, out, o)
		return
	}
	out.Add(p.begin(now, o))
}

// mostDiffering is how often a read finds that the copies differ before it makes
// them agree by a round of its own.
const mostDiffering = 3

// readShare: after this part of its time a read whose copies differ proposes.
const readShare = 4

// differs goes on with a read whose copies differ. Mostly they do because a write
// is on its way to them, which a round of the read's own would turn away: so it
// asks again after about the time of a round, and proposes only after some of these.
func (p *Proposer) differs(now int64, out *wire.Outputs, o *operation) {
	o.differed++
	if o.differed >= mostDiffering || now-o.asked >= p.limits.CallMs/readShare {
		o.proposes = true
		p.counter = max(p.counter, o.best.N)
		out.Add(p.begin(now, o))
		return
	}
	o.phase = phaseWait
	o.phaseEnds = now + p.readPace()/2 + p.random.Int63n(p.readPace())
}

// readPace is how long a read leaves to a write that is on its way: what is left of
// its time must do for a round of its own.
func (p *Proposer) readPace() int64 { return max(1, min(p.pace(), p.limits.CallMs/(2*readShare))) }

// mendOne gives a chosen value to a controller whose copy a read found old.
func (p *Proposer) mendOne(out *wire.Outputs, found mend, to string) {
	if len(found.value) > 0 {
		out.Send(to, wire.KindChosen, &wire.Chosen{Key: found.key, Ballot: found.ballot, Value: found.value})
	}
}

// refuseAfterRead answers writes that can never come about any more, but only with
// the version that a majority gives now: the value that overtook them may have been
// heard late, and newer ones be known elsewhere.
func (p *Proposer) refuseAfterRead(now int64, key string, refused []*write) wire.Outputs {
	if len(refused) == 0 {
		return wire.Outputs{}
	}
	o := &operation{key: key, read: true, refused: refused}
	out := p.start(now, o)
	for _, asked := range refused {
		o.ends = min(o.ends, asked.ends)
	}
	return out
}

// refuse answers overtaken writes with what a read found, or without a version where
// it found nothing in time.
func (p *Proposer) refuse(out *wire.Outputs, refused []*write, found Outcome) {
	for _, asked := range refused {
		outcome := found
		version, known := Written(found.Value, asked.Name)
		switch {
		case found.Fate != FateDone:
			outcome.Fate = asked.unanswered()
		case known:
			outcome.Value.Version = version
		default:
			outcome.Fate = asked.missed(found.Value)
		}
		out.Answers = append(out.Answers, wire.Answer{Call: asked.call, Body: outcome})
	}
}
