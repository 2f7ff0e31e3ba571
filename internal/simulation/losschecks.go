package simulation

import (
	"fmt"
	"slices"

	"applequay/internal/controlplane/controller"
	"applequay/internal/controlplane/register"
	"applequay/internal/transport/wire"
)

// expectWhole notes a fault unless all that are up, nine at most, have votes in one
// whole set.
func (r *losing) expectWhole(when string) {
	if !r.w.allIn() {
		r.fault("%s: not whole: %v", when, r.w.coreAt(r.w.firstUp()))
	}
}

// keepOrdering sends an order now and then, and each again until it is taken.
func (r *losing) keepOrdering() {
	w := r.w
	var next func()
	next = func() {
		one := &orderSent{began: w.NowMs, name: fmt.Sprintf("order-%d", len(r.orders)+1)}
		r.orders = append(r.orders, one)
		one.op = w.facts.begin(w.NowMs, "set", one.name, -1)
		r.send(one)
		w.After(orderEvery, next)
	}
	next()
}

// send sends an order to a machine that is up, and to another after a second of
// silence or an answer that is not clear.
func (r *losing) send(one *orderSent) {
	w := r.w
	one.tries++
	try := one.tries
	again := func() {
		if one.ended == 0 && one.tries == try {
			r.send(one)
		}
	}
	w.After(orderAgain, again)
	var up []*controllerNode
	for _, e := range w.cores {
		if e.Up {
			up = append(up, e)
		}
	}
	if len(up) == 0 {
		return
	}
	e := up[w.Random.Intn(len(up))]
	e.On(func() {
		e.nextAsk++
		e.answers[e.nextAsk] = func(outcome register.Outcome) {
			switch {
			case one.ended > 0:
			case outcome.Fate == register.FateDone:
				one.ended = w.NowMs
				w.facts.end(w.NowMs, one.op, outcome, one.name)
			default:
				w.After(orderEvery, again)
			}
		}
		e.perform(e.core.Change(e.Clock(), e.nextAsk, register.Write{Key: controller.PolicyKey, Expected: -1, Body: w.Body(one.name), Name: one.name}))
	})
}

// checkOrders: each order that was begun while the core was settled was taken
// within its time, and no other took much longer.
func (r *losing) checkOrders() {
	for _, one := range r.orders {
		settled := !slices.ContainsFunc(r.events, func(at int64) bool { return at > one.began-contactMs && at < one.began+ackMs })
		took := one.ended - one.began
		if one.ended == 0 {
			took = r.w.NowMs - one.began
		}
		if settled && took > ackMs {
			r.fault("an order of %d took %d ms while the core was settled (done: %v)", one.began, took, one.ended > 0)
		}
	}
	if len(r.orders) == 0 || r.orders[max(len(r.orders)-20, 0)].ended == 0 {
		r.fault("orders are not taken at the end")
	}
}

// watchVoters looks, all the time, at every machine that gets a vote: it holds each
// register that there is by then.
func (r *losing) watchVoters() {
	w := r.w
	held := func(e *controllerNode) map[string]bool {
		keys := map[string]bool{}
		for _, kept := range e.core.Snapshot().Registers {
			keys[kept.Key] = kept.Accepted.N > 0
		}
		return keys
	}
	all, known := held(w.cores[w.firstUp()]), map[string]bool{}
	for _, voter := range w.coreAt(w.firstUp()).Voters {
		known[voter.ID] = true
	}
	var look func()
	look = func() {
		for _, e := range w.cores {
			if !e.Up || known[e.ID] || !admitted(e.core.Page(e.Clock()).Core, e.ID) {
				continue
			}
			known[e.ID] = true
			mine := held(e)
			for key, there := range all {
				if there && !mine[key] {
					r.fault("%s got a seat without the register %s", e.ID, key)
				}
			}
		}
		w.After(w.Shape.TickMs, look)
	}
	look()
}

// allIn tells whether every core machine that is up has a vote in one whole set.
func (w *World) allIn() bool {
	up, in, epoch := 0, 0, int64(0)
	for at, e := range w.cores {
		if !e.Up {
			continue
		}
		up++
		core := w.coreAt(at)
		if !core.Rereplicated || (epoch != 0 && core.Epoch != epoch) {
			return false
		}
		if admitted(core, e.ID) {
			in++
		}
		epoch = core.Epoch
	}
	return in == min(up, 9) && len(w.coreAt(w.firstUp()).Voters) == in
}

func (w *World) firstUp() int {
	for at, e := range w.cores {
		if e.Up {
			return at
		}
	}
	return 0
}

func (w *World) coreAt(at int) wire.CoreSet { return w.cores[at].core.Page(w.cores[at].Clock()).Core }

func admitted(core wire.CoreSet, id string) bool {
	return slices.ContainsFunc(core.Voters, func(s wire.Voter) bool { return s.ID == id })
}
