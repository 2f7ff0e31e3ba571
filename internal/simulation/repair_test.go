package simulation

import (
	"os"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Copies that a machine missed while it was away, or lost with its disk, are
// mended by reads and by read repair, without anybody writing. REPAIR_SHOW=1 prints
// how many were missing and how long it took.
func TestRepair(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	from, to := seeds(c, 31, 31)
	for _, wiped := range []bool{false, true} {
		var missing, took []int64
		for _, shape := range []Shape{Brilleverk(), Krizanka()} {
			for seed := from; seed <= to; seed++ {
				w := steady(shape, seed, 15000)
				w.Crash(1, true)
				ben := w.NewOperator("ben")
				for range 10 {
					ben.Get(ben.Set)
					w.Run(w.NowMs + 1500)
				}
				w.Restart(1, wiped)
				w.Run(w.NowMs + 100)
				missing = append(missing, int64(w.behind(1)))
				began := w.NowMs
				for w.behind(1) > 0 && w.NowMs < began+60000 {
					w.Run(w.NowMs + 100)
				}
				took = append(took, w.NowMs-began)
				c.Check(w.behind(1), qt.Equals, 0, qt.Commentf("%s %d wiped %v", shape.Name, seed, wiped))
				calm(c, w)
			}
		}
		slices.Sort(missing)
		slices.Sort(took)
		c.Check(missing[len(missing)-1] > 0, qt.IsTrue)
		if os.Getenv("REPAIR_SHOW") != "" {
			t.Logf("wiped %v: %d runs, missing %d–%d, took median %d ms, %d–%d", wiped, len(took), missing[0], missing[len(missing)-1], took[len(took)/2], took[0], took[len(took)-1])
		}
	}
}
