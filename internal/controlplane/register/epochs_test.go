package register

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"applequay/internal/transport/wire"
)

func coreNamed(epoch int64, ids ...string) wire.CoreSet {
	core := wire.CoreSet{Epoch: epoch, Rereplicated: true, Size: int64(len(ids))}
	for _, id := range ids {
		core.Voters = append(core.Voters, wire.Voter{ID: id})
	}
	return core
}

// Promises heard under one core set do not make a majority of the next: of two
// writes on one version, at either side of a change of the set, one is acknowledged.
func TestPromisesOfTwoCoreSets(t *testing.T) {
	c := qt.New(t)
	b := newBench(c, "q", "zp")
	before, after := coreNamed(1, "x", "y", "z", "w"), coreNamed(2, "x", "y", "z")
	b.acceptors["w"] = NewAcceptor()
	p, q := b.proposers["zp"], b.proposers["q"]
	p.core = before
	for version := range int64(4) {
		b.change("zp", version+1, version, fmt.Sprint("one", version))
	}
	c.Assert(b.outcomes["zp/4"].Value.Version, qt.Equals, int64(4))
	// The next round of p reaches x, whose answer is late, and w, which goes.
	var late wire.Record
	b.pass = func(from, to string, body wire.Record) bool {
		if from == "x" {
			late = body
		}
		return from == "zp" && (to == "x" || to == "w") || from == "w"
	}
	b.change("zp", 5, 4, "two")
	c.Assert(late, qt.IsNotNil)
	// Meanwhile the set is another, and y and z choose a write under it.
	q.Learn(after)
	b.pass = func(from, to string, _ wire.Record) bool { return from != "x" && to != "x" }
	b.change("q", 1, 4, "three")
	for now := int64(20); now < 400; now += 20 {
		b.tick("q", now)
	}
	c.Assert(b.outcomes["q/1"].Fate, qt.Equals, FateDone)
	b.pass = func(string, string, wire.Record) bool { return true }
	p.Learn(after)
	b.carry("zp", 400, p.Hear(400, "x", late))
	for now := int64(420); now < 2000; now += 20 {
		b.tick("zp", now)
	}
	c.Check(b.outcomes["zp/5"].Fate, qt.Equals, FateStale)
	c.Check(string(b.read("q", 2).Value.Body), qt.Equals, "three")
}
