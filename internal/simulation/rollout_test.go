package simulation

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"applequay/internal/configuration"
	"applequay/internal/controlplane/register"
	"applequay/internal/transport/wire"
)

// roll writes a policy that is rolled out over all zones, and runs on; bad is
// the share of calls that end badly, in a hundred, where a front goes by it.
func (w *World) roll(c *qt.C, pauseMs int64, bad func(zone string, next bool) int64) {
	for _, f := range w.fronts {
		f.bad = bad
	}
	var zones []string
	for at := range w.Shape.Zones {
		zones = append(zones, fmt.Sprintf("z%d", at))
	}
	next := w.Body("next")
	f := w.fronts[0]
	kept, ok := f.line.Board().Get("policy")
	c.Assert(ok, qt.IsTrue)
	stands, err := wire.Unpack(kept)
	c.Assert(err, qt.IsNil)
	_, faults, _ := configuration.Parse(stands, kept.Step)
	c.Assert(faults, qt.HasLen, 0)
	body, err := configuration.Roll(stands, next, zones, pauseMs, 5)
	c.Assert(err, qt.IsNil)
	_, faults, _ = configuration.Parse(body, 0)
	c.Assert(faults, qt.HasLen, 0)
	w.rolledBy = "next"
	f.nextAsk++
	f.answers[f.nextAsk] = func(outcome register.Outcome) { c.Check(outcome.Fate, qt.Equals, register.FateDone) }
	f.perform(f.line.Change(f.Clock(), f.nextAsk, register.Write{Key: "policy", Expected: kept.Step, Body: body}))
}

// goes lists the zones whose fronts all go by the next policy.
func (w *World) goes() []string {
	var zones []string
	for at := range w.Shape.Zones {
		zone, all := fmt.Sprintf("z%d", at), true
		for _, f := range w.fronts {
			all = all && (f.zone != zone || f.next)
		}
		if all {
			zones = append(zones, zone)
		}
	}
	return zones
}

// A policy goes from zone to zone, over the death of whoever drives it; where
// calls end badly it is halted and nobody goes by it any more.
func TestRollout(t *testing.T) {
	t.Parallel()
	each(qt.New(t), func(c *qt.C, shape Shape) {
		cases := []struct {
			name  string
			bad   func(zone string, next bool) int64
			crash bool
			zones []int // how many go by it after each pause
			ends  int
		}{
			{"all well", func(string, bool) int64 { return 1 }, false, []int{1, 2}, shape.Zones},
			{"bad everywhere, old and new", func(string, bool) int64 { return 30 }, false, []int{1}, shape.Zones},
			{"bad where it goes", func(_ string, next bool) int64 {
				if next {
					return 30
				}
				return 1
			}, false, []int{}, 0},
			{"bad in the second zone", func(zone string, next bool) int64 {
				if next && zone == "z1" {
					return 60
				}
				return 1
			}, false, []int{1}, 0},
			{"its driver dies", func(string, bool) int64 { return 1 }, true, []int{1}, shape.Zones},
		}
		for _, one := range cases {
			c.Run(one.name, func(c *qt.C) {
				w := steady(shape, 23, 15000)
				w.roll(c, 6000, one.bad)
				w.Run(w.NowMs + 3500)
				seen := len(w.goes())
				if len(one.zones) > 0 {
					c.Check(seen, qt.Equals, one.zones[0])
				}
				for _, want := range slices.Clone(one.zones)[min(1, len(one.zones)):] {
					w.Run(w.NowMs + 6000)
					c.Check(len(w.goes()), qt.Equals, want)
				}
				if one.crash {
					w.Crash(0, true)
					w.Run(w.NowMs + 12000)
					w.Crash(1, true)
					w.Restart(0, false)
					w.Run(w.NowMs + 12000)
					w.Restart(1, false)
				}
				w.Run(w.NowMs + 6000*int64(shape.Zones+2))
				c.Check(w.goes(), qt.HasLen, one.ends, qt.Commentf("%v", w.goes()))
				calm(c, w)
			})
		}
	})
}
