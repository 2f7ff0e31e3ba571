package simulation

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"applequay/internal/controlplane/register"
)

// Eight writers at once all hear within 4 s how they fared, through one node or
// all, on quick disks and on ones thirty times slower, while the set changes too.
func TestEightWriters(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	for _, slow := range []int64{0, 150} {
		for _, nodes := range []int{1, 4} {
			for _, changing := range []bool{false, true} {
				c.Run(fmt.Sprintf("%d nodes %d ms changing %v", nodes, slow, changing), func(c *qt.C) {
					c.Parallel()
					for seed := int64(1); seed <= 2; seed++ {
						w := New(bySeeds(Krizanka(), 3, 4), seed)
						w.Run(9000)
						for _, e := range w.cores {
							e.slowMs = slow
						}
						if changing {
							w.AddCore("c9", "10.0.0.9:1")
						}
						fates, longest := eightWrites(w, nodes)
						c.Check(fates[register.FateDone], qt.Equals, 8, qt.Commentf("seed %d: %v", seed, fates))
						c.Check(longest < 4000, qt.IsTrue, qt.Commentf("seed %d: %d ms", seed, longest))
						calm(c, w)
					}
				})
			}
		}
	}
}

func eightWrites(w *World, nodes int) (map[register.Fate]int, int64) {
	fates, longest, began := map[register.Fate]int{}, int64(0), w.NowMs
	for turn := range 8 {
		e, name := w.cores[turn%nodes], fmt.Sprintf("ben-%d", turn)
		op := w.facts.begin(w.NowMs, "set", name, -1)
		e.nextAsk++
		e.answers[e.nextAsk] = func(outcome register.Outcome) {
			w.facts.end(w.NowMs, op, outcome, nameOf(outcome.Value))
			fates[outcome.Fate]++
			longest = max(longest, w.NowMs-began)
		}
		e.perform(e.core.Change(e.Clock(), e.nextAsk, register.Write{Key: "policy", Expected: -1, Body: w.Body(name)}))
	}
	w.Run(w.NowMs + 6000)
	return fates, longest
}
