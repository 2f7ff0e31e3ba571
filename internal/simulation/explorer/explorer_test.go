package explorer

import (
	"os"
	"path/filepath"
	"runtime/debug"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"applequay/internal/transport/wire"
)

// TestMain lets the heap grow ninefold before it is swept: worlds are small and
// short-lived.
func TestMain(m *testing.M) {
	debug.SetGCPercent(800)
	os.Exit(m.Run())
}

// bounds are how far the complete search of each model goes in a test, and how
// many walks are drawn.
var bounds = []struct {
	model             string
	depth, deviations int
	walks             int
}{
	{"registers", 8, -1, 0},
	{"registers-deep", 40, 1, 6},
	{"core-set", 50, 1, 4},
	{"set-of-five", 5, 1, 4},
	{"leases", 30, 1, 6},
	{"lease-takeover", 20, 1, 40},
	{"lease-again", 3, 1, 10},
	{"founding", 40, 1, 4},
	{"founding-wiped", 20, 2, 4},
	{"handover", 40, 1, 4},
	{"promises", 7, -1, 0},
	{"two-losses", 5, 1, 6},
	{"new-grantor", 5, 1, 6},
	{"missed-sets", 2, 1, 6},
	{"two-changes", 2, 1, 6},
	{"old-set", 8, 1, 6},
	{"lease-clocks", 12, 1, 6},
	{"lease-given-back", 12, 1, 6},
	{"lease-restarts", 12, 1, 6},
	{"lease-adoption", 2, 1, 4},
	{"founding-twice", 14, 2, 6},
	{"partitions", 2, 1, 16},
	{"handed-back", 2, 1, 6},
}

func report(c *qt.C, found Report) {
	c.Logf("%s: %d states, %d steps, %d histories, depth %d, complete %t, %v", found.Model, found.States, found.Steps, found.Histories, found.Depth, found.Complete, found.Took)
	if found.Found == nil {
		return
	}
	model, _ := ModelOf(found.Model)
	short := Shorten(model, *found.Found)
	for _, step := range short.Steps {
		c.Logf("  %s", step)
	}
	c.Errorf("%s: %s, after %d steps", found.Model, short.Breach, len(short.Steps))
}

// Within fixed bounds every history of each model keeps every invariant.
func TestSearch(t *testing.T) {
	c := qt.New(t)
	for _, one := range bounds {
		c.Run(one.model, func(c *qt.C) {
			model, ok := ModelOf(one.model)
			c.Assert(ok, qt.IsTrue)
			model.Depth, model.Deviations = one.depth, one.deviations
			found := Search(model, Options{Seed: 1, Workers: 2})
			report(c, found)
			c.Check(found.Complete, qt.IsTrue)
		})
	}
}

// Every opening can be taken, and breaks nothing.
func TestOpenings(t *testing.T) {
	c := qt.New(t)
	for _, model := range Models() {
		world := New(model, 1)
		c.Check(world.Broken(), qt.Equals, "", qt.Commentf(model.Name))
		c.Check(world.left, qt.Equals, model.Budget, qt.Commentf(model.Name))
	}
}

// What is held on a link stays until it is freed, and other kinds go on.
func TestSlowAndFlush(t *testing.T) {
	c := qt.New(t)
	model, _ := ModelOf("leases")
	world := New(model, 1)
	for _, step := range (script{}).slowsKind("GrantAsk", "", "c3", "c1").rounds(20) {
		c.Assert(world.Take(step), qt.IsTrue)
	}
	c.Assert(world.holds("c3", "c1"), qt.IsTrue)
	c.Check(world.holds("c3", "c2"), qt.IsFalse)
	for _, m := range world.queue {
		c.Check(m.kind, qt.Equals, wire.KindGrantAsk)
	}
	c.Check(world.Take(Step{Do: Flush, From: "c3", Node: "c1"}), qt.IsTrue)
	c.Check(world.holds("c3", "c1"), qt.IsFalse)
	c.Check(world.Take(Step{Do: Flush, From: "c3", Node: "c1"}), qt.IsFalse)
}

// Of two machines that crash in one moment, all having been well, one may lose
// its disk.
func TestOneDiskAtATime(t *testing.T) {
	c := qt.New(t)
	model, _ := ModelOf("core-set")
	model.Settle, model.Budget.Wipes = 2*catchUpMs/tickMs, 2
	world := New(model, 1)
	for _, step := range (script{}).does(Crash, "c3", "c4") {
		c.Assert(world.Take(step), qt.IsTrue)
	}
	c.Check(world.Take(Step{Do: Start, Node: "c3", With: WithEmpty}), qt.IsTrue)
	c.Check(world.Take(Step{Do: Start, Node: "c4", With: WithEmpty}), qt.IsFalse)
	c.Check(world.Take(Step{Do: Start, Node: "c4"}), qt.IsTrue)
}

// length is how long the walks of a model are.
func length(model Model) int {
	if model.Unclosed {
		return 120
	}
	return 400
}

// Long histories drawn by fixed seeds keep every invariant, and a majority
// answers when all faults are over.
func TestWalks(t *testing.T) {
	c := qt.New(t)
	for _, one := range bounds {
		if one.walks == 0 {
			continue
		}
		c.Run(one.model, func(c *qt.C) {
			model, _ := ModelOf(one.model)
			report(c, Walks(model, length(model), one.walks, Options{Seed: 1, Workers: 2}))
		})
	}
}

// Histories that broke an invariant once keep all of them now.
func TestKeptHistories(t *testing.T) {
	c := qt.New(t)
	files, err := filepath.Glob("testdata/*.json")
	c.Assert(err, qt.IsNil)
	for _, file := range files {
		history, err := ReadHistory(file)
		c.Assert(err, qt.IsNil)
		model, ok := ModelOf(history.Model)
		c.Assert(ok, qt.IsTrue)
		world, _ := history.Replay(model)
		c.Check(world.Broken(), qt.Equals, "", qt.Commentf(file))
	}
}

// The same steps give the same world, and steps that cannot be taken change
// nothing.
func TestReplay(t *testing.T) {
	c := qt.New(t)
	for _, name := range []string{"leases", "core-set", "founding"} {
		model, _ := ModelOf(name)
		world, steps := Walk(model, 3, 200)
		again, taken := History{Model: name, Seed: 3, Walk: 200, Steps: steps}.Replay(model)
		c.Check(again.Hash(), qt.Equals, world.Hash())
		c.Check(len(taken), qt.Equals, len(steps))
		c.Check(again.Notes(), qt.DeepEquals, world.Notes())
		hash := again.Hash()
		c.Check(again.Take(Step{Do: Deliver, Node: "c1", From: "c2", Kind: "Probe", Nth: 1 << 30}), qt.IsFalse)
		c.Check(again.Hash(), qt.Equals, hash)
	}
}

// Two independent steps lead to the same state in either order.
func TestIndependentStepsCommute(t *testing.T) {
	c := qt.New(t)
	model, _ := ModelOf("registers")
	pairs := 0
	for depth := range 7 {
		base := New(model, 1)
		var path []Step
		for range depth {
			step := base.Steps()[0]
			base.Take(step)
			path = append(path, step)
		}
		steps := base.Steps()
		for i, one := range steps {
			for _, other := range steps[i+1:] {
				first, second := Replay(model, 1, path), Replay(model, 1, path)
				first.Take(one)
				touched := first.touched
				second.Take(other)
				if !Independent(touched, second.touched) {
					continue
				}
				pairs++
				first.Take(other)
				second.Take(one)
				c.Check(first.Hash(), qt.Equals, second.Hash(), qt.Commentf("%v, %s, %s", path, one, other))
			}
		}
	}
	c.Check(pairs > 10, qt.IsTrue, qt.Commentf("%d pairs", pairs))
}

// A history is shortened to the steps that its breach needs.
func TestFewest(t *testing.T) {
	c := qt.New(t)
	var steps []Step
	for nth := range 200 {
		steps = append(steps, Step{Do: Deliver, Nth: nth})
	}
	needed := []Step{steps[3], steps[77], steps[150]}
	tries := 0
	short := Fewest(steps, func(some []Step) ([]Step, bool) {
		tries++
		for _, step := range needed {
			if !slices.Contains(some, step) {
				return nil, false
			}
		}
		return some, true
	})
	c.Check(short, qt.DeepEquals, needed)
	c.Check(tries < 150, qt.IsTrue, qt.Commentf("%d tries", tries))
}
