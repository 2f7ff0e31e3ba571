package partition

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"applequay/internal/transport/wire"
)

// The store's turns are paced, and one whose fate is unknown waits a period.
func TestTurnsOfTheStore(t *testing.T) {
	c := qt.New(t)
	r := newRig(c, 1, nil)
	run := func(now int64, kind wire.Kind, body wire.Record) int {
		e := r.p.handle(now, StoreKey, []wire.Buffered{{Kind: int64(kind), Key: StoreKey, Body: wire.Encode(body)}})
		given := 0
		for _, msg := range e.step.Out {
			if msg.Kind == int64(wire.KindPermitGiven) {
				given++
			}
		}
		Apply(r.p.state, wire.KindStepCompleted, &wire.StepCompleted{Stores: e.step.Stores})
		return given
	}
	ask := func(worker string, ask int64) *wire.PermitAsk {
		return &wire.PermitAsk{Worker: worker, Item: "m1", SizeMb: 400, Ask: ask}
	}
	c.Check(run(1000, wire.KindPermitAsk, ask("x", 1)), qt.Equals, 1)
	c.Check(run(1000, wire.KindPermitAsk, ask("y", 1)), qt.Equals, 1)
	c.Check(run(1000, wire.KindPermitAsk, ask("z", 1)), qt.Equals, 0, qt.Commentf("two turns"))
	c.Check(run(1100, wire.KindPermitAsk, ask("x", 1)), qt.Equals, 1, qt.Commentf("asked again: the same turn"))
	// 400 MB on one of two turns of 1000 MB/s take 800 ms, however fast it was.
	c.Check(run(1200, wire.KindPermitBack, &wire.PermitBack{Worker: "x", Turn: 0, Ask: 1}), qt.Equals, 0)
	c.Check(run(1799, wire.KindPermitBack, &wire.PermitBack{Worker: "q"}), qt.Equals, 0)
	c.Check(run(1800, wire.KindPermitBack, &wire.PermitBack{Worker: "q"}), qt.Equals, 1)
	c.Check(run(2000, wire.KindPermitAsk, ask("v", 1)), qt.Equals, 0)
	c.Check(run(2000, wire.KindPermitBack, &wire.PermitBack{Worker: "y", Turn: 1, Ask: 1, Unknown: true}), qt.Equals, 0)
	c.Check(run(2799, wire.KindPermitBack, &wire.PermitBack{Worker: "q"}), qt.Equals, 0)
	c.Check(run(2800, wire.KindPermitBack, &wire.PermitBack{Worker: "q"}), qt.Equals, 1)
}

// A model whose adapter is used stays, and an adapter waits for its model.
func TestAdapterNeedsItsModel(t *testing.T) {
	c := qt.New(t)
	r := newRig(c, 1, nil)
	r.seen()
	r.want(1, "a1", 1)
	c.Check(r.ordered(), qt.DeepEquals, []string{"load m1"})
	r.seen(ready("m1")...)
	c.Check(r.ordered(), qt.DeepEquals, []string{"load m1", "load a1"})
}

// When a partition's new owner is heard of, what its workers asked before is
// forgotten; what the new owner asked already is not.
func TestForgetsOnlyOldAsks(t *testing.T) {
	c := qt.New(t)
	r := newRig(c, 1, nil)
	old, fresh := int64(1)<<16|4, int64(2)<<16|5
	r.p.state.Store = wire.StoreState{
		Turns: []wire.Turn{{Busy: true, Worker: "x", Ask: old, SizeMb: 400}, {Busy: true, Worker: "x", Ask: fresh, SizeMb: 400}},
		Queue: []wire.PermitAsk{{Worker: "x", Ask: old}, {Worker: "x", Ask: fresh}},
	}
	e := &effects{}
	r.p.forgetAskers(2000, e, 0, 5)
	store := e.step.Stores[0]
	c.Check(store.Turns[0].Busy, qt.IsFalse)
	c.Check(store.Turns[0].FreeMs, qt.Equals, int64(2800))
	c.Check(store.Turns[1].Busy, qt.IsTrue)
	c.Check(store.Queue, qt.HasLen, 1)
}

// A state taken up under the next fence keeps what is loaded and gives up the
// permits that its old owner had.
func TestInherit(t *testing.T) {
	c := qt.New(t)
	old := NewState(3, "c1", 4)
	old.Sealed, old.Vector = true, []wire.Dedup{{Sender: "p1", Fence: 1, Pos: 9}}
	old.Workers["w1"] = wire.WorkerState{Name: "w1", Residents: []wire.Resident{{Item: "a", State: residentAsked}, {Item: "b", State: residentLoading, Turn: 7}, {Item: "c", State: residentReady}}}
	old.Tasks = []wire.Task{{ID: 1, Op: "load", Item: "b"}, {ID: 2, Op: "unload", Item: "d"}}
	old.Outboxes["p5"] = wire.Outbox{Partition: 5, Fence: 2, Next: 12, Msgs: []wire.OutMsg{{Pos: 11}, {Pos: 12}}}
	next := Inherit(old, "c2", 5)
	c.Check(next.Owner == "c2" && next.Fence == 5 && !next.Sealed, qt.IsTrue)
	c.Check(next.Vector, qt.HasLen, 0)
	residents := next.Workers["w1"].Residents
	c.Check(residents[0].State, qt.Equals, int64(residentQueued))
	c.Check(residents[1].Turn, qt.Equals, int64(-1))
	c.Check(residents[2].State, qt.Equals, int64(residentReady))
	c.Check(next.Tasks, qt.HasLen, 1)
	c.Check(next.Outboxes["p5"].Msgs[0].Pos, qt.Equals, int64(1))
	c.Check(next.Outboxes["p5"].Next, qt.Equals, int64(2))
	// Turns that workers of the same partition held are free after a period.
	next.Partition = 0
	next.Store.Turns = []wire.Turn{{Busy: true, Worker: "w1", Ask: 1<<16 | 4, SizeMb: 400}}
	r := newRig(c, 5, next)
	c.Check(r.p.state.Store.Turns[0].Busy, qt.IsFalse)
	c.Check(r.p.state.Store.Turns[0].FreeMs, qt.Equals, r.now+800)
	c.Check(old.Workers["w1"].Residents[0].State, qt.Equals, int64(residentAsked), qt.Commentf("the sealed state is not touched"))
}

// A permit whose order does not leave in time is given back, and one that an
// earlier process may have used is not used again.
func TestPermitsNotUsedGoBack(t *testing.T) {
	c := qt.New(t)
	r := newRig(c, 1, nil)
	r.seen()
	r.p.acked["w1"] = -1 // the worker takes nothing: an order before this one hangs
	r.p.state.Tasks = []wire.Task{{ID: 99, Worker: "w1", Op: "unload", Item: "x", Seq: 0, NotBeforeMs: 1 << 40}}
	r.want(1, "m1", 1)
	c.Check(r.p.state.Store.Turns[0].Busy, qt.IsTrue)
	c.Check(r.orders, qt.HasLen, 0)
	began := r.now
	r.tick(began + 1500)
	c.Check(r.p.state.Store.Turns[0].Busy, qt.IsTrue)
	var copied wire.PartitionState
	c.Assert(copied.Unmarshal(wire.Encode(r.p.State())), qt.IsNil)
	first := r.p.state.Tasks[1].ID
	r.tick(began + 1750)
	c.Check(slices.ContainsFunc(r.p.state.Tasks, func(t wire.Task) bool { return t.ID == first }), qt.IsFalse)
	// After a restart the order does not leave: the look shows that it never did.
	again := newRig(c, 1, &copied)
	c.Check(again.p.state.Store.Turns[0].Busy, qt.IsTrue)
	again.seen()
	c.Check(again.orders, qt.HasLen, 0)
	c.Check(again.p.state.Store.Turns[0].Busy, qt.IsFalse)
	c.Check(again.p.state.Store.Turns[0].FreeMs > again.now, qt.IsTrue)
}

// Looks leave at once, orders wait for their events: a disk that stalls must not
// make workers seem dark.
func TestLooksDoNotWaitForTheDisk(t *testing.T) {
	c := qt.New(t)
	r := newRig(c, 1, nil)
	out := r.p.Tick(r.now)
	c.Assert(out.Sends, qt.HasLen, 1)
	c.Check(out.Sends[0].Body.(*wire.Order).Op, qt.Equals, "look")
	r.seen()
	for _, send := range r.want(1, "m1", 1).Sends {
		c.Errorf("%s left before the journal was done", send.Kind)
	}
	c.Check(r.ordered(), qt.DeepEquals, []string{"load m1"})
}
