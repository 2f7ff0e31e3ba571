package controller

import (
	"math/rand"
	"testing"

	qt "github.com/frankban/quicktest"

	"applequay/internal/transport/wire"
)

// All controllers together stay below the rate of the worker list, whatever the
// number of its pages; where the rate allows it the list is read each PollMs.
func TestListReadsStayBelowTheRate(t *testing.T) {
	c := qt.New(t)
	cases := []struct {
		name                        string
		controllers, pages, perS    int64
		pollMs, wantMs, mostCallsIn int64 // calls in 100 s
	}{
		{"no bound", 3, 40, 0, 500, 500, 1 << 40},
		{"one page, ample rate", 3, 1, 40, 500, 500, 4000},
		{"three pages, six controllers, ample rate", 6, 3, 40, 500, 500, 4000},
		{"a low rate", 4, 3, 4, 500, 1750, 400},
		{"a long list", 9, 200, 40, 500, 20000, 4000},
	}
	for _, one := range cases {
		c.Run(one.name, func(c *qt.C) {
			boot := Boot{ID: "a", Name: "a", Addr: "a:1", Partitions: 1, LeaseMs: 3000, PollMs: one.pollMs, ProbeMs: 200, CallMs: 1600, ListPerS: one.perS, Born: 1}
			f := New(1, boot, rand.New(rand.NewSource(1)), &wire.Snapshot{}, nil)
			core := wire.CoreSet{Epoch: 7, Rereplicated: true}
			for range one.controllers {
				core.Voters = append(core.Voters, wire.Voter{ID: string(rune('a' + len(core.Voters)))})
			}
			f.proposer.Learn(core)
			f.ListCalls(one.pages)
			every := f.listEveryMs()
			c.Check(every, qt.Equals, one.wantMs)
			calls := one.pages * (100_000/every + (one.controllers-1)*100_000/(followerReads*every))
			c.Check(calls <= one.mostCallsIn, qt.IsTrue, qt.Commentf("%d calls", calls))
		})
	}
}
