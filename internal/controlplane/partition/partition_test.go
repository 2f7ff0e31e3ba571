package partition

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/google/go-cmp/cmp/cmpopts"

	"applequay/internal/configuration"
	"applequay/internal/transport/wire"
)

// rig is one partition that owns every key, since there is only one.
type rig struct {
	c      *qt.C
	view   *View
	p      *Partition
	writes []wire.Write
	orders []*wire.Order
	now    int64
	quiet  int64 // what the worker says of orders by lower fences
}

func newRig(c *qt.C, fence int64, state *wire.PartitionState) *rig {
	table, faults, _ := configuration.Parse([]byte(`{"store":{"mb_per_s":1000,"turns":2},
		"models":[{"name":"m1","pool":"llm","size_mb":400},{"name":"m2","pool":"llm","size_mb":400},{"name":"m3","pool":"llm","size_mb":400}],
		"adapters":[{"name":"a1","model":"m1","size_mb":50}]}`), 1)
	c.Assert(faults, qt.HasLen, 0)
	r := &rig{c: c, now: 1000, view: &View{Policy: table, Count: 1, Owners: map[int64]wire.Owner{}, Rooms: map[string]wire.WorkerNews{},
		Workers: map[string]wire.Worker{"w1": {Name: "w1", Addr: "w1:1", Pool: "llm", RoomMb: 900}}}}
	if state == nil {
		state = NewState(0, "c1", fence)
	}
	r.p = New(r.now, state, r.view, LimitsFor(3200, 500), "c1", r.now)
	return r
}

// do takes a step's outputs: writes last at once, news goes to the view.
func (r *rig) do(out wire.Outputs) {
	r.writes = append(r.writes, out.Writes...)
	for _, send := range append(out.Sends, out.Then...) {
		switch body := send.Body.(type) {
		case *wire.Order:
			if body.Op != "look" {
				r.orders = append(r.orders, body)
			}
		case *wire.News:
			for _, topic := range body.Topics {
				var room wire.WorkerNews
				r.c.Assert(room.Unmarshal(topic.Body), qt.IsNil)
				r.view.Rooms[room.Worker] = room
			}
		}
	}
}

func (r *rig) tick(to int64) {
	for ; r.now < to; r.now += 50 {
		r.do(r.p.Tick(r.now))
	}
}

func (r *rig) seen(loaded ...wire.Loaded) {
	seq := int64(0)
	for _, order := range r.orders {
		seq = max(seq, order.Seq)
	}
	var used int64
	for _, held := range loaded {
		used += held.SizeMb
	}
	r.do(r.p.Seen(r.now, &wire.Seen{Worker: "w1", Fence: r.p.state.Fence, RoomMb: 900, UsedMb: used, Born: "life", Loaded: loaded, OrderSeq: seq, OrderOk: true, QuietMs: r.quiet}))
}

func (r *rig) want(pos int64, item string, weight int64) wire.Outputs {
	out := r.p.Post(r.now, "l1", &wire.Post{Sender: "front/l1", SenderFence: 1, Partition: 0, Fence: r.p.state.Fence, Pos: pos, Kind: int64(wire.KindWant), Key: ItemKey(item),
		Body: wire.Encode(&wire.Want{Item: item, Held: 1, Weight: weight})})
	r.do(out)
	return out
}

func ready(items ...string) []wire.Loaded {
	var out []wire.Loaded
	for _, item := range items {
		out = append(out, wire.Loaded{Item: item, Ready: true, SizeMb: 400})
	}
	return out
}

func (r *rig) ordered() []string {
	var out []string
	last := int64(0)
	for _, order := range r.orders {
		if order.Seq > last {
			out = append(out, order.Op+" "+order.Item)
			last = order.Seq
		}
	}
	return out
}

// A wanted model gets a home, a permit and an order; what the worker shows
// completes the task; and nothing of it leaves before its events are written.
func TestWantToLoaded(t *testing.T) {
	c := qt.New(t)
	r := newRig(c, 1, nil)
	r.seen()
	out := r.want(1, "m1", 1)
	c.Check(len(out.Writes) > 0, qt.IsTrue)
	c.Check(out.Sends, qt.HasLen, 0, qt.Commentf("all waits for the journal"))
	c.Check(r.ordered(), qt.DeepEquals, []string{"load m1"})
	c.Check(r.orders[0].MbPerS, qt.Equals, int64(500))
	c.Check(r.p.state.Tasks, qt.HasLen, 1)
	r.seen(ready("m1")...)
	c.Check(r.p.state.Tasks, qt.HasLen, 0)
	c.Check(r.p.state.Items["m1"].Homes[0].State, qt.Equals, int64(homeKept))
	c.Check(r.p.state.Store.Turns[0].Busy, qt.IsFalse)
	c.Check(r.view.Rooms["w1"].Loaded, qt.HasLen, 1)
}

// Replaying the log gives the very state that the events were applied to.
func TestReplayGivesTheSameState(t *testing.T) {
	c := qt.New(t)
	r := newRig(c, 1, nil)
	r.seen()
	r.want(1, "m1", 1)
	r.want(2, "a1", 3)
	r.seen(ready("m1")...)
	r.tick(6000)
	again := NewState(0, "c1", 1)
	for _, write := range r.writes {
		record, err := wire.Decode(write.Kind, write.Body)
		c.Assert(err, qt.IsNil)
		event := record.(*wire.Event)
		body, err := wire.Decode(wire.Kind(event.Kind), event.Body)
		c.Assert(err, qt.IsNil)
		Apply(again, wire.Kind(event.Kind), body)
	}
	// Avro writes maps in any order, so the states are compared, not their bytes.
	same := qt.CmpEquals(cmpopts.EquateEmpty())
	c.Check(*again, same, *r.p.State())
	// And a checkpoint of it reads back the same.
	var back wire.PartitionState
	c.Assert(back.Unmarshal(wire.Encode(again)), qt.IsNil)
	c.Check(back, same, *again)
}

func TestPostsAreTakenOnceAndInOrder(t *testing.T) {
	c := qt.New(t)
	cases := []struct {
		name                    string
		senderFence, fence, pos int64
		taken, acked, refused   bool
	}{
		{"next position", 2, 1, 2, true, true, false},
		{"again", 2, 1, 1, false, true, false},
		{"gap", 2, 1, 3, false, false, false},
		{"sender before this one", 1, 1, 2, false, true, true},
		{"sender renewed begins at one", 3, 1, 1, true, true, false},
		{"sender renewed, first lost", 3, 1, 2, false, false, false},
		{"meant for an earlier owner", 2, 0, 2, false, true, true},
	}
	for _, one := range cases {
		c.Run(one.name, func(c *qt.C) {
			r := newRig(c, 1, nil)
			post := func(senderFence, fence, pos int64) wire.Outputs {
				return r.p.Post(r.now, "c2", &wire.Post{Sender: "p7", SenderFence: senderFence, Fence: fence, Pos: pos, Kind: int64(wire.KindUse), Key: WorkerKey("w9"), Body: wire.Encode(&wire.Use{Worker: "w9"})})
			}
			post(2, 1, 1)
			out := post(one.senderFence, one.fence, one.pos)
			c.Check(len(out.Writes) > 0, qt.Equals, one.taken)
			c.Assert(len(out.Then) == 1, qt.Equals, one.acked)
			if one.acked {
				c.Check(out.Then[0].Body.(*wire.PostAck).Refused, qt.Equals, one.refused)
			}
		})
	}
}

// After another owner, a worker gets no order until a whole lease after it
// took this fence, also if the owner is started again in between; the very
// first owner, and one that waited before, need not wait.
func TestTurnsWaitALease(t *testing.T) {
	c := qt.New(t)
	cases := []struct {
		name    string
		fence   int64
		looksMs int64 // how long the worker was looked at before the restart
		quietMs int64
		waits   bool
	}{{"first owner ever", 1, 0, 0, false}, {"after another", 4, 0, 0, true}, {"after another, then restarted too soon", 4, 1000, 0, true}, {"restarted after it waited", 4, 4000, 0, false},
		{"after another that is long quiet", 4, 0, 9000, false}, {"after another that is quiet for a moment", 4, 0, 50, true}}
	for _, one := range cases {
		c.Run(one.name, func(c *qt.C) {
			r := newRig(c, one.fence, nil)
			r.p.state.Store.Turns = make([]wire.Turn, 2)
			r.tick(1500)
			if one.looksMs > 0 {
				for until := r.now + one.looksMs; r.now < until; {
					r.seen()
					r.tick(r.now + 400)
				}
				r = newRig(c, one.fence, r.p.State())
				r.tick(1500)
			}
			looked := r.now
			r.quiet = one.quietMs
			r.seen()
			r.want(1, "m1", 1)
			for r.now < looked+2700 {
				r.tick(r.now + 400)
				r.seen()
			}
			c.Check(len(r.orders) == 0, qt.Equals, one.waits)
			for r.now < looked+6000 {
				r.tick(r.now + 400)
				r.seen()
			}
			c.Check(len(r.orders) > 0, qt.IsTrue)
		})
	}
}

// Room is made by what is lightest and longest unused, never by what came
// lately, and the load waits until the room is seen to be free.
func TestMakingWay(t *testing.T) {
	c := qt.New(t)
	r := newRig(c, 1, nil)
	r.seen()
	r.want(1, "m1", 1)
	r.seen(ready("m1")...)
	r.want(2, "m2", 1)
	r.tick(3000)
	r.seen(ready("m1", "m2")...)
	r.want(3, "m3", 1)
	c.Check(r.ordered(), qt.DeepEquals, []string{"load m1", "load m2"}, qt.Commentf("both came lately"))
	r.tick(5000)
	r.do(r.p.Post(r.now, "l1", &wire.Post{Sender: "front/l1", SenderFence: 1, Fence: 1, Pos: 4, Kind: int64(wire.KindUse), Key: WorkerKey("w1"), Body: wire.Encode(&wire.Use{Worker: "w1", Item: "m2", Weight: 1})}))
	for r.now < 9000 {
		r.tick(r.now + 400)
		r.seen(ready("m1", "m2")...)
	}
	c.Check(r.ordered(), qt.DeepEquals, []string{"load m1", "load m2", "unload m1"})
	r.seen(ready("m2")...)
	c.Check(r.ordered()[3:], qt.DeepEquals, []string{"load m3"})
}
