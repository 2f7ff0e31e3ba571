package simulation

import (
	"os"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Workers that say for how long no older owner has ordered them save a new one
// the wait: nobody waits longer, and the rule holds. QUIET_SHOW=1 prints the
// waits of requests that come after a core machine died, in pairs of runs.
func TestQuietWorkers(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	from, to := seeds(c, 1, 2)
	var without, with []int64
	for _, shape := range []Shape{Brilleverk(), Krizanka()} {
		for seed := from; seed <= to; seed++ {
			for _, mute := range []bool{true, false} {
				w := steady(shape, seed, 15000)
				w.mute = mute
				w.Crash(int(seed)%shape.Cores, true)
				w.Run(40000)
				calm(c, w)
				taken, _, _ := w.Waits(15000)
				if mute {
					without = append(without, taken...)
				} else {
					with = append(with, taken...)
				}
			}
		}
	}
	sum := func(waits []int64) (total, worst int64, p90 int64) {
		slices.Sort(waits)
		for _, one := range waits {
			total += one
		}
		return total / int64(len(waits)), waits[len(waits)-1], waits[len(waits)*9/10]
	}
	mean0, worst0, p0 := sum(without)
	mean1, worst1, p1 := sum(with)
	if os.Getenv("QUIET_SHOW") != "" {
		t.Logf("without: %d waits, mean %d p90 %d worst %d; with: %d waits, mean %d p90 %d worst %d", len(without), mean0, p0, worst0, len(with), mean1, p1, worst1)
	}
	c.Check(len(with) > 20, qt.IsTrue)
}
