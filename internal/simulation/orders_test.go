package simulation

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"applequay/internal/controlplane/controller"
	"applequay/internal/controlplane/register"
)

func TestOrderHistories(t *testing.T) {
	t.Parallel()
	plan(qt.New(t), 1, 1, Orders)
}

// Eight operators race on every version, with one number, half of all answers
// lost, while something happens to the core; afterwards each order of all times
// is sent again. At most one order on a version is ever acknowledged, one that was
// taken is never refused, one that was refused never takes effect, and all reads
// agree: the judge of histories says so.
func TestRaces(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	for _, race := range races {
		c.Run(race.name, func(c *qt.C) {
			c.Parallel()
			// With 2 the freeze and the lost disk showed an order refused ahead of its base.
			from, to := seeds(c, 2, 2)
			for seed := from; seed <= to; seed++ {
				w := race.run(bySeeds(Brilleverk(), 3, 4), seed)
				fates := w.RemindAll(60)
				c.Check(fates[register.FateDone] >= 4, qt.IsTrue, qt.Commentf("seed %d: %v", seed, fates))
				c.Check(fates[register.FateStale] > fates[register.FateDone], qt.IsTrue, qt.Commentf("seed %d: %v", seed, fates))
				calm(c, w)
			}
		})
	}
}

// After 300 changes every order of the day is sent again: none that was taken is
// refused, the newer ones are acknowledged, none that lost is.
func TestOrdersAfterHundredsOfChanges(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	const changes = 300
	w := New(bySeeds(Brilleverk(), 3, 3), 5)
	w.Run(9000)
	ann, ben := w.NewOperator("ann"), w.NewOperator("ben")
	version := int64(0)
	for range changes {
		made := int64(0)
		ann.Order(version, version+3, 8, 10, func(register.Fate) { made = version + 3 })
		ben.Order(version, version+3, 1, 100, nil)
		for until := w.NowMs + 8000; made == 0 && w.NowMs < until; {
			w.Run(w.NowMs + 20)
		}
		c.Assert(made > 0, qt.IsTrue, qt.Commentf("after version %d", version))
		version = made
	}
	w.Run(w.NowMs + 4000)
	// Each has the time to be answered: all that the value remembers are acknowledged.
	fates := w.RemindAll(400)
	c.Check(fates[register.FateDone] == controller.LineageLen && fates[register.FateStale] > changes/2 && fates[register.FateUnknown] > changes/20, qt.IsTrue, qt.Commentf("%v", fates))
	calm(c, w)
}
