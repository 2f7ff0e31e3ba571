package register

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"applequay/internal/transport/wire"
)

// Versions rise as writers say; a write that is sent again under its name is
// acknowledged again, whatever came after it and whatever it expects.
func TestUnevenVersions(t *testing.T) {
	c := qt.New(t)
	cases := []struct {
		name           string
		expected, next int64
		write          string
		fate           Fate
		version        int64
	}{
		{"the first", 0, 5, "a", FateDone, 5},
		{"not above what stands", -1, 5, "b", FateStale, 5},
		{"below what stands", 5, 3, "c", FateStale, 5},
		{"one after", 5, 0, "d", FateDone, 6},
		{"a leap", 6, 40, "e", FateDone, 40},
		{"the first again", 0, 5, "a", FateDone, 5},
		{"the second again", 5, 0, "d", FateDone, 6},
		{"another on the old mark", 6, 41, "f", FateStale, 40},
		{"any mark", -1, 0, "g", FateDone, 41},
		{"and again", -1, 0, "h", FateDone, 42},
		{"forgotten by now", 0, 5, "a", FateStale, 42},
	}
	b := newBench(c, "p", "q")
	for at, one := range cases {
		node := []string{"p", "q"}[at%2]
		call := int64(at + 1)
		b.carry(node, 0, b.proposers[node].Change(0, call, "policy", one.expected, one.next, []byte(one.name), one.write))
		for now := int64(20); now < 1600; now += 20 {
			b.tick(node, now)
		}
		outcome := b.outcomes[fmt.Sprintf("%s/%d", node, call)]
		c.Check(outcome.Fate, qt.Equals, one.fate, qt.Commentf("%s", one.name))
		c.Check(outcome.Value.Version, qt.Equals, one.version, qt.Commentf("%s", one.name))
		if one.fate == FateDone {
			version, ok := Written(outcome.Value, one.write)
			c.Check(ok, qt.IsTrue)
			c.Check(version, qt.Equals, one.version)
		}
	}
	_, ok := Written(wire.Value{Version: 3}, "a")
	c.Check(ok, qt.IsFalse)
	late := written(written(wire.Value{}, "a", 5), "d", 6)
	late.Version = 5
	c.Check(Standing(late).Version, qt.Equals, int64(6))
}

// Writes of one node go in one round, each as if alone; of several on one version
// one wins.
func TestWritesShareARound(t *testing.T) {
	c := qt.New(t)
	b := newBench(c, "p")
	held := b.pass
	b.pass = func(string, string, wire.Record) bool { return false }
	for call, expected := range []int64{0, 0, 7, -1} {
		b.carry("p", 0, b.proposers["p"].Change(0, int64(call), "policy", expected, int64(7+call), []byte{byte(call)}, fmt.Sprint("w", call)))
	}
	b.pass = held
	b.tick("p", 400)
	var fates []Fate
	for call := range 4 {
		fates = append(fates, b.outcomes[fmt.Sprintf("p/%d", call)].Fate)
	}
	c.Check(fates, qt.DeepEquals, []Fate{FateDone, FateStale, FateDone, FateDone})
	c.Check(b.proposers["p"].Rounds, qt.Equals, int64(1))
}

// Who hears of another's round leaves it time, gives it its writes, and is
// answered by what was chosen.
func TestRoundsOfOthers(t *testing.T) {
	c := qt.New(t)
	cases := []struct {
		name    string
		value   wire.Value
		answers int
		read    bool // answered with what a majority gives then, not with the value heard
		fate    Fate
	}{
		{"taken along", written(written(wire.Value{}, "x#1", 1), "p#1", 2), 1, false, FateDone},
		{"overtaken", written(wire.Value{}, "x#1", 1), 0, true, FateStale},
		{"overtaken, and perhaps taken along long ago", written(written(written(written(written(written(wire.Value{}, "p#1", 1), "b", 2), "c", 3), "d", 4), "e", 5), "f", 6), 0, true, FateUnknown},
		{"nothing yet", wire.Value{Version: 0}, 0, false, FateDone},
	}
	for _, one := range cases {
		c.Run(one.name, func(c *qt.C) {
			b := newBench(c, "p")
			p := b.proposers["p"]
			p.Sense(0, "x", &wire.Prepare{Key: "policy", Ballot: wire.Ballot{N: 9, By: "x"}})
			out := p.Change(0, 1, "policy", 0, 0, []byte("one"), "p#1")
			c.Assert(out.Sends, qt.HasLen, 1)
			c.Check(out.Sends[0].To, qt.Equals, "x")
			c.Check(out.Sends[0].Kind, qt.Equals, wire.KindWriteAsk)
			c.Check(p.Tick(40).Sends, qt.HasLen, 0)
			out = p.Chose(50, "policy", one.value)
			c.Assert(out.Answers, qt.HasLen, one.answers)
			if one.answers > 0 {
				c.Check(out.Answers[0].Body.(Outcome).Fate, qt.Equals, one.fate)
				return
			}
			if one.read {
				newer := written(one.value, "newer", one.value.Version+3)
				for _, acceptor := range b.acceptors {
					acceptor.Mend(&wire.Chosen{Key: "policy", Ballot: wire.Ballot{N: 99, By: "x"}, Value: wire.Encode(&newer)})
				}
				b.carry("p", 50, out)
				c.Check(b.outcomes["p/1"].Fate, qt.Equals, one.fate)
				c.Check(b.outcomes["p/1"].Value.Version, qt.Equals, newer.Version)
				return
			}
			// What came to nothing is written from here.
			for now := int64(50); now < 500; now += 25 {
				b.tick("p", now)
			}
			c.Check(b.outcomes["p/1"].Fate, qt.Equals, FateDone)
		})
	}
}

// A write that was sent before and builds on what is not there yet is not called
// stale: the sending before may wait here or at another node, and is done once
// its base comes.
func TestBaseThatComesLate(t *testing.T) {
	c := qt.New(t)
	b := newBench(c, "p", "q")
	late := Write{Key: "policy", Expected: 7, Next: 9, Body: []byte("late"), Name: "late", Again: true}
	p := b.proposers["p"]
	// p leaves another's round its time, and its network is slow then.
	p.Sense(0, "x", &wire.Prepare{Key: "policy", Ballot: wire.Ballot{N: 9, By: "x"}})
	b.carry("p", 0, p.Write(0, 1, late))
	b.carry("q", 0, b.proposers["q"].Write(0, 1, late))
	for now := int64(20); now < 1600; now += 20 {
		b.tick("q", now)
	}
	c.Check(b.outcomes["q/1"].Fate, qt.Equals, FateUnknown)
	b.carry("q", 0, b.proposers["q"].Change(0, 2, "policy", 0, 7, []byte("base"), "base"))
	for now := int64(20); now < 1600; now += 20 {
		b.tick("q", now)
		b.tick("p", now)
	}
	c.Check(b.outcomes["q/2"].Fate, qt.Equals, FateDone)
	c.Check(b.outcomes["p/1"].Fate, qt.Equals, FateDone)
	// One that was never sent before is refused there, as it was.
	b.carry("q", 2000, b.proposers["q"].Change(2000, 3, "policy", 70, 71, []byte("new"), "new"))
	c.Check(b.outcomes["q/3"].Fate, qt.Equals, FateStale)
}

// Once a copy has told which registers there are, nobody makes another under an
// older core set.
func TestKeysCloseOldSets(t *testing.T) {
	c := qt.New(t)
	acceptor := NewAcceptor()
	out := acceptor.Hear("p", &wire.KeysAsk{Op: 1, Epoch: 4})
	c.Check(out.Writes, qt.HasLen, 1)
	old := acceptor.Hear("q", &wire.Accept{Key: "fresh", Epoch: 3, Ballot: wire.Ballot{N: 1, By: "q"}, Value: []byte("v")})
	c.Check(old.Then[0].Body.(*wire.Accepted).Ok, qt.IsFalse)
}
