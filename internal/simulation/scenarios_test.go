package simulation

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"applequay/internal/controlplane/register"
)

// steady is a world where traffic and a policy are going.
func steady(shape Shape, seed int64, until int64) *World {
	w := New(shape, seed)
	ann := w.NewOperator("ann")
	w.At(4000, func() { ann.Set(-1) })
	for at := int64(5000); at < 120000; at += 400 {
		w.At(at, func() { w.Ask(w.Random.Intn(len(w.fronts)), w.item()) })
	}
	w.Run(until)
	return w
}

func each(c *qt.C, run func(c *qt.C, shape Shape)) {
	for _, shape := range []Shape{Brilleverk(), Krizanka()} {
		c.Run(shape.Name, func(c *qt.C) {
			c.Parallel()
			run(c, shape)
		})
	}
}

func calm(c *qt.C, w *World) {
	breaches := w.Breaches()
	if len(breaches) > 0 {
		c.Logf("%s", strings.Join(w.History, "\n"))
	}
	c.Check(breaches, qt.HasLen, 0)
}

// A machine that comes back with an empty disk is a new identity; it takes the
// old one's vote, one change at a time, and then makes up the majority.
func TestLostDisk(t *testing.T) {
	t.Parallel()
	each(qt.New(t), func(c *qt.C, shape Shape) {
		w := steady(shape, 11, 12000)
		old := w.cores[1].ID
		w.Crash(1, true)
		w.Run(13000)
		w.Restart(1, true)
		w.Run(40000)
		core := w.coreAt(0)
		c.Check(core.Voters, qt.HasLen, shape.Cores)
		c.Check(core.Rereplicated, qt.IsTrue)
		c.Check(admitted(core, old), qt.IsFalse)
		c.Check(admitted(core, w.cores[1].ID), qt.IsTrue)
		w.Crash(0, true)
		done := false
		ben := w.NewOperator("ben")
		for at := int64(41000); at < 50000; at += 500 {
			w.At(at, func() { ben.Get(func(int64) { done = true }) })
		}
		w.Run(52000)
		c.Check(done, qt.IsTrue, qt.Commentf("the new one carries weight"))
		calm(c, w)
	})
}

// So it is when the machine comes back at once, before anyone missed it, though
// the new identity answers at the old one's address.
func TestLostDiskAtOnce(t *testing.T) {
	t.Parallel()
	each(qt.New(t), func(c *qt.C, shape Shape) {
		w := steady(shape, 19, 12000)
		old := w.cores[1].ID
		w.Crash(1, true)
		w.Restart(1, true)
		w.Run(30000)
		core := w.coreAt(0)
		c.Check(core.Voters, qt.HasLen, shape.Cores)
		c.Check(admitted(core, old), qt.IsFalse)
		c.Check(admitted(core, w.cores[1].ID), qt.IsTrue)
		calm(c, w)
	})
}

// A core machine is replaced by an empty one at a new address.
func TestReplacedCore(t *testing.T) {
	t.Parallel()
	each(qt.New(t), func(c *qt.C, shape Shape) {
		w := steady(shape, 12, 12000)
		gone := w.cores[0].ID
		w.Crash(0, true)
		fresh := w.AddCore("c9", "10.0.0.9:1")
		w.Run(60000)
		core := w.coreAt(1)
		c.Check(core.Voters, qt.HasLen, shape.Cores)
		c.Check(core.Rereplicated, qt.IsTrue)
		c.Check(admitted(core, gone), qt.IsFalse)
		c.Check(admitted(core, fresh.ID), qt.IsTrue)
		calm(c, w)
	})
}

// All three seed machines are replaced by empty ones at new addresses, one
// after the other; a front that knows the new ones only joins, learns the
// policy, and serves.
func TestSeedsSwapped(t *testing.T) {
	t.Parallel()
	each(qt.New(t), func(c *qt.C, shape Shape) {
		w := steady(shape, 18, 12000)
		var fresh []string
		for turn := range 3 {
			w.Crash(turn, true)
			fresh = append(fresh, fmt.Sprintf("10.0.0.%d:1", 20+turn))
			w.AddCore(fmt.Sprintf("b%d", turn), fresh[turn])
			w.Run(w.NowMs + 45000)
		}
		core := w.coreAt(shape.Cores)
		c.Check(core.Voters, qt.HasLen, shape.Cores, qt.Commentf("%v", core.Voters))
		c.Check(core.Rereplicated, qt.IsTrue)
		joined := w.AddFront("l99", "10.0.1.99:1", "z0", fresh)
		w.Run(w.NowMs + 4000)
		c.Check(joined.version > 0, qt.IsTrue, qt.Commentf("the front has no policy"))
		w.Ask(len(w.fronts)-1, "m1")
		w.Run(w.NowMs + 12000)
		c.Check(joined.holds("m1"), qt.IsTrue)
		calm(c, w)
	})
}

// All machines lose power and come back: within 12 s requests are served.
func TestPowerOfAll(t *testing.T) {
	t.Parallel()
	each(qt.New(t), func(c *qt.C, shape Shape) {
		w := steady(shape, 13, 20000)
		for at := range w.cores {
			w.Crash(at, true)
		}
		for at := range w.fronts {
			w.CrashFront(at, 500)
		}
		for at := range w.workers {
			w.KillWorker(at, 500)
		}
		w.Run(20500)
		for at := range w.cores {
			w.Restart(at, false)
		}
		w.Run(32500)
		taken, waiting, _ := w.Waits(20500)
		c.Check(len(taken) > waiting, qt.IsTrue, qt.Commentf("%d served, %d wait", len(taken), waiting))
		calm(c, w)
	})
}

// An owner freezes past its grant with orders in flight, and wakes.
func TestFrozenOwner(t *testing.T) {
	t.Parallel()
	each(qt.New(t), func(c *qt.C, shape Shape) {
		w := steady(shape, 14, 10000)
		for at := range w.cores {
			w.Freeze(at, 7000)
			w.Run(w.NowMs + 12000)
		}
		c.Check(len(w.facts.orders) > 20, qt.IsTrue)
		calm(c, w)
	})
}

// The core is split in two, then cut off from all fronts: versions stay, nothing
// is lost, and what was acknowledged on either side holds.
func TestSplitCore(t *testing.T) {
	t.Parallel()
	each(qt.New(t), func(c *qt.C, shape Shape) {
		w := steady(shape, 15, 10000)
		ann, ben := w.NewOperator("ann2"), w.NewOperator("ben2")
		for at := int64(10000); at < 40000; at += 700 {
			w.At(at, func() { ann.Get(ann.Set); ben.Set(-1) })
		}
		half := len(w.cores) / 2
		for _, one := range w.cores[:half] {
			for _, other := range w.cores[half:] {
				w.Cut(one.Addr, other.Addr, true)
				w.Cut(other.Addr, one.Addr, true)
			}
		}
		w.Run(20000)
		w.Heal()
		w.Run(24000)
		for _, e := range w.cores {
			for _, f := range w.fronts {
				w.Cut(e.Addr, f.Addr, true)
				w.Cut(f.Addr, e.Addr, true)
			}
		}
		w.CrashFront(0, 500)
		w.Run(30000)
		c.Check(w.fronts[0].version > 0, qt.IsTrue, qt.Commentf("a restarted front learns from its peers"))
		w.Heal()
		w.Run(45000)
		calm(c, w)
	})
}

// An acknowledged policy outlives the machine that acknowledged it, and is in
// force everywhere within two seconds.
func TestAcknowledgedThenKilled(t *testing.T) {
	t.Parallel()
	each(qt.New(t), func(c *qt.C, shape Shape) {
		w := steady(shape, 16, 12000)
		e := w.cores[0]
		var version int64
		for turn := range 6 {
			name := fmt.Sprintf("kay-%d", turn)
			op := w.facts.begin(w.NowMs, "set", name, -1)
			e.nextAsk++
			e.answers[e.nextAsk] = func(outcome register.Outcome) {
				w.facts.end(w.NowMs, op, outcome, nameOf(outcome.Value))
				version = outcome.Value.Version
				w.Crash(0, true)
			}
			e.perform(e.core.Change(e.Clock(), e.nextAsk, register.Write{Key: "policy", Expected: -1, Body: w.Body(name)}))
			w.Run(w.NowMs + 8000)
			for _, f := range w.fronts {
				c.Check(f.version >= version, qt.IsTrue, qt.Commentf("%s has %d of %d", f.Name, f.version, version))
			}
			w.Restart(0, false)
			w.Run(w.NowMs + 2000)
		}
		fronts := []string{}
		for _, f := range w.fronts {
			fronts = append(fronts, f.Name)
		}
		c.Check(CheckForce(w.facts.ops, w.facts.force, fronts, 2000, func(string, int64, int64) bool { return true }), qt.HasLen, 0)
		calm(c, w)
	})
}
