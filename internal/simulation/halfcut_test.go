package simulation

import (
	"cmp"
	"fmt"
	"os"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"applequay/internal/controlplane/register"
)

// halfCut cuts the links to one core machine, or those from it, for twenty seconds,
// while an operator at each core machine writes every 0.3 s.
type halfCut struct {
	cores, at int
	deaf      bool
}

func (h halfCut) play(seed int64) *World {
	w := New(bySeeds(Krizanka(), 3, h.cores), seed)
	for core := range w.cores {
		one := w.NewOperator(fmt.Sprintf("at-%d", core))
		one.only = []int{len(w.fronts) + core}
		for at := int64(9000 + 17*core); at < cutTo; at += 300 {
			w.At(at, func() { one.Set(-1) })
		}
	}
	half := w.cores[h.at]
	w.At(cutFrom, func() {
		for _, e := range w.cores {
			if e != half {
				w.Cut(e.Addr, half.Addr, h.deaf)
				w.Cut(half.Addr, e.Addr, !h.deaf)
			}
		}
	})
	w.At(cutTo, func() { w.Cuts = map[[2]string]bool{} })
	w.Run(cutTo + ackMs)
	return w
}

// longestMs is the longest time of the cut in which no write of some operators was
// acknowledged.
func longestMs(w *World, counts func(client string) bool) int64 {
	acked := []int64{cutTo}
	for _, op := range w.facts.ops {
		if op.Kind == "set" && op.Answered && op.Fate == register.FateDone && counts(op.Client) && op.Ended > cutFrom && op.Ended < cutTo {
			acked = append(acked, op.Ended)
		}
	}
	slices.SortFunc(acked, cmp.Compare[int64])
	longest, last := int64(0), int64(cutFrom)
	for _, at := range acked {
		longest, last = max(longest, at-last), at
	}
	return longest
}

// A core machine that hears nobody, or that nobody hears, holds up no writes at the
// others while these are a majority. SIM_SEEDS plays each machine of each set, both
// ways; without it each set has one.
func TestHalfCuts(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	every := os.Getenv("SIM_SEEDS") != ""
	from, to := seeds(c, 1, 1)
	for _, cores := range []int{3, 4, 5, 6} {
		for at := range cores {
			for _, deaf := range []bool{true, false} {
				if !every && (at != cores%3 || deaf != (cores%2 == 0)) {
					continue
				}
				for seed := from; seed <= to; seed++ {
					c.Run(fmt.Sprintf("%d/%d/deaf=%v/%d", cores, at, deaf, seed), func(c *qt.C) {
						c.Parallel()
						w := halfCut{cores: cores, at: at, deaf: deaf}.play(seed)
						all := longestMs(w, func(string) bool { return true })
						worst := int64(0)
						for core := range w.cores {
							if name := fmt.Sprintf("at-%d", core); core != at {
								worst = max(worst, longestMs(w, func(client string) bool { return client == name }))
							}
						}
						c.Logf("longest without an acknowledgement: %d ms, at one machine %d ms", all, worst)
						c.Check(worst < ackMs, qt.IsTrue, qt.Commentf("%d ms at one machine, %d ms at all", worst, all))
						calm(c, w)
					})
				}
			}
		}
	}
}

// The operator at the side of the majority is acknowledged most of its writes, each
// built on the version it read, though a core machine and a front that hear nobody
// begin rounds all the while, and operators there write on versions of before.
func TestOthersWriteOnBesideTheDeaf(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	for _, one := range []struct {
		shape Shape
		seed  int64
	}{{Brilleverk(), 2}, {Larger(5), 1}} {
		from, to := seeds(c, one.seed, one.seed)
		for seed := from; seed <= to; seed++ {
			c.Run(fmt.Sprintf("%s/%d", one.shape.Name, seed), func(c *qt.C) {
				c.Parallel()
				deaf := slices.IndexFunc(Cuts(), func(cut Cut) bool { return cut.Name == "deaf" })
				w := CutOff(one.shape, seed, Cuts()[deaf])
				asked, acked := 0, 0
				for _, op := range w.facts.ops {
					if op.Kind == "set" && op.Client == "far" && op.Began > cutFrom && op.Began < cutTo {
						asked++
						if op.Answered && op.Fate == register.FateDone {
							acked++
						}
					}
				}
				longest := longestMs(w, func(client string) bool { return client == "far" })
				c.Logf("longest without an acknowledgement: %d ms; %d of %d writes acknowledged", longest, acked, asked)
				c.Check(longest < ackMs, qt.IsTrue, qt.Commentf("%d ms", longest))
				c.Check(3*acked >= 2*asked, qt.IsTrue, qt.Commentf("%d of %d", acked, asked))
			})
		}
	}
}
