package simulation

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"applequay/internal/controlplane/register"
)

// The machine that acknowledged a policy loses its disk at once, comes back as
// another, and soon after the power of all fails: the policy is still the one
// in force at every front, and workers are ordered again.
func TestWipedThenPowerOfAll(t *testing.T) {
	each(qt.New(t), func(c *qt.C, shape Shape) {
		for _, pauseMs := range []int64{100, 3000, 6000} {
			w := steady(shape, 23+pauseMs, 12000)
			e, name, acked := w.cores[0], fmt.Sprintf("kay-%d", pauseMs), int64(0)
			op := w.facts.begin(w.NowMs, "set", name, -1)
			e.nextAsk++
			e.answers[e.nextAsk] = func(outcome register.Outcome) {
				w.facts.end(w.NowMs, op, outcome, nameOf(outcome.Value))
				acked = outcome.Value.Version
				w.Crash(0, true)
				w.Restart(0, true)
			}
			e.perform(e.core.Change(e.Clock(), e.nextAsk, register.Write{Key: "policy", Expected: -1, Body: w.Body(name)}))
			for acked == 0 && w.NowMs < 16000 {
				w.Run(w.NowMs + 50)
			}
			c.Assert(acked > 0, qt.IsTrue)
			w.Run(w.NowMs + pauseMs)
			for at := range w.cores {
				w.Crash(at, true)
			}
			for at := range w.fronts {
				w.CrashFront(at, 500)
			}
			w.Run(w.NowMs + 500)
			back := w.NowMs
			for at := range w.cores {
				w.Restart(at, false)
			}
			w.Run(back + 12000)
			for _, f := range w.fronts {
				c.Check(f.version >= acked, qt.IsTrue, qt.Commentf("after %d ms %s has %d of %d", pauseMs, f.Name, f.version, acked))
			}
			taken, waiting, _ := w.Waits(back)
			c.Check(len(taken) > waiting, qt.IsTrue, qt.Commentf("after %d ms %d served, %d wait", pauseMs, len(taken), waiting))
			calm(c, w)
		}
	})
}
