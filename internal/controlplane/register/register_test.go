package register

import (
	"fmt"
	"math/rand"
	"testing"

	qt "github.com/frankban/quicktest"

	"applequay/internal/transport/wire"
)

// bench is three acceptors and some proposers, with a network that the test
// decides on message by message.
type bench struct {
	c         *qt.C
	acceptors map[string]*Acceptor
	proposers map[string]*Proposer
	outcomes  map[string]Outcome
	pass      func(from, to string, body wire.Record) bool
}

func newBench(c *qt.C, names ...string) *bench {
	b := &bench{c: c, acceptors: map[string]*Acceptor{}, proposers: map[string]*Proposer{}, outcomes: map[string]Outcome{}, pass: func(string, string, wire.Record) bool { return true }}
	core := wire.CoreSet{Epoch: 1, Rereplicated: true}
	for _, id := range []string{"x", "y", "z"} {
		b.acceptors[id] = NewAcceptor()
		core.Voters = append(core.Voters, wire.Voter{ID: id})
	}
	for at, name := range names {
		p := NewProposer(name, rand.New(rand.NewSource(int64(at))), Limits{CallMs: 1600, PhaseMs: 400, LineageLen: 4})
		p.Learn(core)
		b.proposers[name] = p
	}
	return b
}

func (b *bench) carry(name string, now int64, out wire.Outputs) {
	for _, answer := range out.Answers {
		b.outcomes[fmt.Sprintf("%s/%d", name, answer.Call)] = answer.Body.(Outcome)
	}
	for _, send := range out.Sends {
		acceptor, ok := b.acceptors[send.To]
		if !ok || !b.pass(name, send.To, send.Body) {
			continue
		}
		if chosen, ok := send.Body.(*wire.Chosen); ok {
			acceptor.Mend(chosen)
			continue
		}
		for _, back := range acceptor.Hear(name, send.Body).Then {
			if b.pass(send.To, name, back.Body) {
				b.carry(name, now, b.proposers[name].Hear(now, send.To, back.Body))
			}
		}
	}
}

func (b *bench) change(name string, call, expected int64, body string) {
	b.carry(name, 0, b.proposers[name].Change(0, call, "policy", expected, 0, []byte(body), fmt.Sprintf("%s#%d", name, call)))
}

func (b *bench) read(name string, call int64) Outcome {
	b.carry(name, 0, b.proposers[name].Read(0, call, "policy", wire.Ballot{}, nil))
	key := fmt.Sprintf("%s/%d", name, call)
	for now := int64(20); now < 1600; now += 20 {
		if _, done := b.outcomes[key]; done {
			break
		}
		b.tick(name, now)
	}
	outcome, done := b.outcomes[key]
	b.c.Assert(done && outcome.Fate == FateDone, qt.IsTrue, qt.Commentf("%s did not end", key))
	return outcome
}

func (b *bench) tick(name string, now int64) { b.carry(name, now, b.proposers[name].Tick(now)) }

func isAccept(body wire.Record) bool { _, ok := body.(*wire.Accept); return ok }

func TestCompareAndSet(t *testing.T) {
	c := qt.New(t)
	b := newBench(c, "p", "q")
	b.change("p", 1, 0, "one")
	c.Check(b.outcomes["p/1"].Fate, qt.Equals, FateDone)
	c.Check(b.outcomes["p/1"].Value.Version, qt.Equals, int64(1))
	b.change("q", 1, 0, "two")
	c.Check(b.outcomes["q/1"].Fate, qt.Equals, FateStale)
	c.Check(b.outcomes["q/1"].Value.Version, qt.Equals, int64(1))
	b.change("q", 2, 1, "two")
	c.Check(b.outcomes["q/2"].Value.Version, qt.Equals, int64(2))
	found := b.read("p", 2)
	c.Check(string(found.Value.Body), qt.Equals, "two")
}

// A write whose acknowledgements were all lost is told by its name, even after
// another write came upon it.
func TestLostAcknowledgement(t *testing.T) {
	c := qt.New(t)
	b := newBench(c, "p", "q")
	b.pass = func(_, to string, body wire.Record) bool {
		_, accepted := body.(*wire.Accepted)
		return !accepted || to != "p"
	}
	b.change("p", 1, 0, "one")
	c.Check(b.outcomes, qt.HasLen, 0)
	b.pass = func(string, string, wire.Record) bool { return true }
	b.change("q", 1, 1, "two")
	c.Check(b.outcomes["q/1"].Value.Version, qt.Equals, int64(2))
	for now := int64(400); now <= 1600; now += 40 {
		b.tick("p", now)
	}
	c.Check(b.outcomes["p/1"].Fate, qt.Equals, FateDone)
	c.Check(b.outcomes["p/1"].Value.Version, qt.Equals, int64(1), qt.Commentf("its own mark, not the newest"))
}

// Without a majority a change ends, saying whether it may have happened.
func TestNoMajority(t *testing.T) {
	c := qt.New(t)
	cases := []struct {
		name string
		pass func(from, to string, body wire.Record) bool
		fate Fate
	}{
		{"nothing was offered", func(_, to string, _ wire.Record) bool { return to == "x" || to == "p" }, FateNone},
		{"one copy may hold it", func(_, to string, body wire.Record) bool { return !isAccept(body) || to == "x" }, FateUnknown},
	}
	for _, one := range cases {
		c.Run(one.name, func(c *qt.C) {
			b := newBench(c, "p")
			b.pass = one.pass
			b.change("p", 1, 0, "one")
			for now := int64(100); now <= 1600; now += 100 {
				b.tick("p", now)
			}
			c.Check(b.outcomes["p/1"].Fate, qt.Equals, one.fate)
		})
	}
}

// A value that only one copy holds is not lost by a read that sees it, and is
// never half seen: a later read agrees with an earlier one.
func TestReadsMend(t *testing.T) {
	c := qt.New(t)
	b := newBench(c, "p", "q")
	b.change("p", 1, 0, "one")
	b.pass = func(_, to string, body wire.Record) bool { return !isAccept(body) || to == "x" }
	b.change("p", 2, 1, "two")
	c.Check(b.outcomes["p/2"].Fate == FateDone && b.outcomes["p/2"].Value.Version == 2, qt.IsFalse)
	// y and z agree on one: two was not chosen, and x's copy does not matter.
	b.pass = func(from, to string, _ wire.Record) bool { return from != "x" && to != "x" }
	c.Check(string(b.read("q", 1).Value.Body), qt.Equals, "one")
	// x and y differ: the read decides, and after it all reads agree.
	b.pass = func(from, to string, _ wire.Record) bool { return from != "z" && to != "z" }
	first := string(b.read("q", 2).Value.Body)
	b.pass = func(from, to string, _ wire.Record) bool { return from != "x" && to != "x" }
	c.Check(string(b.read("q", 3).Value.Body), qt.Equals, first)
	// z was away: a read gives it the copy that it missed.
	b.pass = func(string, string, wire.Record) bool { return true }
	b.read("q", 4)
	_, atZ := b.acceptors["z"].Accepted("policy")
	_, atY := b.acceptors["y"].Accepted("policy")
	c.Check(string(atZ), qt.Equals, string(atY))
}

// A proposer with an old core set is turned away and learns the new one.
func TestOldEpochIsTurnedAway(t *testing.T) {
	c := qt.New(t)
	b := newBench(c, "p", "q")
	next := wire.CoreSet{Epoch: 2, Voters: []wire.Voter{{ID: "x"}, {ID: "y"}}}
	value := wire.Encode(&next)
	b.carry("q", 0, b.proposers["q"].Change(0, 1, CoreKey, 0, 0, value, "q#1"))
	for _, id := range []string{"x", "y"} {
		b.acceptors[id].Raise(2)
		b.acceptors[id].Chose(next)
	}
	b.change("p", 1, 0, "one")
	c.Check(b.proposers["p"].Core().Epoch, qt.Equals, int64(2))
	c.Check(b.outcomes["p/1"].Fate, qt.Equals, FateDone)
	_, atZ := b.acceptors["z"].Accepted("policy")
	c.Check(atZ, qt.HasLen, 0, qt.Commentf("z is no longer asked"))
}

// A core set that one copy accepted and that was never chosen is told to nobody:
// another of the same epoch may have been.
func TestUnchosenCoreIsNotTold(t *testing.T) {
	c := qt.New(t)
	b := newBench(c, "p", "q")
	lost := wire.CoreSet{Epoch: 2, Voters: []wire.Voter{{ID: "y"}, {ID: "z"}}}
	b.pass = func(_, to string, body wire.Record) bool { return !isAccept(body) || to == "x" }
	b.carry("q", 0, b.proposers["q"].Change(0, 1, CoreKey, 0, 0, wire.Encode(&lost), "q#1"))
	b.pass = func(string, string, wire.Record) bool { return true }
	b.acceptors["x"].Raise(2)
	b.change("p", 1, 0, "one")
	c.Check(b.proposers["p"].Core().Epoch, qt.Equals, int64(1))
	// Once a set is known to be chosen, it is told, after a restart too.
	chosen := wire.CoreSet{Epoch: 2, Voters: []wire.Voter{{ID: "x"}, {ID: "y"}}}
	again := NewAcceptor()
	for _, write := range b.acceptors["x"].Chose(chosen).Writes {
		record, err := wire.Decode(write.Kind, write.Body)
		c.Assert(err, qt.IsNil)
		again.Replay(record.(*wire.AcceptorRecord))
	}
	told, ok := again.Core()
	c.Check(ok, qt.IsTrue)
	c.Check(wire.Encode(&told), qt.DeepEquals, wire.Encode(&chosen))
	b.change("p", 2, 0, "two")
	learnt := b.proposers["p"].Core()
	c.Check(wire.Encode(&learnt), qt.DeepEquals, wire.Encode(&chosen))
}

// What an acceptor wrote is what it has after a replay.
func TestAcceptorReplay(t *testing.T) {
	c := qt.New(t)
	b := newBench(c, "p")
	again := NewAcceptor()
	hear := func(body wire.Record) {
		for _, write := range b.acceptors["x"].Hear("p", body).Writes {
			record, err := wire.Decode(write.Kind, write.Body)
			c.Assert(err, qt.IsNil)
			again.Replay(record.(*wire.AcceptorRecord))
		}
	}
	hear(&wire.Prepare{Key: "policy", Epoch: 3, Ballot: wire.Ballot{N: 1, By: "p"}})
	hear(&wire.Accept{Key: "policy", Epoch: 3, Ballot: wire.Ballot{N: 1, By: "p"}, Value: []byte("v")})
	hear(&wire.Prepare{Key: "policy", Epoch: 3, Ballot: wire.Ballot{N: 9, By: "q"}})
	c.Check(again.Snapshot(), qt.DeepEquals, b.acceptors["x"].Snapshot())
	low := again.Hear("r", &wire.Accept{Key: "policy", Epoch: 3, Ballot: wire.Ballot{N: 8, By: "r"}})
	c.Check(low.Then[0].Body.(*wire.Accepted).Ok, qt.IsFalse)
}
