package explorer

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"applequay/internal/controlplane/register"
	"applequay/internal/transport/wire"
)

func voters(ids ...string) []wire.Voter {
	var out []wire.Voter
	for _, id := range ids {
		out = append(out, wire.Voter{ID: id})
	}
	return out
}

func write(name string, expected int64, began, ended int, fate register.Fate, version int64) *Op {
	return &Op{Kind: "write", Name: name, Expected: expected, Began: began, Ended: ended, Answered: true, Fate: fate, Version: version}
}

// logged is an event in the log of partition 0 under a fence.
func logged(fence int64, event wire.Record) wire.Write {
	kinds := map[string]wire.Kind{"*wire.MessagesSent": wire.KindMessagesSent, "*wire.MessagesReceived": wire.KindMessagesReceived, "*wire.PeerRenewed": wire.KindPeerRenewed}
	return wire.Write{Kind: wire.KindEvent, Body: wire.Encode(&wire.Event{Fence: fence, Kind: int64(kinds[fmt.Sprintf("%T", event)]), Body: wire.Encode(event)})}
}

// spoiler breaks one invariant.
type spoiler struct {
	name  string
	spoil func(w *World)
}

// registerSpoilers break what holds of registers, sets and leases.
func registerSpoilers() []spoiler {
	return []spoiler{
		{"one value per version", func(w *World) {
			w.facts.chosen("policy", wire.Value{Version: 1, Body: []byte("a")})
			w.facts.chosen("policy", wire.Value{Version: 1, Body: []byte("b")})
		}},
		{"one value per version", func(w *World) {
			w.facts.coreSeen(w, wire.CoreSet{Epoch: 2, Voters: voters("c1~0", "c2~0")})
			w.facts.coreSeen(w, wire.CoreSet{Epoch: 2, Voters: voters("c1~0", "c3~0")})
		}},
		{"reads are fresh", func(w *World) {
			w.facts.ops = []*Op{write("a", 0, 1, 2, register.FateDone, 1), {Kind: "read", Began: 3, Ended: 4, Answered: true, Fate: register.FateDone}}
		}},
		{"no order taken is refused", func(w *World) {
			w.facts.ops = []*Op{write("a", 0, 1, 2, register.FateStale, 1)}
			w.facts.chosen("policy", wire.Value{Version: 1, Body: []byte("a"), Lineage: append([]byte(register.Digest("a")), 1)})
		}},
		{"refused orders have no effect", func(w *World) {
			w.facts.ops = []*Op{write("a", 0, 1, 2, register.FateNone, 0)}
			w.facts.chosen("policy", wire.Value{Version: 1, Body: []byte("a"), Lineage: append([]byte(register.Digest("a")), 1)})
		}},
		{"one of two orders on one base", func(w *World) {
			w.facts.ops = []*Op{write("a", 0, 1, 3, register.FateDone, 1), write("b", 0, 2, 4, register.FateDone, 1)}
		}},
		{"acknowledged versions are held", func(w *World) { w.facts.acked["policy"] = 3 }},
		{"no vote before copies", func(w *World) {
			w.facts.acked["policy"] = 3
			w.machines[2].id = "c9~0"
			w.facts.coreSeen(w, wire.CoreSet{Epoch: 2, Voters: voters("c1~0", "c2~0"), Joining: voters("c9~0")})
			w.facts.coreSeen(w, wire.CoreSet{Epoch: 3, Voters: voters("c1~0", "c2~0", "c9~0")})
			w.facts.acked["policy"] = 0
		}},
		{"majorities meet", func(w *World) {
			w.facts.coreSeen(w, wire.CoreSet{Epoch: 2, Voters: voters("c1~0")})
		}},
		{"all founders found", func(w *World) {
			w.model.Unfounded, w.facts.cores = true, map[int64]wire.CoreSet{}
			w.facts.coreSeen(w, wire.CoreSet{Epoch: 1, Voters: voters("c1~0", "c2~0")})
		}},
		{"one holder per lease", func(w *World) {
			w.machines[0].owned, w.machines[1].owned = []wire.Hold{{Fence: 1}}, []wire.Hold{{Fence: 1}}
		}},
		{"fences rise", func(w *World) {
			w.facts.fences[0] = wire.Owner{ID: "c1~0", Fence: 4}
			w.machines[1].owned = []wire.Hold{{Fence: 4}}
		}},
	}
}

// partitionSpoilers break what holds of partitions.
func partitionSpoilers() []spoiler {
	return []spoiler{
		{"one log per partition", func(w *World) {
			w.facts.logs.wrote(w.machines[0], logged(1, &wire.MessagesSent{Outbox: "p1", Fence: 1}))
			w.facts.logs.wrote(w.machines[1], logged(1, &wire.MessagesSent{Outbox: "p1", Fence: 1}))
		}},
		{"one log per partition", func(w *World) {
			w.facts.logs.lasts(w.machines[0], wire.Write{Kind: wire.KindSealRecord, Body: wire.Encode(&wire.SealRecord{Fence: 1})})
			w.facts.logs.wrote(w.machines[0], logged(1, &wire.PeerRenewed{Partition: 1, Fence: 1}))
		}},
		{"one log per partition", func(w *World) {
			w.facts.logs.wrote(w.machines[0], logged(2, &wire.PeerRenewed{Partition: 1, Fence: 1}))
			w.facts.logs.wrote(w.machines[1], logged(1, &wire.PeerRenewed{Partition: 1, Fence: 1}))
		}},
		{"messages are taken once", func(w *World) {
			for range 2 {
				w.facts.logs.lasts(w.machines[0], logged(1, &wire.MessagesReceived{Sender: "p1", Fence: 1, Pos: 1}))
			}
		}},
		{"messages are taken once", func(w *World) {
			w.facts.logs.wrote(w.machines[0], logged(1, &wire.MessagesSent{Outbox: "p1", Fence: 1, Pos: 1}))
		}},
		{"an order number names one order", func(w *World) {
			w.facts.ordered(w, sentOrder{from: w.machines[0], body: &wire.Order{Worker: "w1", Fence: 1, Seq: 1, Op: "load", Item: "m1"}})
			w.facts.ordered(w, sentOrder{from: w.machines[0], body: &wire.Order{Worker: "w1", Fence: 1, Seq: 1, Op: "load", Item: "m2"}})
		}},
		{"turns are a lease apart", func(w *World) {
			w.facts.ordered(w, sentOrder{from: w.machines[0], body: &wire.Order{Worker: "w1", Fence: 1, Seq: 1, Op: "load", Item: "m1"}})
			w.facts.ordered(w, sentOrder{from: w.machines[1], body: &wire.Order{Worker: "w1", Fence: 2, Seq: 1, Op: "load", Item: "m1"}})
		}},
		{"permits are not exceeded", func(w *World) {
			for range storeTurns + 1 {
				w.facts.loadBegins(w.now, w.now+1)
			}
		}},
	}
}

// Each invariant is seen to fail on facts that break it, and on none that the
// others are for.
func TestEachInvariantFails(t *testing.T) {
	c := qt.New(t)
	model, _ := ModelOf("leases")
	model.Settle = 0
	for _, one := range slices.Concat(registerSpoilers(), partitionSpoilers()) {
		w := New(model, 1)
		c.Assert(w.Broken(), qt.Equals, "")
		one.spoil(w)
		w.check()
		c.Check(strings.HasPrefix(w.Broken(), one.name+":"), qt.IsTrue, qt.Commentf("%s: %q", one.name, w.Broken()))
	}
}
