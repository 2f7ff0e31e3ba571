package register

import (
	"slices"

	"applequay/internal/transport/wire"
)

// Proposers on one register turn each other away. So that many writers all come
// through, each leaves a round that it hears of time to end, and gives that
// round's proposer its writes to take along: by their names they are done once
// only, whoever writes them. Waits go by how long rounds take here, be the disks
// quick or slow.

// round is another proposer's on a register, and until when it is left to end.
type round struct {
	by           string
	ballot       wire.Ballot
	since, until int64
}

// Sense takes notice of another proposer's round on a register.
//
//	out := proposer.Sense(now, "c2~51", &wire.Prepare{Key: "policy", Ballot: ballot})
func (p *Proposer) Sense(now int64, from string, asked *wire.Prepare) wire.Outputs {
	var out wire.Outputs
	for _, o := range p.ops {
		if o.key == asked.Key && (o.phase == phasePrepare || o.phase == phaseAccept) && Less(asked.Ballot, o.ballot) {
			return out
		}
	}
	kept, sensed := p.busy[asked.Key]
	if sensed && Less(asked.Ballot, kept.ballot) {
		return out
	}
	since := now
	if sensed && kept.ballot == asked.Ballot {
		since = kept.since
	}
	// One that is repeated for long may be of a proposer that hears no answers.
	until := min(now+max(p.limits.PhaseMs/2, 2*p.pace()), since+max(p.limits.PhaseMs, 2*p.pace()))
	p.busy[asked.Key] = round{by: from, ballot: asked.Ballot, since: since, until: until}
	if now >= until {
		return out
	}
	for _, op := range sortedOps(p.ops) {
		if o := p.ops[op]; o.key == asked.Key && (o.phase == phasePrepare || o.phase == phaseWait) {
			p.counter = max(p.counter, asked.Ballot.N)
			p.defers(now, &out, o)
		}
	}
	return out
}

// Chose takes notice of a value that was chosen: writes that it names are done,
// and those that it overtook are refused after a read; what else waited for it may begin.
//
//	out := proposer.Chose(now, "policy", value)
func (p *Proposer) Chose(now int64, key string, value wire.Value) wire.Outputs {
	var out wire.Outputs
	var refused []*write
	delete(p.busy, key)
	p.chose[key] = now
	for _, op := range sortedOps(p.ops) {
		o := p.ops[op]
		if o.key != key || o.phase != phaseWait {
			continue
		}
		o.phaseEnds = min(o.phaseEnds, now+p.random.Int63n(max(p.limits.PhaseMs/8, 1)))
		o.writes = slices.DeleteFunc(o.writes, func(asked *write) bool {
			version, known := Written(value, asked.Name)
			switch {
			case known:
				outcome := Outcome{Key: key, Has: true, Value: value}
				outcome.Value.Version = version
				out.Answers = append(out.Answers, wire.Answer{Call: asked.call, Body: outcome})
			case asked.sentVersion == 0 && asked.overtaken(value):
				refused = append(refused, asked)
			default:
				return false
			}
			return true
		})
		if len(o.writes) == 0 && !o.read {
			delete(p.ops, op)
		}
	}
	out.Add(p.refuseAfterRead(now, key, refused))
	return out
}

// overtaken tells whether a write can never come about any more.
func (w Write) overtaken(value wire.Value) bool {
	return (w.Expected >= 0 && value.Version > w.Expected) || (w.Next > 0 && value.Version >= w.Next)
}

// pace is how long a round takes here.
func (p *Proposer) pace() int64 { return max(p.limits.PhaseMs/16, p.roundMs) }

// RoundMs is about how long a round takes here.
//
//	waitMs := 4 * proposer.RoundMs()
func (p *Proposer) RoundMs() int64 { return p.pace() }

// patience is how long a phase waits before it asks again, should messages have
// been lost.
func (p *Proposer) patience() int64 {
	return max(p.limits.PhaseMs/4, min(4*p.roundMs, p.limits.PhaseMs))
}

// patient is how long a call waits for others' rounds while none of them ends: for
// most of its time at the longest. Proposers that hear nobody, and turn each other
// away, may begin rounds without end.
func (p *Proposer) patient() int64 {
	return min(p.limits.CallMs*3/4, max(2*p.limits.PhaseMs, 4*p.pace()))
}

// defers makes a call wait while another's round is under way.
func (p *Proposer) defers(now int64, out *wire.Outputs, o *operation) bool {
	other, sensed := p.busy[o.key]
	until, asked, ends := other.until, o.asked, o.ends
	for at, write := range o.writes {
		if at == 0 {
			asked, ends = write.asked, write.ends
		}
		asked, ends = min(asked, write.asked), min(ends, write.ends)
	}
	if !sensed || now >= until {
		until, sensed = now, false
	}
	if p.underWay(o) {
		until = max(until, now+p.pace())
	}
	waits := max(asked, p.chose[o.key])
	if until == now || now > min(waits+p.patient(), ends-p.limits.CallMs/4) {
		return false
	}
	o.phase = phaseWait
	o.phaseEnds = until + p.random.Int63n(max(p.limits.PhaseMs/8, 1))
	for _, asked := range o.writes {
		if sensed && asked.given != other.by && p.admitted(other.by) {
			asked.given = other.by
			out.Send(other.by, wire.KindWriteAsk, &wire.WriteAsk{Key: asked.Key, Expected: asked.Expected, Next: asked.Next, Body: asked.Body, Name: asked.Name})
		}
	}
	return true
}

// underWay tells whether another call of this node's is in a round on the same
// register.
func (p *Proposer) underWay(o *operation) bool {
	for _, other := range p.ops {
		if other != o && other.key == o.key && (other.phase == phasePrepare || other.phase == phaseAccept) {
			return true
		}
	}
	return false
}

// again waits a random time before the next attempt, so that two proposers do
// not keep turning each other away.
func (p *Proposer) again(now int64, o *operation, seen wire.Ballot) {
	p.counter = max(p.counter, seen.N)
	o.phase = phaseWait
	wait := min(p.pace()*int64(min(o.attempts, 4)), p.limits.PhaseMs)
	o.phaseEnds = now + 1 + p.random.Int63n(max(wait, 1))
}
