package controller

import (
	"math/rand"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"applequay/internal/controlplane/register"
	"applequay/internal/transport/wire"
)

// trio is three controllers that exchange messages without a clock; a message to
// one that is down is lost.
type trio struct {
	nodes map[string]*Controller
	down  map[string]bool
	now   int64
	drop  func(from string, send wire.Send) bool
}

func newTrio(voters ...string) *trio {
	t := &trio{nodes: map[string]*Controller{}, down: map[string]bool{}, now: 20000, drop: func(string, wire.Send) bool { return false }}
	first := wire.CoreSet{Epoch: 1, Size: int64(len(voters)), Rereplicated: true}
	for _, id := range voters {
		first.Voters = append(first.Voters, wire.Voter{ID: id, Name: id, Addr: id + ":1"})
	}
	value := wire.Encode(&wire.Value{Version: 1, Body: wire.Encode(&first)})
	for _, id := range voters {
		boot := Boot{ID: id, Name: id, Addr: id + ":1", Partitions: 1, LeaseMs: 3200, PollMs: 500, ProbeMs: 200, CallMs: 1600, Born: 1}
		founding := wire.Ballot{N: 1, By: "founding"}
		snapshot := &wire.Snapshot{Registers: []wire.AcceptorRecord{{Key: "#core", Value: value}, {Key: "#epoch", Promised: wire.Ballot{N: 1}}, {Key: register.CoreKey, Promised: founding, Accepted: founding, Value: value}}}
		f := New(1, boot, rand.New(rand.NewSource(int64(len(id)))), snapshot, nil)
		f.coreVersion = 1
		t.nodes[id] = f
	}
	return t
}

// send carries what a node sent, and what comes of it, until nothing is left.
func (t *trio) send(from string, out wire.Outputs) {
	type message struct {
		from string
		send wire.Send
	}
	var queue []message
	put := func(from string, out wire.Outputs) {
		for _, one := range append(out.Sends, out.Then...) {
			queue = append(queue, message{from, one})
		}
	}
	put(from, out)
	for len(queue) > 0 {
		one := queue[0]
		queue = queue[1:]
		to := strings.TrimSuffix(one.send.To, ":1")
		if node := t.nodes[to]; node != nil && !t.down[to] && !t.down[one.from] && !t.drop(one.from, one.send) {
			put(to, node.Hear(t.now, one.from, one.send.Body))
		}
	}
}

// pass lets time go by for one node's calls.
func (t *trio) pass(id string, ticks int) {
	for range ticks {
		t.now += 50
		t.send(id, t.nodes[id].settle(t.now, t.nodes[id].proposer.Tick(t.now)))
	}
}

// The coordinator takes a voter out, asks which registers there are under the new
// set, and goes for good before anybody else knows the set. The others find out:
// nobody is bound to a set that nobody left knows.
func TestSetKnownToItsCoordinatorAlone(t *testing.T) {
	c := qt.New(t)
	w := newTrio("a", "b", "c", "d")
	f := w.nodes["a"]
	w.drop = func(_ string, send wire.Send) bool { return send.Kind == wire.KindChosen || send.Kind == wire.KindNews }
	var out wire.Outputs
	core := f.proposer.Core()
	f.changeCore(w.now, &out, coreOf(2, core.Voters[:3]))
	w.send("a", out)
	w.pass("a", 10)
	c.Assert(f.proposer.Core().Epoch, qt.Equals, int64(2))
	out = wire.Outputs{}
	f.rereplicate(w.now, &out, f.proposer.Core())
	w.send("a", out)
	w.down["a"] = true
	w.drop = func(string, wire.Send) bool { return false }
	done := false
	call := w.nodes["b"].then(func(_ int64, outcome register.Outcome) wire.Outputs {
		done = outcome.Fate == register.FateDone
		return wire.Outputs{}
	})
	w.send("b", w.nodes["b"].proposer.Change(w.now, call, PolicyKey, -1, 0, []byte("{}"), "b#1"))
	w.pass("b", 40)
	c.Check(done, qt.IsTrue, qt.Commentf("b, c and d are a majority of the only set that they know"))
}

// A node votes on leases only where it has a vote in the set that it knows, and in
// the asker's: who has just got a vote grants nothing for a lease.
func TestVotesOnlyFromAKnownVoter(t *testing.T) {
	c := qt.New(t)
	boot := Boot{ID: "d", Name: "d", Addr: "d:1", Partitions: 1, LeaseMs: 3200, PollMs: 500, ProbeMs: 200, CallMs: 1600, Born: 1}
	voters := []wire.Voter{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	cases := []struct {
		name  string
		known wire.CoreSet
		asked int64
		votes bool
	}{
		{"a seat of the very set", wire.CoreSet{Epoch: 5, Voters: append(voters[:2:2], wire.Voter{ID: "d"}), Rereplicated: true}, 5, true},
		{"a seat that may have been lost, but not got again", wire.CoreSet{Epoch: 5, Voters: append(voters[:2:2], wire.Voter{ID: "d"}), Rereplicated: true}, 7, true},
		{"a seat that may have been lost and got again", wire.CoreSet{Epoch: 5, Voters: append(voters[:2:2], wire.Voter{ID: "d"}), Rereplicated: true}, 8, false},
		{"a joiner", wire.CoreSet{Epoch: 5, Voters: voters, Joining: []wire.Voter{{ID: "d"}}}, 5, false},
		{"a joiner that may have its seat by now", wire.CoreSet{Epoch: 5, Voters: voters, Joining: []wire.Voter{{ID: "d"}}}, 6, false},
		{"an older set", wire.CoreSet{Epoch: 5, Voters: append(voters[:2:2], wire.Voter{ID: "d"}), Rereplicated: true}, 4, false},
	}
	for _, one := range cases {
		c.Run(one.name, func(c *qt.C) {
			f := New(1, boot, rand.New(rand.NewSource(1)), &wire.Snapshot{}, nil)
			var out wire.Outputs
			f.learnCore(5000, &out, one.known)
			out = f.Hear(20000, "b", &wire.GrantAsk{Op: 1, Epoch: one.asked, Holds: []wire.Hold{{Partition: 0, Fence: 1}}})
			granted := 0
			for _, send := range out.Sends {
				if told, is := send.Body.(*wire.GrantTold); is {
					granted += len(told.Granted)
				}
			}
			c.Check(granted, qt.Equals, map[bool]int{true: 1}[one.votes])
		})
	}
}
