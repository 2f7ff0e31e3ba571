package controller

import (
	"math/rand"
	"testing"

	qt "github.com/frankban/quicktest"

	"applequay/internal/transport/wire"
)

// What fronts told one controller goes to each other controller once, that of one
// span together; what another controller passed on goes no further.
func TestTalliesGoOn(t *testing.T) {
	c := qt.New(t)
	f := New(1, Boot{ID: "c1~1", Name: "c1", Addr: "10.0.0.1:7000", Zone: "z1", Partitions: 2, LeaseMs: 3200, PollMs: 500, ProbeMs: 200, CallMs: 1600}, rand.New(rand.NewSource(1)), &wire.Snapshot{}, nil)
	f.Hear(2, "c2~1", &wire.ProbeAck{Members: []wire.Member{
		{ID: "c2~1", Role: "controller", Addr: "10.0.0.2:7000", Born: 5}, {ID: "c3~1", Role: "controller", Addr: "10.0.0.3:7000", Born: 5}, {ID: "l1~1", Role: "agent", Addr: "10.0.1.1:7000", Born: 5}}})
	told := func(now int64) map[string][]string {
		out := map[string][]string{}
		for _, send := range f.Tick(now, now).Sends {
			if tallies, is := send.Body.(*wire.Tallies); is {
				out[send.To] = nil
				for _, one := range tallies.Tallies {
					out[send.To] = append(out[send.To], one.Front)
				}
			}
		}
		return out
	}
	live := func(front string, count int64) *wire.Tally {
		return &wire.Tally{Front: front, Demands: []wire.Demand{{Item: "m1", Rate: 4000, Live: count}}}
	}
	c.Check(told(50), qt.HasLen, 0)
	f.Hear(60, "l1~1", live("l1~1", 4))
	f.Hear(70, "l2~1", live("l2~1", 3))
	f.Hear(80, "l1~1", live("l1~1", 5))
	c.Check(told(100), qt.DeepEquals, map[string][]string{"c2~1": {"l1~1", "l2~1"}, "c3~1": {"l1~1", "l2~1"}})
	f.Hear(110, "l1~1", live("l1~1", 9))
	c.Check(told(150), qt.HasLen, 0, qt.Commentf("not so soon again"))
	c.Check(told(200), qt.HasLen, 2)
	f.Hear(210, "c2~1", &wire.Tallies{Tallies: []wire.Tally{*live("l3~1", 2)}})
	c.Check(told(400), qt.HasLen, 0, qt.Commentf("it was for this one"))
	f.view.Demands.Sum(450, f.view.Policy)
	c.Check(f.view.Demands.Of("m1").Live, qt.Equals, int64(9+3+2))
}
