package controller

import (
	"math/rand"
	"testing"

	qt "github.com/frankban/quicktest"

	"applequay/internal/controlplane/register"
	"applequay/internal/transport/wire"
)

// A machine that learns by a register's answer, and not by news, that it got a
// voter lets a lease pass before it votes on leases, as after any other way.
func TestVoterLearnedByAnswer(t *testing.T) {
	c := qt.New(t)
	voter := func(id string) wire.Voter { return wire.Voter{ID: id, Name: id, Addr: id + ":1"} }
	core := wire.CoreSet{Epoch: 1, Size: 2, Rereplicated: true, Voters: []wire.Voter{voter("c2"), voter("c3")}}
	acceptor := register.NewAcceptor()
	acceptor.Chose(core)
	snapshot := &wire.Snapshot{Registers: acceptor.Snapshot()}
	f := New(1, Boot{ID: "c1", Name: "c1", Addr: "c1:1", Partitions: 1, LeaseMs: 3200, PollMs: 500, ProbeMs: 200, CallMs: 1600, Born: 1}, rand.New(rand.NewSource(1)), snapshot, nil)
	now := int64(60_000)
	out := f.Read(now, 1, PolicyKey)
	var query *wire.Query
	for _, send := range out.Sends {
		if asked, is := send.Body.(*wire.Query); is {
			query = asked
		}
	}
	c.Assert(query, qt.IsNotNil)
	next := wire.CoreSet{Epoch: 2, Size: 3, Voters: append(core.Voters, voter("c1"))}
	f.Hear(now, "c2", &wire.Promise{Op: query.Op, Key: PolicyKey, Query: true, Epoch: 2, Core: wire.Encode(&wire.Value{Version: 2, Body: wire.Encode(&next)})})
	c.Assert(f.admitted(), qt.IsTrue)
	asked := &wire.GrantAsk{Op: 1, Claim: true, Epoch: 2, Holds: []wire.Hold{{Partition: 0, Fence: 1}}}
	for _, send := range f.Hear(now+10, "c2", asked).Sends {
		if told, is := send.Body.(*wire.GrantTold); is {
			c.Check(told.Granted, qt.HasLen, 0)
			c.Check(told.QuietMs > 0, qt.IsTrue)
		}
	}
	kept, known := f.acceptor.Core()
	c.Assert(known, qt.IsTrue)
	c.Check(kept.Epoch, qt.Equals, int64(2))
}
