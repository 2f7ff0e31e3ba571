package simulation

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Core machines that lose the others for twenty seconds serve, refuse and confirm
// nothing by themselves, and the others go on.
func TestCutOff(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	from, to := seeds(c, 1, 1)
	for at, cut := range Cuts() {
		for turn, shape := range Shapes() {
			if from == to && from == 1 && turn%2 != at%2 {
				continue // each cut on half of the shapes; SIM_SEEDS plays all
			}
			for seed := from; seed <= to; seed++ {
				c.Run(cut.Name+"/"+shape.Name, func(c *qt.C) {
					c.Parallel()
					w := CutOff(shape, seed, cut)
					breaches := w.CutBreaches()
					if len(breaches) > 0 {
						c.Logf("seed %d\n%s", seed, strings.Join(w.History, "\n"))
					}
					c.Check(breaches, qt.HasLen, 0)
				})
			}
		}
	}
}

// Where one machine was cut off while another was down, no side had a majority;
// at the heal none that stands is taken out by what others thought of it meanwhile.
func TestNobodyTakenOutAtTheHeal(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	for seed := int64(1); seed <= 4; seed++ {
		w := New(Larger(4), seed)
		w.Run(9000)
		w.Crash(3, true)
		cut := &cutting{w: w}
		heal := cut.part(1, true, true)
		w.Run(29000)
		heal()
		cut.side, cut.crossed = nil, []int{3}
		for w.NowMs < 33000 {
			w.Run(w.NowMs + 50)
			cut.seatsStand()
		}
		c.Check(cut.lost, qt.HasLen, 0, qt.Commentf("seed %d", seed))
	}
}
