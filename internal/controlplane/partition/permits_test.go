package partition

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"applequay/internal/transport/wire"
)

// loadingM1 is a rig whose worker was told to load m1, took the order, and is at it.
func loadingM1(c *qt.C) *rig {
	r := newRig(c, 1, nil)
	r.seen()
	r.want(1, "m1", 1)
	c.Assert(r.ordered(), qt.DeepEquals, []string{"load m1"})
	c.Assert(r.p.Leaves(r.now, r.orders[0]), qt.IsTrue)
	r.seen(wire.Loaded{Item: "m1", SizeMb: 400})
	return r
}

// However many messages leave meanwhile, an order that left is known to have left:
// the permit of its load goes back only when the load is done.
func TestPermitOfALoadThatIsOn(t *testing.T) {
	c := qt.New(t)
	r := loadingM1(c)
	r.view.Owners[1] = wire.Owner{Partition: 1, ID: "c2", Fence: 1}
	for pos := int64(1); pos <= 400; pos++ {
		r.p.state.Outboxes["p1"] = wire.Outbox{Partition: 1, Fence: 1, Next: pos, Msgs: []wire.OutMsg{{Pos: pos, Kind: int64(wire.KindUse), Key: WorkerKey("w9"), Body: wire.Encode(&wire.Use{})}}}
		r.tick(r.now + 5)
		if pos%10 == 0 {
			r.seen(wire.Loaded{Item: "m1", SizeMb: 400})
		}
	}
	c.Check(r.now > 1000+1600, qt.IsTrue, qt.Commentf("half a lease is over"))
	c.Check(r.p.state.Store.Turns[0].Busy, qt.IsTrue)
	r.seen(ready("m1")...)
	c.Check(r.p.state.Store.Turns[0].Busy, qt.IsFalse)
}

// What was noted of orders goes when their tasks are done.
func TestSendingsAreForgotten(t *testing.T) {
	c := qt.New(t)
	r := loadingM1(c)
	task := r.p.state.Tasks[0].ID
	for id := int64(1000); id < 2000; id++ {
		r.p.sentAt[id], r.p.left[id] = 1, true
	}
	r.tick(r.now + 100)
	c.Check(r.p.sentAt, qt.HasLen, 1)
	c.Check(r.p.left, qt.DeepEquals, map[int64]bool{task: true})
}

// An order that the journal held back for longer than its permit is good for does
// not leave, and its permit goes back; one that left before may leave again.
func TestLoadsLeaveInTime(t *testing.T) {
	c := qt.New(t)
	r := newRig(c, 1, nil)
	r.seen()
	r.want(1, "m1", 1)
	began, late := r.now, r.now+1601
	c.Check(r.p.state.Store.Turns[0].Busy, qt.IsTrue)
	c.Check(r.p.Leaves(late, r.orders[0]), qt.IsFalse)
	r.now = late
	r.tick(late + 50)
	c.Check(r.p.Leaves(began, r.orders[0]), qt.IsFalse, qt.Commentf("it was given up"))
	c.Check(r.p.state.Store.Turns[0].Ask == r.p.state.Store.Turns[1].Ask, qt.IsFalse)
	other := loadingM1(c)
	c.Check(other.p.Leaves(other.now+1601, other.orders[0]), qt.IsTrue)
}

// A permit of an owner of the store's key that is known to have a successor is not
// taken: the successor knows nothing of it.
func TestPermitOfTheOwnerBefore(t *testing.T) {
	c := qt.New(t)
	r := newRig(c, 1, nil)
	post := func(senderFence, pos int64) wire.Outputs {
		return r.p.Post(r.now, "c2", &wire.Post{Sender: "p7", SenderFence: senderFence, Fence: 1, Pos: pos, Kind: int64(wire.KindPermitGiven), Key: WorkerKey("w9"), Body: wire.Encode(&wire.PermitGiven{Worker: "w9"})})
	}
	c.Check(post(2, 1).Then[0].Body.(*wire.PostAck).Refused, qt.IsFalse)
	r.view.Count, r.view.Owners[7] = 8, wire.Owner{Partition: 7, ID: "c3", Fence: 3}
	var out wire.Outputs
	r.p.renewals(r.now, &out)
	late := post(2, 2)
	c.Check(late.Then[0].Body.(*wire.PostAck).Refused, qt.IsTrue)
	c.Check(late.Writes, qt.HasLen, 0)
	fresh := post(3, 1)
	// The acknowledgement comes last: the worker's key gives the permit back, as it has no use for it.
	c.Check(fresh.Then[len(fresh.Then)-1].Body.(*wire.PostAck).Refused, qt.IsFalse)
	c.Check(len(fresh.Writes) > 0, qt.IsTrue, qt.Commentf("the successor's first message is taken"))
}

// An owner of the store's key that knows of no turns waits until a load is over
// whose order left half a lease after the last permit before it.
func TestTurnsOfAnOwnerThatIsNotKnown(t *testing.T) {
	c := qt.New(t)
	r := newRig(c, 5, nil)
	large := r.view.Policy.Items["m1"]
	large.SizeMb = 1500
	r.view.Policy.Items["m1"] = large
	r.p.setTurns(r.now, &r.p.state.Store)
	c.Check(r.p.state.Store.Turns[0].FreeMs, qt.Equals, r.now+1600+3000)
}
