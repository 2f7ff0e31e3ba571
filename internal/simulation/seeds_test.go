package simulation

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// recoverMs is how long after a loss of all machines service may rest (RecoverS of the
// deployments).
const recoverMs = 12000

// loss is a loss of machines with seeds that no longer lead to those that are left.
type loss struct {
	name string
	// plan changes the seeds beforehand, lose is the loss.
	plan, lose func(w *World)
	// away is how many fronts the loss leaves cut off.
	away int
}

// check plays a loss under some seeds and checks that all fronts that are not cut off
// go by the newest policy again in time.
func (l loss) check(c *qt.C) {
	for seed := int64(1); seed <= 5; seed++ {
		w := New(bySeeds(Brilleverk(), 3, 3), seed)
		ann := w.NewOperator("ann")
		w.At(5000, func() { ann.Set(-1) })
		w.Run(9000)
		l.plan(w)
		w.Run(15000)
		newest, began := w.fronts[0].version, w.NowMs
		c.Assert(newest > 0, qt.IsTrue)
		l.lose(w)
		for w.NowMs < began+recoverMs && w.Configured(newest) < len(w.fronts)-l.away {
			w.Run(w.NowMs + 50)
		}
		c.Logf("seed %d: %d ms", seed, w.NowMs-began)
		w.Run(began + recoverMs)
		c.Check(w.allIn(), qt.IsTrue, qt.Commentf("seed %d: %v", seed, w.coreAt(1)))
		c.Check(w.Configured(newest), qt.Equals, len(w.fronts)-l.away, qt.Commentf("seed %d: fronts with the policy after %d ms", seed, w.NowMs-began))
	}
}

// agentSeeds are addresses of agents, which forget all that they know when they end.
var agentSeeds = []string{"10.0.1.1:1", "10.0.1.2:1", "10.0.1.3:1"}

// Guards against RECOVER: after the seeds became agents without a disk and all fronts
// ended at once, every front asked seeds that knew as little, and none ever served again.
func TestReturnsWhereSeedsForgot(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	toAgents := func(w *World) { w.SetSeeds(agentSeeds) }
	for _, one := range []loss{
		{name: "all lose power", plan: toAgents, lose: (*World).LosePower},
		{name: "all lose power, one its disk", plan: toAgents, lose: (*World).LosePowerAndDisk},
		{name: "all fronts are killed", plan: toAgents, lose: (*World).CrashFronts},
		{name: "one seed, an agent", plan: func(w *World) { w.SetSeeds(agentSeeds[2:]) }, lose: (*World).LosePower},
	} {
		c.Run(one.name, one.check)
	}
}

// Guards against RECOVER: after the seeds went, were cut off, or had their addresses
// taken by other machines, and all machines lost power, nobody could be told of anybody.
func TestReturnsWithoutSeeds(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	toGone := func(w *World) { w.SetSeeds([]string{"10.0.2.1:1", "10.0.2.2:1", "10.0.2.3:1"}) }
	for _, one := range []loss{
		{name: "only the fronts' seeds are agents", plan: func(w *World) { w.SetFrontSeeds(agentSeeds) }, lose: (*World).LosePower},
		{name: "seeds are gone", plan: toGone, lose: (*World).LosePower},
		{name: "seeds are gone, one disk is lost", plan: toGone, lose: (*World).LosePowerAndDisk},
		{name: "seeds are gone, all fronts are killed", plan: toGone, lose: (*World).CrashFronts},
		{name: "seeds are other machines", plan: func(w *World) { w.SetSeeds([]string{w.fronts[0].board.Addr, w.fronts[1].board.Addr}) }, lose: (*World).LosePower},
		{name: "no seeds", plan: func(w *World) { w.SetSeeds([]string{}) }, lose: (*World).LosePower},
		{name: "seeds are cut off", plan: func(w *World) { w.SetSeeds(agentSeeds) }, lose: func(w *World) {
			for at := range agentSeeds {
				w.CutFront(at, true)
			}
			w.LosePower()
		}, away: len(agentSeeds)},
	} {
		c.Run(one.name, one.check)
	}
}
