package register

import (
	"math/rand"

	"applequay/internal/transport/wire"
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

// Outcome answers a call on a register. Of a write that is done, the value's
// version is the one that this write got, whatever came after it.
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
	// RepairMs is how long a change of the core set, and what copies registers to
	// its members, may take: no client waits for it, and slow disks make it long.
	// 0 stands for CallMs.
	RepairMs int64
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
	found   map[string]mend // what reads and writes found last, by key
	busy    map[string]round
	chose   map[string]int64 // when a round of another on a register last ended
	roundMs int64            // how long rounds took lately
	Rounds  int64
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
	// refused are writes that a chosen value overtook: they are answered with what
	// this read finds.
	refused []*write
	// differed is how often a read found that the copies differ; then it proposes
	// what is there itself.
	differed       int
	proposes       bool
	writes         []*write
	phase          phase
	ballot         wire.Ballot
	heard          map[string]bool
	best           wire.Ballot
	bestValue      []byte
	have           wire.Ballot
	haveValue      []byte
	agreed         int
	found, counted map[string]bool
	behind         []string
	chosen         wire.Value
	chosenValue    []byte // as it is sent
	hasChosen      bool
	phaseEnds      int64
	asked, ends    int64 // when the call came, and by when it ends
	began          int64 // when the latest attempt began
	attempts       int
	epoch          int64 // of the core set whose majorities this attempt counts
}

// numbers is from how many the first operation's number is drawn: an answer to
// an earlier life of this node, which had the same identity, finds nothing that
// it could be taken for.
const numbers = 1 << 31

// NewProposer makes a proposer. The id must never have been used by another
// process, so that no ballot comes twice.
//
//	proposer := register.NewProposer("c1~7f/1a2b", random, limits)
func NewProposer(id string, random *rand.Rand, limits Limits) *Proposer {
	return &Proposer{id: id, random: random, limits: limits, nextOp: random.Int63n(numbers), ops: map[int64]*operation{}, mends: map[int64]mend{}, found: map[string]mend{}, busy: map[string]round{}, chose: map[string]int64{}, roundMs: limits.PhaseMs / 8}
}

// Core returns the core set the proposer works with.
//
//	voters := proposer.Core().Voters
func (p *Proposer) Core() wire.CoreSet { return p.core }

// Learn takes a newer core set.
//
//	proposer.Learn(core)
func (p *Proposer) Learn(core wire.CoreSet) {
	if core.Epoch > p.core.Epoch || (core.Epoch == p.core.Epoch && core.Rereplicated) {
		p.core = core
	}
}

func (p *Proposer) start(now int64, o *operation) wire.Outputs {
	p.nextOp++
	o.op, o.asked, o.ends, o.began = p.nextOp, now, now+p.limitMs(o.key, o.mend || o.keys), now
	p.ops[o.op] = o
	return p.begin(now, o)
}

// limitMs is how long a call may take.
func (p *Proposer) limitMs(key string, repairs bool) int64 {
	if repairs || key == CoreKey {
		return max(p.limits.RepairMs, p.limits.CallMs)
	}
	return p.limits.CallMs
}

func (p *Proposer) begin(now int64, o *operation) wire.Outputs {
	var out wire.Outputs
	asks := o.keys || (o.read && !o.mend && !o.proposes)
	if !asks && p.defers(now, &out, o) {
		return out
	}
	p.Rounds++
	o.epoch = p.core.Epoch
	o.heard, o.best, o.bestValue, o.agreed, o.behind = map[string]bool{}, wire.Ballot{}, nil, 0, nil
	o.phaseEnds, o.began = now+max(p.limits.PhaseMs, min(2*p.pace(), p.limits.CallMs/2)), now
	if !asks || o.keys {
		o.phaseEnds = now + p.patience()
	}
	switch {
	case o.keys:
		o.phase = phaseKeys
	case asks:
		o.phase = phaseQuery
	default:
		o.phase = phasePrepare
		o.attempts++
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
		p.toVoters(out, wire.KindKeysAsk, &wire.KeysAsk{Op: o.op, Epoch: p.core.Epoch}, false)
	case phaseQuery:
		p.toVoters(out, wire.KindQuery, &wire.Query{Op: o.op, Key: o.key, Have: o.have, Epoch: p.core.Epoch}, false)
	case phasePrepare:
		p.toVoters(out, wire.KindPrepare, &wire.Prepare{Op: o.op, Key: o.key, Ballot: o.ballot, Epoch: p.core.Epoch}, false)
	case phaseAccept:
		p.toVoters(out, wire.KindAccept, &wire.Accept{Op: o.op, Key: o.key, Ballot: o.ballot, Epoch: p.core.Epoch, Value: o.chosenValue}, true)
	}
}

func (p *Proposer) toVoters(out *wire.Outputs, kind wire.Kind, body wire.Record, joining bool) {
	for _, voter := range p.core.Voters {
		out.Send(voter.ID, kind, body)
	}
	if joining {
		for _, voter := range p.core.Joining {
			out.Send(voter.ID, kind, body)
		}
	}
}

func (p *Proposer) admitted(id string) bool {
	for _, voter := range p.core.Voters {
		if voter.ID == id {
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
		p.overdue(now, &out, o)
		switch {
		case p.ops[op] == nil:
		case o.epoch < p.core.Epoch && o.phase != phaseWait:
			out.Add(p.begin(now, o))
		case now >= o.phaseEnds && o.phase == phaseQuery:
			p.silent(now, &out, o)
		case now >= o.phaseEnds && o.phase == phaseWait:
			out.Add(p.begin(now, o))
		case now >= o.phaseEnds:
			o.phaseEnds = now + p.patience()
			p.say(&out, o)
		}
	}
	return out
}

// Busy tells whether any call is under way.
//
//	if proposer.Busy() { ... }
func (p *Proposer) Busy() bool { return len(p.ops) > 0 }

func (p *Proposer) finish(out *wire.Outputs, o *operation, outcome Outcome) {
	delete(p.ops, o.op)
	if len(o.refused) > 0 {
		p.refuse(out, o.refused, outcome)
		return
	}
	out.Answers = append(out.Answers, wire.Answer{Call: o.call, Body: outcome})
}
