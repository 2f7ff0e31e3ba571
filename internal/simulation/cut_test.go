package simulation

import (
	"fmt"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Core machines that lose the others for twenty seconds serve, refuse and confirm
// nothing by themselves, and the others go on. SIM_SEEDS plays all cuts on all
// shapes; without it each cut has one.
func TestCutOff(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	shapes, all := Shapes(), os.Getenv("SIM_SEEDS") != ""
	from, to := seeds(c, 1, 1)
	for at, cut := range Cuts() {
		for turn, shape := range shapes {
			for seed := from; seed <= to && (all || (at+turn)%len(shapes) == 2); seed++ {
				cutOff(c, cut, shape, seed)
			}
		}
	}
}

// Seeds by which acknowledged versions were lost at the heal, while a proposer
// counted what it heard under one core set by the majority of the next.
func TestCutOffFoundSeeds(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	for _, cut := range Cuts() {
		if cut.Name == "restarted" {
			cutOff(c, cut, Larger(5), 3)
			cutOff(c, cut, Larger(5), 8)
		}
	}
}

func cutOff(c *qt.C, cut Cut, shape Shape, seed int64) {
	c.Run(fmt.Sprintf("%s/%s/%d", cut.Name, shape.Name, seed), func(c *qt.C) {
		c.Parallel()
		w := CutOff(shape, seed, cut)
		breaches := w.CutBreaches()
		if len(breaches) > 0 {
			c.Logf("%s", strings.Join(w.History, "\n"))
		}
		c.Check(breaches, qt.HasLen, 0)
	})
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
			cut.votersStand()
		}
		c.Check(cut.lost, qt.HasLen, 0, qt.Commentf("seed %d", seed))
	}
}
