package controller

import (
	"math/rand"
	"testing"

	qt "github.com/frankban/quicktest"

	"applequay/internal/transport/wire"
)

// Of a voter that spoke here itself a moment ago, the word of another that it is
// gone takes no place away; of one that has been silent it does.
func TestVotersOutlastRumours(t *testing.T) {
	c := qt.New(t)
	f := New(1, Boot{ID: "a", Name: "a", Addr: "a:1", Partitions: 1, LeaseMs: 3000, PollMs: 500, ProbeMs: 200, CallMs: 1600, Born: 1}, rand.New(rand.NewSource(1)), &wire.Snapshot{}, nil)
	core := wire.CoreSet{Epoch: 7, Rereplicated: true}
	var told []wire.Member
	for _, id := range []string{"a", "b", "c", "d"} {
		core.Voters = append(core.Voters, wire.Voter{ID: id, Name: id, Addr: id + ":1"})
		told = append(told, wire.Member{ID: id, Name: id, Addr: id + ":1", Role: "controller", Born: 1})
	}
	f.proposer.Learn(core)
	f.Hear(5000, "c", &wire.Probe{Members: told})
	told[3].Standing = int64(wire.StandingRemoved)
	f.Hear(5000, "c", &wire.Probe{Members: told})
	f.Hear(9900, "d", &wire.Subscribe{})
	_, change := f.nextCore(10000, core)
	c.Check(change, qt.IsFalse)
	next, change := f.nextCore(12000, core)
	c.Check(change, qt.IsTrue)
	c.Check(next.Voters, qt.HasLen, 3)
}
