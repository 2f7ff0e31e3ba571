package register

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"applequay/internal/transport/wire"
)

// Rounds of a proposer that hears no answers, repeated as they are or begun anew
// with higher ballots, hold up a write of another node for three phases at most, not
// for as long as they go on.
func TestRoundsThatNeverEnd(t *testing.T) {
	c := qt.New(t)
	for _, rises := range []int64{0, 1} {
		b := newBench(c, "p")
		p, ballot := b.proposers["p"], wire.Ballot{N: 1, By: "deaf"}
		sense := func(now int64) {
			b.carry("p", now, p.Sense(now, "x", &wire.Prepare{Key: "policy", Ballot: ballot, Epoch: 1}))
			ballot.N += rises
		}
		sense(0)
		b.change("p", 1, 0, "one")
		ended := int64(0)
		for now := int64(20); now < 1600 && ended == 0; now += 20 {
			if now%100 == 0 {
				sense(now)
			}
			b.tick("p", now)
			if _, done := b.outcomes["p/1"]; done {
				ended = now
			}
		}
		c.Check(b.outcomes["p/1"].Fate, qt.Equals, FateDone)
		c.Check(ended > 0 && ended <= 1100, qt.IsTrue, qt.Commentf("%d ms", ended))
	}
}
