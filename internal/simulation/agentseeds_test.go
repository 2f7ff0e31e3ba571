package simulation

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against FAULT: a system whose seeds at its very first start are all agents
// without a disk had nobody who might found the core, and never started.
func TestFoundedThroughAgentSeeds(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	for _, one := range []struct{ seeds, cores int }{{1, 1}, {1, 3}, {3, 3}, {3, 4}, {2, 9}} {
		c.Run(fmt.Sprintf("%d for %d", one.seeds, one.cores), func(c *qt.C) {
			for seed := int64(1); seed <= 5; seed++ {
				shape := bySeeds(Krizanka(), one.seeds, one.cores)
				shape.AgentSeeds = true
				w := New(shape, seed)
				ann := w.NewOperator("ann")
				w.At(5000, func() { ann.Set(-1) })
				// Traffic begins 10 s after the machines are started.
				w.Run(10000)
				c.Check(w.allIn(), qt.IsTrue, qt.Commentf("seed %d: %v", seed, w.coreAt(0)))
				c.Check(w.Configured(1), qt.Equals, len(w.fronts), qt.Commentf("seed %d", seed))
				calm(c, w)
			}
		})
	}
}

// Whatever ends in the first moments of a system whose seeds are agents, and whichever
// seeds come after the first, no two sets are founded: all who know a set of an epoch know
// the same.
func TestAgentSeedsFoundOnce(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	founded := 0
	for seed := int64(1); seed <= 80; seed++ {
		shape := bySeeds(Krizanka(), 3, 4)
		shape.AgentSeeds = true
		w := New(shape, seed)
		sets := map[int64]string{}
		for at := int64(50); at < 12000; at += 50 {
			w.At(at, func() { w.checkSets(c, sets) })
		}
		for range 3 {
			front, core := w.Random.Intn(3), w.Random.Intn(4)
			w.At(w.Random.Int63n(1500), func() { w.CrashFront(front, 200) })
			at, wiped := w.Random.Int63n(1500), w.Random.Intn(2) == 0
			w.At(at, func() { w.Crash(core, true) })
			w.At(at+200, func() { w.Restart(core, wiped) })
		}
		if seed%2 == 0 {
			// All are started within 0.3 s, with the same seeds.
			w.At(300+w.Random.Int63n(1000), func() { w.SetSeeds([]string{"10.0.1.4:1", "10.0.1.5:1", "10.0.1.6:1"}) })
		}
		w.Run(12000)
		if len(sets) > 0 {
			founded++
		}
	}
	c.Logf("founded on %d seeds of 80", founded)
	c.Check(founded > 40, qt.IsTrue, qt.Commentf("%d", founded))
}

// checkSets checks that all who know a core set of an epoch know the same.
func (w *World) checkSets(c *qt.C, sets map[int64]string) {
	for _, e := range w.cores {
		if !e.Up {
			continue
		}
		core := e.core.Page(e.Clock()).Core
		if core.Epoch == 0 {
			continue
		}
		voters := fmt.Sprint(core.Voters)
		if known, ok := sets[core.Epoch]; ok && known != voters {
			c.Errorf("seed %d at %d: epoch %d is both %s and %s", w.Seed, w.NowMs, core.Epoch, known, voters)
		}
		sets[core.Epoch] = voters
	}
}

// Guards against two core sets: a part of the system that was cut off at its very first
// start and is given other seeds founds no second one.
func TestLaterSeedsFoundNothing(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	for seed := int64(1); seed <= 5; seed++ {
		shape := bySeeds(Krizanka(), 3, 4)
		shape.AgentSeeds = true
		w := New(shape, seed)
		later := []string{"10.0.1.4:1", "10.0.1.5:1", "10.0.1.6:1"}
		apart := map[string]bool{"10.0.0.3:1": true, "10.0.0.4:1": true}
		for _, addr := range later {
			apart[addr] = true
		}
		for one := range w.Nodes {
			for other := range w.Nodes {
				if apart[one] != apart[other] {
					w.Cut(one, other, true)
				}
			}
		}
		sets := map[int64]string{}
		for at := int64(50); at < 20000; at += 50 {
			w.At(at, func() { w.checkSets(c, sets) })
		}
		w.At(1500, func() { w.SetSeeds(later) })
		w.At(8000, func() { w.Cuts = map[[2]string]bool{} })
		w.Run(20000)
		c.Check(w.allIn(), qt.IsTrue, qt.Commentf("seed %d: %v", seed, w.coreAt(0)))
	}
}
