package partition

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"applequay/internal/configuration"
	"applequay/internal/transport/wire"
)

// What waits for the store is foreseen in the order in which turns are given,
// each as long as its pace: 1000 MB/s in two turns, so 2 ms for a MB.
func TestForesee(t *testing.T) {
	c := qt.New(t)
	store := configuration.Empty()
	store.Store = configuration.Store{MbPerS: 1000, Turns: 2}
	asked := func(item string, sizeMb, weight int64) wire.PermitAsk {
		return wire.PermitAsk{Worker: "w1", Item: item, SizeMb: sizeMb, Weight: weight}
	}
	cases := []struct {
		name  string
		turns []wire.Turn
		queue []wire.PermitAsk
		ready map[string]int64
	}{
		{"nothing waits", []wire.Turn{{FreeMs: 5}, {FreeMs: 5}}, nil, map[string]int64{}},
		{"one of two is on", []wire.Turn{{Busy: true, Worker: "w1", Item: "a", FreeMs: 1300}, {FreeMs: 5}}, []wire.PermitAsk{asked("b", 100, 1)}, map[string]int64{"a": 300, "b": 200}},
		{"heaviest first, then in order", []wire.Turn{{Busy: true, Worker: "w1", Item: "a", FreeMs: 1300}, {Busy: true, Worker: "w1", Item: "b", FreeMs: 1500}},
			[]wire.PermitAsk{asked("c", 100, 1), asked("d", 100, 1), asked("e", 50, 9)}, map[string]int64{"a": 300, "b": 500, "e": 400, "c": 600, "d": 700}},
		{"a turn that is over but not given back", []wire.Turn{{Busy: true, Worker: "w1", Item: "a", FreeMs: 900}, {Busy: true, Worker: "w1", Item: "b", FreeMs: 1500}},
			[]wire.PermitAsk{asked("c", 100, 1)}, map[string]int64{"a": 0, "b": 500, "c": 200}},
	}
	for _, one := range cases {
		c.Run(one.name, func(c *qt.C) {
			p := &Partition{state: &wire.PartitionState{Store: wire.StoreState{Turns: one.turns, Queue: one.queue}}, view: &View{Policy: store}}
			ready := map[string]int64{}
			for _, wait := range p.foresee(1000) {
				ready[wait.Item] = wait.ReadyMs
			}
			c.Check(ready, qt.DeepEquals, one.ready)
		})
	}
}
