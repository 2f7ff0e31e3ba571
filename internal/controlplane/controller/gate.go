package controller

import "applequay/internal/transport/wire"

// Gate holds back what waits for the disk. It is a pure machine: the runner
// tells it what was written and what is durable.
type Gate struct {
	written, durable int64
	held             []heldSends
}

type heldSends struct {
	after   int64
	sends   []wire.Send
	answers []wire.Answer
}

// Step takes one step's outputs and returns those that may leave now.
//
//	ready := gate.Step(out)
func (g *Gate) Step(out wire.Outputs) wire.Outputs {
	g.written += int64(len(out.Writes))
	ready := wire.Outputs{Sends: out.Sends, Writes: out.Writes}
	if len(out.Then)+len(out.Answers) == 0 {
		return ready
	}
	if g.written <= g.durable {
		ready.Sends = append(ready.Sends, out.Then...)
		ready.Answers = out.Answers
		return ready
	}
	g.held = append(g.held, heldSends{after: g.written, sends: out.Then, answers: out.Answers})
	return ready
}

// Written is how many records were handed to the journal in all.
//
//	last := gate.Written()
func (g *Gate) Written() int64 { return g.written }

// Held is how many steps wait for the disk.
//
//	if gate.Held() > before { ... }
func (g *Gate) Held() int { return len(g.held) }

// Durable says how many records last, and returns what that lets go.
//
//	ready := gate.Durable(last)
func (g *Gate) Durable(count int64) wire.Outputs {
	g.durable = max(g.durable, count)
	var ready wire.Outputs
	for len(g.held) > 0 && g.held[0].after <= g.durable {
		ready.Sends = append(ready.Sends, g.held[0].sends...)
		ready.Answers = append(ready.Answers, g.held[0].answers...)
		g.held = g.held[1:]
	}
	return ready
}

// EmptySnapshot is what a new data folder starts with.
//
//	kept, found, err := journal.Open(folder, id, controller.EmptySnapshot())
func EmptySnapshot() []byte { return wire.Encode(&wire.Snapshot{}) }
