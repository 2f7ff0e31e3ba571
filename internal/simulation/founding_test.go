package simulation

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"applequay/internal/controlplane/register"
)

// bySeeds is a shape whose first core set is founded by some seeds of an unknown
// number of core machines.
func bySeeds(shape Shape, seeds, cores int) Shape {
	shape.Seeds, shape.Cores = seeds, cores
	shape.SyncMs, shape.CallMs, shape.LeaseMs, shape.LossPercent = 5, 2500, 3000, 1
	return shape
}

// Machines that start in any order within 0.3 s take part within 4 s, be they
// seeds or not.
func TestFoundedBySeeds(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	for _, one := range []struct{ seeds, cores int }{{1, 1}, {1, 3}, {2, 2}, {3, 3}, {3, 4}, {3, 6}, {3, 9}} {
		c.Run(fmt.Sprintf("%d of %d", one.seeds, one.cores), func(c *qt.C) {
			for seed := int64(1); seed <= 3; seed++ {
				w := New(bySeeds(Krizanka(), one.seeds, one.cores), seed)
				w.Run(4300)
				c.Check(w.allIn(), qt.IsTrue, qt.Commentf("seed %d: %v", seed, w.coreAt(0)))
			}
		})
	}
}

// A late machine and one that lost its disk never found another set; they join.
func TestNoSecondFounding(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := New(bySeeds(Krizanka(), 3, 4), 5)
	w.Run(8000)
	c.Assert(w.allIn(), qt.IsTrue)
	epoch := w.coreAt(0).Epoch
	w.Crash(0, true)
	w.Restart(0, true)
	w.AddCore("c9", "10.0.0.9:1")
	w.Run(12000)
	c.Check(w.allIn(), qt.IsTrue, qt.Commentf("%v", w.coreAt(1)))
	c.Check(w.coreAt(0).Epoch > epoch, qt.IsTrue)
	calm(c, w)
}

// Machines lose their disks or go for good, one after another, each after the
// one before had its time to catch up: nothing acknowledged is lost.
func TestLossesInTurn(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	for _, one := range []struct {
		name string
		lose func(w *World, turn int)
	}{
		{"wiped", func(w *World, turn int) {
			w.Crash(turn%3, true)
			w.Run(w.NowMs + 700)
			w.Restart(turn%3, true)
		}},
		{"replaced", func(w *World, turn int) {
			at := w.firstUp()
			w.Crash(at, true)
			w.AddCore(fmt.Sprintf("d%d", turn), fmt.Sprintf("10.0.0.%d:1", 30+turn))
		}},
		{"drained and replaced", func(w *World, turn int) {
			at := w.firstUp()
			w.Drain(at)
			w.AddCore(fmt.Sprintf("d%d", turn), fmt.Sprintf("10.0.0.%d:1", 30+turn))
		}},
	} {
		for _, cores := range []int{3, 4} {
			c.Run(fmt.Sprintf("%s %d", one.name, cores), func(c *qt.C) {
				c.Parallel()
				w := New(bySeeds(Krizanka(), 3, cores), 7)
				ann := w.NewOperator("ann")
				for at := int64(5000); at < 30000; at += 300 {
					w.At(at, func() { ann.Get(ann.Set) })
				}
				w.Run(9000)
				for turn := range 5 {
					one.lose(w, turn)
					w.Run(w.NowMs + 4000)
					c.Check(w.allIn(), qt.IsTrue, qt.Commentf("turn %d: %v", turn, w.coreAt(w.firstUp())))
				}
				w.Run(w.NowMs + 8000)
				calm(c, w)
			})
		}
	}
}

// A machine that goes for good is taken out without another in its place, so
// that of four the next may be lost too; of three none is taken out.
func TestShrinksToThree(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := New(bySeeds(Krizanka(), 3, 4), 9)
	w.Run(9000)
	w.Crash(3, false)
	w.Run(w.NowMs + 8000)
	c.Check(w.coreAt(0).Voters, qt.HasLen, 3)
	w.Crash(2, false)
	w.Run(w.NowMs + 20000)
	c.Check(w.coreAt(0).Voters, qt.HasLen, 3)
	done := false
	w.Restart(3, false)
	w.Run(w.NowMs + 4000)
	ann := w.NewOperator("ann")
	// She asks a node at random, which may be the one that is down, and goes on to
	// another as operators do.
	for wait := int64(0); wait < 1000; wait += 100 {
		w.At(w.NowMs+wait, func() {
			if !done {
				ann.Get(func(int64) { done = true })
			}
		})
	}
	w.Run(w.NowMs + 3000)
	c.Check(w.allIn(), qt.IsTrue)
	c.Check(done, qt.IsTrue)
	calm(c, w)
}

// The whole core is killed at once and back within a second: it takes writes
// again within two seconds more.
func TestWholeCoreKilled(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	for seed := int64(1); seed <= 3; seed++ {
		w := New(bySeeds(Krizanka(), 3, 4), seed)
		ann := w.NewOperator("ann")
		ann.Set(-1)
		w.Run(9000)
		for at := range w.cores {
			w.Crash(at, true)
			w.At(w.NowMs+500+w.Random.Int63n(500), func() { w.Restart(at, false) })
		}
		w.Run(10000)
		e, done := w.cores[0], int64(0)
		e.nextAsk++
		e.answers[e.nextAsk] = func(outcome register.Outcome) {
			c.Check(outcome.Fate, qt.Equals, register.FateDone)
			done = w.NowMs
		}
		e.perform(e.core.Change(e.Clock(), e.nextAsk, register.Write{Key: "policy", Expected: -1, Next: 1000, Body: w.Body("ann-9")}))
		w.Run(12000)
		c.Check(done > 0, qt.IsTrue, qt.Commentf("seed %d", seed))
	}
}

// A coordinator that hears nobody, and that all others hear, does not keep a newcomer
// out.
func TestDeafCoordinator(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := New(bySeeds(Krizanka(), 3, 4), 4)
	w.Run(9000)
	at := 0
	for i, e := range w.cores {
		if e.ID < w.cores[at].ID {
			at = i
		}
	}
	for i, e := range w.cores {
		w.Cut(e.Addr, w.cores[at].Addr, i != at)
	}
	fresh := w.AddCore("c9", "10.0.0.9:1")
	w.Run(w.NowMs + 5000)
	other := (at + 1) % 4
	c.Check(admitted(w.coreAt(other), fresh.ID), qt.IsTrue, qt.Commentf("%v", w.coreAt(other)))
	w.Cuts = map[[2]string]bool{}
	w.Run(w.NowMs + 8000)
	c.Check(w.allIn(), qt.IsTrue, qt.Commentf("%v", w.coreAt(other)))
	calm(c, w)
}

// The partitions of an owner that dies have others within a lease; turns stay a
// lease apart.
func TestTakeover(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	for seed := int64(1); seed <= 4; seed++ {
		w := New(bySeeds(Krizanka(), 3, 4), seed)
		ann := w.NewOperator("ann")
		w.At(4000, func() { ann.Set(-1) })
		w.Run(30000)
		w.Crash(1, true)
		began := w.NowMs
		for w.held() < int(w.Shape.Partitions) && w.NowMs < began+10000 {
			w.Run(w.NowMs + 25)
		}
		c.Logf("seed %d: %d ms", seed, w.NowMs-began)
		c.Check(w.NowMs-began <= w.Shape.LeaseMs, qt.IsTrue, qt.Commentf("seed %d: %d ms", seed, w.NowMs-began))
		calm(c, w)
	}
}

// held counts the partitions on which some machine may take turns.
func (w *World) held() int {
	count := 0
	for _, e := range w.cores {
		if e.Up {
			count += len(e.core.Page(e.Clock()).Owned)
		}
	}
	return count
}
