package simulation

import (
	"os"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// SIM_SEEDS=from-to runs other seeds, SIM_SHOW=1 prints the histories.
func seeds(c *qt.C, from, to int64) (int64, int64) {
	if text := os.Getenv("SIM_SEEDS"); text != "" {
		one, other, ok := strings.Cut(text, "-")
		c.Assert(ok, qt.IsTrue)
		var err error
		from, err = strconv.ParseInt(one, 10, 64)
		c.Assert(err, qt.IsNil)
		to, err = strconv.ParseInt(other, 10, 64)
		c.Assert(err, qt.IsNil)
	}
	return from, to
}

func TestFaults(t *testing.T) {
	t.Parallel()
	plan(qt.New(t), 4, 6, Faults)
}

func TestHarder(t *testing.T) {
	t.Parallel()
	plan(qt.New(t), 1, 2, Harder)
}

// Seeds that once showed a breach.
func TestFoundSeeds(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	for _, one := range []struct {
		shape Shape
		seed  int64
		run   func(Shape, int64) *World
	}{{Brilleverk(), 70, Harder}, {Brilleverk(), 83, Harder}, {Krizanka(), 15, Faults}, {Krizanka(), 25, Faults}} {
		planOn(c, []Shape{one.shape}, one.seed, one.seed, one.run)
	}
}

func plan(c *qt.C, from, to int64, run func(Shape, int64) *World) {
	from, to = seeds(c, from, to)
	planOn(c, []Shape{Brilleverk(), Krizanka()}, from, to, run)
}

func planOn(c *qt.C, shapes []Shape, from, to int64, run func(Shape, int64) *World) {
	for _, shape := range shapes {
		for seed := from; seed <= to; seed++ {
			c.Run(shape.Name+"/"+strconv.FormatInt(seed, 10), func(c *qt.C) {
				c.Parallel()
				w := run(shape, seed)
				breaches := w.Breaches()
				if len(breaches) > 0 || os.Getenv("SIM_SHOW") != "" {
					c.Logf("%s", strings.Join(w.History, "\n"))
				}
				c.Check(breaches, qt.HasLen, 0)
				c.Check(len(w.facts.orders) > 20, qt.IsTrue, qt.Commentf("%d orders", len(w.facts.orders)))
				c.Check(len(w.facts.waits) > 20, qt.IsTrue, qt.Commentf("%d served", len(w.facts.waits)))
			})
		}
	}
}

// The same seed gives the same history, so that a breach can be replayed.
func TestSameSeedSameHistory(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	one, other := Faults(Brilleverk(), 3), Faults(Brilleverk(), 3)
	c.Assert(one.History, qt.DeepEquals, other.History)
	c.Assert(one.Counts, qt.DeepEquals, other.Counts)
}
