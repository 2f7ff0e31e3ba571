package controller

import (
	"math/rand"
	"testing"

	qt "github.com/frankban/quicktest"

	"applequay/internal/controlplane/partition"
	"applequay/internal/transport/wire"
)

// alone is one controller that is the whole core; its disk is a list of records.
type alone struct {
	f      *Controller
	gate   Gate
	now    int64
	writes []wire.Write
	orders []*wire.Order
}

func newAlone(writes []wire.Write) *alone {
	boot := Boot{ID: "c1~1", Name: "c1", Addr: "a:1", Core: []string{"a:1"}, Partitions: 1, LeaseMs: 3200, PollMs: 500, ProbeMs: 200, CallMs: 1600, Born: 1}
	a := &alone{now: 1, writes: writes}
	a.f = New(1, boot, rand.New(rand.NewSource(1)), &wire.Snapshot{}, writes)
	return a
}

func (a *alone) do(out wire.Outputs) {
	ready := a.gate.Step(out)
	a.writes = append(a.writes, ready.Writes...)
	later := a.gate.Durable(a.gate.Written())
	for _, send := range append(ready.Sends, later.Sends...) {
		if send.To == "c1~1" {
			a.do(a.f.Hear(a.now, send.To, send.Body))
		} else if order, ok := send.Body.(*wire.Order); ok && send.To == "worker" {
			a.orders = append(a.orders, order)
		}
	}
}

func (a *alone) run(ms int64) {
	for until := a.now + ms; a.now < until; a.now += 25 {
		a.do(a.f.Tick(a.now, a.now))
	}
}

func (a *alone) fence() int64 {
	fence, _ := a.f.holder.Mine(a.now, 0)
	return fence
}

// A node grants itself nothing for a lease, then owns; started again it goes on
// under the same fence with the same state.
func TestResume(t *testing.T) {
	c := qt.New(t)
	a := newAlone(nil)
	a.run(1500)
	c.Check(a.fence(), qt.Equals, int64(0))
	a.run(2000)
	c.Assert(a.fence(), qt.Equals, int64(1))
	a.do(a.f.owned[0].Post(a.now, "l1", &wire.Post{Sender: "front/l1", SenderFence: 1, Fence: 1, Pos: 1, Kind: int64(wire.KindWant), Key: partition.ItemKey("m1"), Body: wire.Encode(&wire.Want{Item: "m1", Held: 1})}))
	again := newAlone(a.writes)
	again.run(6000)
	c.Check(again.fence(), qt.Equals, int64(1))
	c.Check(again.f.owned[0].State().Items, qt.HasLen, 1)
}

// A sealed state never goes on under its own fence, after a restart either: it
// is taken up under the next one, with all that is in it.
func TestSealedNeverResumes(t *testing.T) {
	c := qt.New(t)
	a := newAlone(nil)
	a.run(6000)
	c.Assert(a.fence(), qt.Equals, int64(1))
	a.do(a.f.owned[0].Post(a.now, "l1", &wire.Post{Sender: "front/l1", SenderFence: 1, Fence: 1, Pos: 1, Kind: int64(wire.KindWant), Key: partition.ItemKey("m1"), Body: wire.Encode(&wire.Want{Item: "m1", Held: 1})}))
	var out wire.Outputs
	a.f.startMove(a.now, &out, 0, "c2~1")
	a.do(out)
	c.Check(a.f.mine(a.now, 0), qt.IsNil, qt.Commentf("no turns once sealed"))
	for _, one := range []*alone{a, newAlone(a.writes)} {
		one.run(9000)
		c.Assert(one.fence(), qt.Equals, int64(2))
		state := one.f.owned[0].State()
		c.Check(state.Sealed, qt.IsFalse)
		c.Check(state.Fence, qt.Equals, int64(2))
		c.Check(state.Items, qt.HasLen, 1)
	}
}

// A state handed over is used only if the register names its owner and fence.
func TestHandedStateNeedsTheRegister(t *testing.T) {
	c := qt.New(t)
	cases := []struct {
		name  string
		owner string
		fence int64
		used  bool
	}{{"as the register says", "c1~1", 1, true}, {"another owner", "c7~1", 1, false}, {"an older fence", "c1~1", 0, false}}
	for _, one := range cases {
		c.Run(one.name, func(c *qt.C) {
			a := newAlone(nil)
			a.run(6000)
			handed := partition.NewState(0, one.owner, one.fence)
			handed.Sealed = true
			handed.Items["m9"] = wire.ItemState{Name: "m9"}
			a.f.kept[0], a.f.handed[0] = nil, handed
			delete(a.f.owned, 0)
			a.f.holder.Drop(0)
			a.run(6000)
			c.Assert(a.fence(), qt.Equals, int64(2))
			_, there := a.f.owned[0].State().Items["m9"]
			c.Check(there, qt.Equals, one.used)
		})
	}
}

// A node that is let into the core set, long after it began, votes for no owner
// for a lease: the one whose vote it has may have.
func TestNewVoterIsQuiet(t *testing.T) {
	c := qt.New(t)
	boot := Boot{ID: "d~1", Name: "d", Addr: "d:1", Partitions: 1, LeaseMs: 3200, PollMs: 500, ProbeMs: 200, CallMs: 1600, Born: 1}
	f := New(1, boot, rand.New(rand.NewSource(1)), &wire.Snapshot{}, nil)
	voters := []wire.Voter{{ID: "a~1"}, {ID: "b~1"}}
	var out wire.Outputs
	f.learnCore(20000, &out, wire.CoreSet{Epoch: 4, Voters: voters, Rereplicated: true})
	f.learnCore(20000, &out, wire.CoreSet{Epoch: 5, Voters: append(voters, wire.Voter{ID: "d~1"})})
	granted := func(now int64) int {
		told := f.Hear(now, "b~1", &wire.GrantAsk{Op: 1, Epoch: 5, Holds: []wire.Hold{{Partition: 0, Fence: 1}}})
		return len(told.Sends[0].Body.(*wire.GrantTold).Granted)
	}
	c.Check(granted(21500), qt.Equals, 0)
	c.Check(granted(21700), qt.Equals, 1)
	// Who goes by an older set gets the newer one instead of a vote.
	out = f.Hear(23300, "b~1", &wire.GrantAsk{Op: 2, Epoch: 4, Holds: []wire.Hold{{Partition: 0, Fence: 1}}})
	c.Check(out.Sends[0].Kind, qt.Equals, wire.KindNews)
}

// What waits for the disk leaves in order, and not before.
func TestGate(t *testing.T) {
	c := qt.New(t)
	var gate Gate
	step := func(writes int, to string) wire.Outputs {
		var out wire.Outputs
		for range writes {
			out.Write(wire.KindSealRecord, &wire.SealRecord{})
		}
		out.After(to, wire.KindFoundAsk, &wire.FoundAsk{})
		return gate.Step(out)
	}
	c.Check(step(0, "a").Sends, qt.HasLen, 1, qt.Commentf("nothing to wait for"))
	c.Check(step(2, "b").Sends, qt.HasLen, 0)
	c.Check(step(0, "c").Sends, qt.HasLen, 0, qt.Commentf("it comes after what is not durable"))
	c.Check(step(1, "d").Sends, qt.HasLen, 0)
	c.Check(gate.Durable(1).Sends, qt.HasLen, 0)
	ready := gate.Durable(2).Sends
	c.Assert(ready, qt.HasLen, 2)
	c.Check(ready[0].To+ready[1].To, qt.Equals, "bc")
	c.Check(gate.Durable(3).Sends, qt.HasLen, 1)
}

// What a partition says to another leaves only while its owner may take turns.
func TestPostsEndWithTheLease(t *testing.T) {
	c := qt.New(t)
	a := newAlone(nil)
	a.run(3500)
	post := func(sender string, fence int64) wire.Send {
		return wire.Send{To: "c2~1", Kind: wire.KindPost, Body: &wire.Post{Sender: sender, SenderFence: fence}}
	}
	c.Assert(a.fence() > 0, qt.IsTrue)
	c.Check(a.f.Leaves(a.now, post("p0", a.fence())), qt.IsTrue)
	c.Check(a.f.Leaves(a.now, post("p0", a.fence()+1)), qt.IsFalse)
	c.Check(a.f.Leaves(a.now+3200, post("p0", a.fence())), qt.IsFalse)
	c.Check(a.f.Leaves(a.now+3200, post("front/l1", 1)), qt.IsTrue)
	c.Check(a.f.Leaves(a.now+3200, wire.Send{To: "c2~1", Kind: wire.KindNews, Body: &wire.News{}}), qt.IsTrue)
}
