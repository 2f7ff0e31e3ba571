package explorer

import (
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

// Each invariant is seen to fail on facts that break it, and on none that the
// others are for.
func TestEachInvariantFails(t *testing.T) {
	c := qt.New(t)
	model, _ := ModelOf("leases")
	model.Settle = 0
	for _, one := range []struct {
		name  string
		spoil func(w *World)
	}{
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
		{"one holder per lease", func(w *World) {
			w.machines[0].owned, w.machines[1].owned = []wire.Hold{{Fence: 1}}, []wire.Hold{{Fence: 1}}
		}},
		{"fences rise", func(w *World) {
			w.facts.fences[0] = wire.Owner{ID: "c1~0", Fence: 4}
			w.machines[1].owned = []wire.Hold{{Fence: 4}}
		}},
	} {
		w := New(model, 1)
		c.Assert(w.Broken(), qt.Equals, "")
		one.spoil(w)
		w.check()
		c.Check(strings.HasPrefix(w.Broken(), one.name+":"), qt.IsTrue, qt.Commentf("%s: %q", one.name, w.Broken()))
	}
}
