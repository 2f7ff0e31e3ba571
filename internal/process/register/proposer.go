package register

import (
	"math/rand"

	"applequay/internal/connection/wire"
)

// Fate says how a call on a register ended.
type Fate int

// The fates. FateNone: certainly not applied. FateUnknown: it may yet apply.
const (
	FateDone Fate = iota
	FateStale
	FateNone
	FateUnknown
)

// Outcome answers a call on a register.
type Outcome struct {
	Key   string
	Fate  Fate
	Has   bool
	Value wire.Value
	Keys  []string
}

// Limits are a proposer's times, as ratios of the boot's bounds.
type Limits struct {
	// CallMs is how long one call may take in all.
	CallMs int64
	// PhaseMs is how long a phase waits before it starts over.
	PhaseMs int64
	// LineageLen is how many write names a value remembers.
	LineageLen int
}

// Proposer runs calls on registers for any node. It is a pure machine.
type Proposer struct {
	id      string
	random  *rand.Rand
	limits  Limits
	core    wire.CoreSet
	counter int64
	nextOp  int64
	ops     map[int64]*operation
	mends   map[int64]mend
	Rounds  int64
}

// mend is what a read found chosen, kept for a while for late copies.
type mend struct {
	key    string
	ballot wire.Ballot
	value  []byte
	until  int64
}

type phase int

const (
	phaseWait phase = iota
	phaseQuery
	phasePrepare
	phaseAccept
	phaseKeys
)

type operation struct {
	op, call         int64
	key              string
	read, mend, keys bool
	expected         int64
	name             string
	body             []byte
	phase            phase
	ballot           wire.Ballot
	heard            map[string]bool
	best             wire.Ballot
	bestValue        []byte
	have             wire.Ballot
	haveValue        []byte
	agreed           int
	found            map[string]bool
	behind           []string
	chosen           wire.Value
	hasChosen        bool
	fate             Fate
	phaseEnds, ends  int64
	sentAccept       bool
	attempts         int
}

// NewProposer makes a proposer. The id must never have been used by another
// process, so that no ballot comes twice.
//
//	proposer := register.NewProposer("c1~7f/1a2b", random, limits)
func NewProposer(id string, random *rand.Rand, limits Limits) *Proposer {
	return &Proposer{id: id, random: random, limits: limits, ops: map[int64]*operation{}, mends: map[int64]mend{}}
}

// Core returns the core set the proposer works with.
//
//	seats := proposer.Core().Seats
func (p *Proposer) Core() wire.CoreSet { return p.core }

// Learn takes a newer core set.
//
//	proposer.Learn(core)
func (p *Proposer) Learn(core wire.CoreSet) {
	if core.Epoch > p.core.Epoch || (core.Epoch == p.core.Epoch && core.Swept) {
		p.core = core
	}
}

// Change asks for a new body where the register's mark is the expected one;
// -1 expects any. The name tells this write from all others.
//
//	out := proposer.Change(now, call, "policy", 7, body, "l2~9c#44")
func (p *Proposer) Change(now, call int64, key string, expected int64, body []byte, name string) wire.Outputs {
	return p.start(now, &operation{call: call, key: key, expected: expected, body: body, name: name})
}

// Read asks for a register's value; where the copies differ it mends them.
//
//	out := proposer.Read(now, call, "policy", heldBallot, heldValue)
func (p *Proposer) Read(now, call int64, key string, have wire.Ballot, value []byte) wire.Outputs {
	return p.start(now, &operation{call: call, key: key, read: true, have: have, haveValue: value})
}

// Mend writes a register's value again at a majority and at every newcomer.
//
//	out := proposer.Mend(now, call, "policy")
func (p *Proposer) Mend(now, call int64, key string) wire.Outputs {
	return p.start(now, &operation{call: call, key: key, read: true, mend: true})
}

// Keys asks a majority which registers there are.
//
//	out := proposer.Keys(now, call)
func (p *Proposer) Keys(now, call int64) wire.Outputs {
	return p.start(now, &operation{call: call, keys: true, found: map[string]bool{}})
}

func (p *Proposer) start(now int64, o *operation) wire.Outputs {
	p.nextOp++
	o.op, o.ends = p.nextOp, now+p.limits.CallMs
	p.ops[o.op] = o
	return p.begin(now, o)
}

func (p *Proposer) begin(now int64, o *operation) wire.Outputs {
	var out wire.Outputs
	p.Rounds++
	o.attempts++
	o.heard, o.best, o.bestValue, o.agreed, o.behind = map[string]bool{}, wire.Ballot{}, nil, 0, nil
	o.phaseEnds = now + p.limits.PhaseMs
	switch {
	case o.keys:
		o.phase = phaseKeys
	case o.read && !o.mend && o.attempts == 1:
		o.phase = phaseQuery
	default:
		o.phase = phasePrepare
		p.counter++
		o.ballot = wire.Ballot{N: p.counter, By: p.id}
	}
	p.say(&out, o)
	return out
}

// say sends, or sends again, what the phase asks. A ballot is not given up for
// a slow disk: only one who turns it away makes the call start over.
func (p *Proposer) say(out *wire.Outputs, o *operation) {
	switch o.phase {
	case phaseKeys:
		p.toSeats(out, wire.KindKeysAsk, &wire.KeysAsk{Op: o.op, Epoch: p.core.Epoch}, false)
	case phaseQuery:
		p.toSeats(out, wire.KindQuery, &wire.Query{Op: o.op, Key: o.key, Have: o.have, Epoch: p.core.Epoch}, false)
	case phasePrepare:
		p.toSeats(out, wire.KindPrepare, &wire.Prepare{Op: o.op, Key: o.key, Ballot: o.ballot, Epoch: p.core.Epoch}, false)
	case phaseAccept:
		p.toSeats(out, wire.KindAccept, &wire.Accept{Op: o.op, Key: o.key, Ballot: o.ballot, Epoch: p.core.Epoch, Value: wire.Encode(&o.chosen)}, true)
	}
}

func (p *Proposer) toSeats(out *wire.Outputs, kind wire.Kind, body wire.Record, joining bool) {
	for _, seat := range p.core.Seats {
		out.Send(seat.ID, kind, body)
	}
	if joining {
		for _, seat := range p.core.Joining {
			out.Send(seat.ID, kind, body)
		}
	}
}

func (p *Proposer) seated(id string) bool {
	for _, seat := range p.core.Seats {
		if seat.ID == id {
			return true
		}
	}
	return false
}

// Tick starts over what waited long enough and ends what ran out of time.
//
//	out := proposer.Tick(now)
func (p *Proposer) Tick(now int64) wire.Outputs {
	var out wire.Outputs
	for op, kept := range p.mends {
		if now >= kept.until {
			delete(p.mends, op)
		}
	}
	for _, op := range sortedOps(p.ops) {
		o := p.ops[op]
		switch {
		case now >= o.ends:
			o.fate = FateNone
			if o.sentAccept && !o.read {
				o.fate = FateUnknown
			}
			p.finish(&out, o, Outcome{Key: o.key, Fate: o.fate})
		case now >= o.phaseEnds && (o.phase == phaseWait || o.phase == phaseQuery):
			out.Add(p.begin(now, o))
		case now >= o.phaseEnds:
			o.phaseEnds = now + p.limits.PhaseMs
			p.say(&out, o)
		}
	}
	return out
}

func (p *Proposer) finish(out *wire.Outputs, o *operation, outcome Outcome) {
	delete(p.ops, o.op)
	out.Answers = append(out.Answers, wire.Answer{Call: o.call, Body: outcome})
}

// again waits a short random time before the next attempt, so that two
// proposers do not keep turning each other away.
func (p *Proposer) again(now int64, o *operation, seen wire.Ballot) {
	p.counter = max(p.counter, seen.N)
	o.phase = phaseWait
	wait := p.limits.PhaseMs / 16 * int64(min(o.attempts, 8))
	o.phaseEnds = now + 1 + p.random.Int63n(max(wait, 1))
}
