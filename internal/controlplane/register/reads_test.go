package register

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"applequay/internal/transport/wire"
)

// A read that finds a write on its way to the copies asks again and leaves the
// write alone; only where the copies go on to differ does it propose.
func TestReadLeavesAWriteItsRound(t *testing.T) {
	c := qt.New(t)
	b := newBench(c, "p", "q")
	b.change("p", 1, 0, "one")
	var late []wire.Record
	rounds := 0
	b.pass = func(from, to string, body wire.Record) bool {
		if _, asks := body.(*wire.Prepare); asks && from == "q" {
			rounds++
		}
		if isAccept(body) && from == "p" && to != "x" {
			late = append(late, body)
			return false
		}
		return to != "z" || from != "q"
	}
	b.change("p", 2, 1, "two")
	b.carry("q", 0, b.proposers["q"].Read(0, 1, "policy", wire.Ballot{}, nil))
	b.tick("q", 30)
	c.Check(rounds, qt.Equals, 0, qt.Commentf("x and y differ, z is silent"))
	b.pass = func(from, _ string, body wire.Record) bool {
		_, asks := body.(*wire.Prepare)
		if asks && from == "q" {
			rounds++
		}
		return true
	}
	for _, accept := range late {
		for _, to := range []string{"y", "z"} {
			for _, back := range b.acceptors[to].Hear("p", accept).Then {
				b.carry("p", 40, b.proposers["p"].Hear(40, to, back.Body))
			}
		}
	}
	c.Check(b.outcomes["p/2"].Fate, qt.Equals, FateDone)
	for now := int64(50); now <= 400; now += 10 {
		b.tick("q", now)
	}
	c.Check(b.outcomes["q/1"].Value.Version, qt.Equals, int64(2))
	c.Check(rounds, qt.Equals, 0)
}

// A read whose copies go on to differ ends within its time, also where rounds were
// slow before: it then proposes what is there.
func TestReadEndsWhereRoundsWereSlow(t *testing.T) {
	c := qt.New(t)
	b := newBench(c, "p", "q")
	b.change("p", 1, 0, "one")
	b.pass = func(_, to string, body wire.Record) bool { return !isAccept(body) || to == "x" }
	b.change("p", 2, 1, "two")
	b.pass = func(from, to string, _ wire.Record) bool { return from != "z" && to != "z" }
	q := b.proposers["q"]
	q.roundMs = q.limits.CallMs / 2
	b.carry("q", 0, q.Read(0, 1, "policy", wire.Ballot{}, nil))
	for now := int64(20); now < q.limits.CallMs; now += 20 {
		b.tick("q", now)
	}
	outcome, ended := b.outcomes["q/1"]
	c.Assert(ended, qt.IsTrue)
	c.Check(outcome.Fate, qt.Equals, FateDone)
	c.Check(outcome.Value.Version, qt.Equals, int64(2))
}
