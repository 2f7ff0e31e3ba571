package controller

import (
	"math/rand"
	"testing"

	qt "github.com/frankban/quicktest"

	"applequay/internal/controlplane/distribution"
	"applequay/internal/transport/wire"
)

// A subscriber hears of the service it names, and of nothing it has; a home of
// homes is not sent the policy over and over. The policy goes to nobody from the
// board alone: who lacks it waits until a majority was asked.
func TestSubscriberHearsOfItsService(t *testing.T) {
	c := qt.New(t)
	f := New(1, Boot{ID: "c1~1", Name: "c1", Addr: "10.0.0.1:7000", Zone: "z1", Partitions: 2, LeaseMs: 3200, PollMs: 500, ProbeMs: 200, CallMs: 1600}, rand.New(rand.NewSource(1)), &wire.Snapshot{}, nil)
	f.board.Put(wire.Topic{Name: PolicyKey, Step: 7, Body: []byte("whole")})
	f.board.Put(wire.Topic{Name: "homes/llm/w1", Term: 1, Step: 3, Body: []byte("w1")})
	cases := []struct {
		name  string
		asked wire.Subscribe
		told  []string
		waits bool
	}{
		{"all", wire.Subscribe{}, []string{"homes/llm/w1"}, true},
		{"homes of a pool", wire.Subscribe{Service: "homes/llm"}, []string{"homes/llm/w1"}, false},
		{"control", wire.Subscribe{Service: distribution.ControlService}, nil, true},
		{"the policy it has", wire.Subscribe{Service: distribution.ControlService, Have: []wire.Topic{{Name: PolicyKey, Step: 7}}}, nil, false},
		{"homes it has", wire.Subscribe{Service: "homes/llm", Have: []wire.Topic{{Name: "homes/llm/w1", Term: 1, Step: 3}}}, nil, false},
		{"homes of another pool", wire.Subscribe{Service: "homes/app"}, nil, false},
	}
	for _, one := range cases {
		c.Run(one.name, func(c *qt.C) {
			out := f.Hear(2, "l1~1", &one.asked)
			var told []string
			for _, send := range out.Sends {
				for _, topic := range send.Body.(*wire.News).Topics {
					told = append(told, topic.Name)
				}
			}
			c.Check(told, qt.DeepEquals, one.told)
			c.Check(len(f.confirming.waits) > 0, qt.Equals, one.waits)
			f.confirming.waits = nil
		})
	}
}
