package agent

import (
	"math/rand"
	"testing"

	qt "github.com/frankban/quicktest"

	"applequay/internal/transport/wire"
)

// What clients ask for reaches one owner, who tells the others, no more often than
// need be, and wants are posted only for what stands nowhere.
func TestTalliesAreSoft(t *testing.T) {
	c := qt.New(t)
	l := New(1, Boot{ID: "l1~1", Proxy: "s:1", Partitions: 3, LeaseMs: 3200, ProbeMs: 200, CallMs: 1000}, rand.New(rand.NewSource(1)))
	l.owners = map[int64]wire.Owner{0: {ID: "c1", Fence: 1}, 1: {Partition: 1, ID: "c2", Fence: 1}, 2: {Partition: 2, ID: "c1", Fence: 1}}
	owners := map[string]bool{}
	live := func(count int64) *wire.Tally {
		return &wire.Tally{Demands: []wire.Demand{{Item: "m1", Rate: 4000, Live: count}}}
	}
	cases := []struct {
		name  string
		at    int64
		tally *wire.Tally
		sent  int
	}{
		{"nothing yet", 1000, &wire.Tally{}, 0},
		{"the first", 1100, live(4), 1},
		{"too soon", 1300, live(40), 0},
		{"it changed", 1500, live(40), 1},
		{"it hardly changed", 2000, live(41), 0},
		{"said again", 3100, live(41), 1},
		{"it ended", 3600, &wire.Tally{}, 1},
		{"and stays so", 9000, &wire.Tally{}, 0},
	}
	for _, one := range cases {
		c.Run(one.name, func(c *qt.C) {
			sent := 0
			out := l.Hear(one.at, "s1~1", one.tally)
			for _, send := range out.Sends {
				if send.Kind == wire.KindTally {
					sent++
					owners[send.To] = true
					c.Check(send.Body.(*wire.Tally).Front, qt.Equals, "l1~1")
				}
			}
			c.Check(sent, qt.Equals, one.sent)
			c.Check(out.Writes, qt.HasLen, 0)
		})
	}
	for at := int64(10000); at < 100000; at += 2000 {
		for _, send := range l.Hear(at, "s1~1", live(at)).Sends {
			owners[send.To] = true
		}
	}
	c.Check(owners, qt.DeepEquals, map[string]bool{"c1": true, "c2": true}, qt.Commentf("none is always the one that is told"))
	l.rooms["w1"] = wire.WorkerNews{Worker: "w1", Loaded: []wire.Loaded{{Item: "m1", Ready: true}, {Item: "m2"}}}
	c.Check(l.stands("m1"), qt.IsTrue)
	c.Check(l.stands("m2"), qt.IsFalse)
	l.workers["w1"] = wire.Worker{Name: "w1", Leaving: true}
	c.Check(l.stands("m1"), qt.IsFalse)
}
