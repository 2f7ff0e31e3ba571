package register

import (
	"math/rand"
	"testing"

	qt "github.com/frankban/quicktest"

	"applequay/internal/transport/wire"
)

// An answer to the life before this one that comes late is no answer to a
// question of this life, though the node has the same identity.
func TestAnswersToTheLifeBefore(t *testing.T) {
	c := qt.New(t)
	b := newBench(c, "p", "q")
	b.change("q", 1, 0, "one")
	type answer struct {
		from string
		body wire.Record
	}
	var late []answer
	b.pass = func(from, to string, body wire.Record) bool {
		if to == "p" {
			late = append(late, answer{from, body})
		}
		return to != "p"
	}
	b.carry("p", 0, b.proposers["p"].Read(0, 1, "policy", wire.Ballot{}, nil))
	c.Assert(late, qt.HasLen, 3)
	b.change("q", 2, 1, "two")
	b.proposers["p"] = NewProposer("p/2", rand.New(rand.NewSource(99)), Limits{CallMs: 1600, PhaseMs: 400, LineageLen: 4})
	b.proposers["p"].Learn(b.proposers["q"].Core())
	out := b.proposers["p"].Read(0, 1, "policy", wire.Ballot{}, nil)
	for _, one := range late[:3] {
		b.carry("p", 1, b.proposers["p"].Hear(1, one.from, one.body))
	}
	b.pass = func(string, string, wire.Record) bool { return true }
	b.carry("p", 2, out)
	c.Check(string(b.outcomes["p/1"].Value.Body), qt.Equals, "two")
}
