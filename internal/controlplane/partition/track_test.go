package partition

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"applequay/internal/transport/wire"
)

// look answers a look at the only worker of a pool.
func (w *pool) look(taken int64, busy bool, held ...string) {
	seen := &wire.Seen{Worker: "w0", Born: "w0", Fence: w.p.state.Fence, OrderOk: true, Single: true, Taken: taken, Busy: busy}
	for _, item := range held {
		seen.Loaded = append(seen.Loaded, wire.Loaded{Item: item, Ready: true})
	}
	w.hand(w.p.Seen(w.now, seen))
}

func (w *pool) answer(order *wire.Order, ok, busy bool) {
	seen := &wire.Seen{Worker: "w0", Born: "w0", Fence: order.Fence, OrderSeq: order.Seq, OrderOk: ok, Busy: busy, Single: true, Bare: true, Taken: order.Taken}
	if ok {
		seen.Taken++
	}
	w.hand(w.p.Seen(w.now, seen))
}

// hand keeps the orders of a step, so that the test answers them itself.
func (w *pool) hand(out wire.Outputs) {
	for _, send := range append(out.Sends, out.Then...) {
		if order, ok := send.Body.(*wire.Order); ok && order.Op != "look" {
			w.handed = append(w.handed, order)
		}
		if told, ok := send.Body.(*wire.News); ok {
			w.do(wire.Outputs{Sends: []wire.Send{{Kind: wire.KindNews, Body: told}}})
		}
	}
}

// want tells of a request that is held for an item.
func (w *pool) want(item string) {
	w.pos++
	w.hand(w.p.Post(w.now, "l1", &wire.Post{Sender: "front/l1", SenderFence: 1, Fence: 1, Pos: w.pos, Kind: int64(wire.KindWant), Key: ItemKey(item), Body: wire.Encode(&wire.Want{Item: item, Held: 1, Weight: 1})}))
}

func (w *pool) pass(ms int64) {
	for to := w.now + ms; w.now < to; w.now += 50 {
		w.hand(w.p.Tick(w.now))
	}
}

// handedPool is a pool of one worker that was just handed a load of m1 and holds m0.
func handedPool(c *qt.C) *pool {
	w := newPool(c, 1, 3, 1, 1)
	w.noPlaces()
	w.pass(100)
	w.look(0, false, "m0")
	for range 5 {
		w.pass(500)
		w.look(0, false, "m0")
	}
	w.want("m1")
	c.Assert(w.handed, qt.HasLen, 1)
	c.Assert(w.handed[0].Item, qt.Equals, "m1")
	return w
}

// What an owner does after an order, by what it hears of it.
func TestOneOrderAtATime(t *testing.T) {
	c := qt.New(t)
	cases := []struct {
		name string
		then func(w *pool, order *wire.Order)
		// state is what m1 is on the worker, orders how many were handed out in all.
		state  int64
		orders int
	}{
		{"taken, then looks of before", func(w *pool, order *wire.Order) {
			w.answer(order, true, false)
			w.pass(300)
			w.look(0, false, "m0")
			w.pass(300)
		}, residentLoading, 1},
		{"taken, and under way", func(w *pool, order *wire.Order) {
			w.answer(order, true, false)
			w.look(1, true, "m0")
			w.pass(1200)
			w.look(1, true, "m0")
		}, residentLoading, 1},
		{"taken and done", func(w *pool, order *wire.Order) {
			w.answer(order, true, false)
			w.look(1, false, "m0", "m1")
		}, residentReady, 1},
		{"no answer: not before a look", func(w *pool, _ *wire.Order) { w.pass(1500) }, residentLoading, 1},
		{"no answer, and not taken", func(w *pool, _ *wire.Order) {
			w.pass(1100)
			w.look(0, false, "m0")
			w.pass(100)
		}, residentLoading, 2},
		{"no answer, and it is under way", func(w *pool, _ *wire.Order) {
			w.pass(1100)
			w.look(1, true, "m0")
			w.pass(100)
		}, residentLoading, 1},
		{"no answer, and it was done", func(w *pool, _ *wire.Order) {
			w.pass(1100)
			w.look(1, false, "m0", "m1")
			w.pass(100)
		}, residentReady, 1},
		{"another is under way: not before a look", func(w *pool, order *wire.Order) {
			w.answer(order, false, true)
			w.pass(600)
		}, residentLoading, 1},
		{"another was under way", func(w *pool, order *wire.Order) {
			w.answer(order, false, true)
			w.pass(100)
			w.look(3, false, "m0")
			w.pass(50)
		}, residentLoading, 2},
		{"a newer fence is known there", func(w *pool, order *wire.Order) {
			w.answer(order, false, false)
			w.pass(100)
		}, -1, 1},
	}
	for _, one := range cases {
		c.Run(one.name, func(c *qt.C) {
			w := handedPool(c)
			one.then(w, w.handed[0])
			worker := w.p.state.Workers["w0"]
			state := int64(-1)
			if at := resident(&worker, "m1"); at >= 0 {
				state = worker.Residents[at].State
			}
			c.Check(state, qt.Equals, one.state)
			c.Check(w.handed, qt.HasLen, one.orders)
			if one.orders > 1 {
				c.Check(w.handed[1].Taken, qt.Equals, w.p.track("w0").taken)
			}
		})
	}
}

// A worker is looked at often while something is under way, seldom otherwise.
func TestPausesBetweenLooks(t *testing.T) {
	c := qt.New(t)
	w := newPool(c, 1, 3, 1, 1)
	w.noPlaces()
	w.pass(100)
	w.look(0, false, "m0")
	c.Check(w.p.pause(w.now, "w0", w.now-50), qt.Equals, int64(2000))
	w = handedPool(c)
	c.Check(w.p.pause(w.now+200, "w0", w.now+150), qt.Equals, int64(125), qt.Commentf("no answer yet"))
	w.answer(w.handed[0], true, false)
	c.Check(w.p.pause(w.now+300, "w0", w.now+250), qt.Equals, int64(500), qt.Commentf("it takes 1500 ms"))
	c.Check(w.p.pause(w.now+1500, "w0", w.now+1200), qt.Equals, int64(0))
	c.Check(w.p.pause(w.now+1600, "w0", w.now+1500), qt.Equals, int64(125))
}

// The pace holds over any window, after another owner and after a restart too.
func TestPace(t *testing.T) {
	c := qt.New(t)
	cases := []struct {
		name    string
		fence   int64
		firstMs int64
	}{{"the first owner", 1, 1500}, {"after another owner", 5, 1500}}
	for _, one := range cases {
		c.Run(one.name, func(c *qt.C) {
			w := newPool(c, 1, 1, 1, one.fence)
			w.view.Policy.Store.Turns = 64
			var begun []int64
			began := w.now
			for w.now < began+10000 {
				store := w.p.cloneStore()
				store.Turns = make([]wire.Turn, 64)
				store.Queue = []wire.PermitAsk{{Worker: "x"}, {Worker: "y"}, {Worker: "z"}}
				e := &effects{}
				if w.now%2000 < 1000 {
					w.p.giveTurns(w.now, e, &store)
				}
				for range e.step.Out {
					begun = append(begun, w.now)
				}
				store.Turns, store.Queue = nil, nil
				w.p.state.Store = store
				if w.now == 7000 {
					restart(w)
				}
				w.now += 10
			}
			paced(c, begun)
			c.Check(begun[0]-began, qt.Equals, one.firstMs)
			c.Check(len(begun) > 8, qt.IsTrue)
		})
	}
}
