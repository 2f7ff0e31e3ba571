package simulation

import (
	"fmt"
	"time"

	"applequay/internal/controlplane/controller"
	"applequay/internal/controlplane/register"
	"applequay/internal/simulation/history"
)

// order is a named write as operators on the platform send it: as it is, again
// and again, to any node, until they are told how it fared.
type order struct {
	name       string
	base, next int64
}

// silenceMs is how long such an operator waits for an answer.
const silenceMs = 1000

// Order sends a write that makes a version of a base, up to so many times while
// no answer is clear; of a hundred answers so many are lost. The name tells it
// from all others. The operator then goes on with what it was told.
//
//	ann.Order(5, 9, 6, 30, func(fate register.Fate) { ... })
func (o *Operator) Order(base, next int64, times, lost int, then func(register.Fate)) {
	o.turn++
	one := order{name: fmt.Sprintf("%s-%d", o.name, o.turn), base: base, next: next}
	o.orders = append(o.orders, one)
	o.send(one, 1, times, lost, then)
}

// Remind sends one of the orders of all times again, whatever became of it.
//
//	ann.Remind(30)
func (o *Operator) Remind(lost int) {
	if len(o.orders) > 0 {
		o.send(o.orders[o.world.Random.Intn(len(o.orders))], 1, 1, lost, nil)
	}
}

func (o *Operator) send(one order, turn, times, lost int, then func(register.Fate)) {
	w := o.world
	again := func() {
		if turn < times {
			w.After(int64(turn)*(50+w.Random.Int63n(200)), func() { o.send(one, turn+1, times, lost, then) })
		}
	}
	// On the platform operators call core machines alone.
	node := w.cores[w.Random.Intn(len(w.cores))].client()
	if node == nil {
		again()
		return
	}
	op := w.facts.begin(w.NowMs, "set", one.name, one.base)
	op.Next, op.Client = one.next, o.name
	over := false
	w.After(silenceMs, func() {
		if !over {
			over = true
			again()
		}
	})
	asked := register.Write{Key: controller.PolicyKey, Expected: one.base, Next: one.next, Body: w.Body(one.name), Name: "order:" + one.name, Again: true}
	node.change(asked, func(outcome register.Outcome) {
		if over {
			return
		}
		over = true
		w.Note("%s sends %s on %d a %dth time: fate %d mark %d", o.name, one.name, one.base, turn, outcome.Fate, outcome.Value.Version)
		if w.Random.Intn(100) < lost {
			again()
			return
		}
		w.facts.end(w.NowMs, op, outcome, nameOf(outcome.Value))
		if outcome.Fate == register.FateNone || outcome.Fate == register.FateUnknown {
			again()
		} else if then != nil {
			then(outcome.Fate)
		}
	})
}

// judgeWithin is how long the judging of a history may take.
const judgeWithin = 20 * time.Second

// CheckHistory judges all that operators saw as calls on one register with named
// writes.
//
//	breaches := world.CheckHistory()
func (w *World) CheckHistory() []string { return history.Check(w.facts.calls(), judgeWithin) }

// Picture draws what operators saw, as a page for browsers.
//
//	err := world.Picture("history.html")
func (w *World) Picture(path string) error { return history.Picture(w.facts.calls(), path) }

// calls are the operators' calls as the judge of histories takes them.
func (f *facts) calls() []history.Call {
	var out []history.Call
	for _, op := range f.ops {
		call := history.Call{Client: op.Client, Name: op.Name, Read: op.Kind == "get", Base: op.Expected, Next: op.Next, Began: op.First, Ended: op.Last}
		if op.Answered {
			call.Answer = map[register.Fate]history.Answer{
				register.FateDone: history.Acknowledged, register.FateStale: history.Refused,
				register.FateNone: history.Nothing, register.FateUnknown: history.Unclear,
			}[op.Fate]
			call.Version = op.Version
		}
		if call.Read || call.Answer == history.Refused {
			call.Found = op.Found
		}
		out = append(out, call)
	}
	return out
}
