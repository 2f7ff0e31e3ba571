package lease

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"applequay/internal/transport/wire"
)

// A grantor that is admitted in another's place grants nothing for a lease.
func TestAdmittedLateIsQuiet(t *testing.T) {
	c := qt.New(t)
	grantor := NewGrantor(LimitsFor(3200), 0)
	grantor.Quiet(10000)
	c.Check(grantor.Ask(13199, "b", ask(1, 3, 1)).Granted, qt.HasLen, 0)
	c.Check(grantor.Ask(13200, "b", ask(2, 3, 1)).Granted, qt.HasLen, 1)
}

func ask(op int64, partition, fence int64) *wire.GrantAsk {
	return &wire.GrantAsk{Op: op, Holds: []wire.Hold{{Partition: partition, Fence: fence}}}
}

func TestGrantor(t *testing.T) {
	c := qt.New(t)
	type step struct {
		at    int64
		from  string
		fence int64
		back  bool
		yes   bool
		quiet bool
	}
	cases := []struct {
		name  string
		steps []step
	}{
		{"quiet for a lease after its start", []step{{at: 3199, from: "a", fence: 1, quiet: true}, {at: 3200, from: "a", fence: 1, yes: true}}},
		{"one holder at a time", []step{{at: 4000, from: "a", fence: 1, yes: true}, {at: 7199, from: "b", fence: 1}, {at: 7200, from: "b", fence: 1, yes: true}}},
		{"renewal holds on", []step{{at: 4000, from: "a", fence: 1, yes: true}, {at: 7000, from: "a", fence: 1, yes: true}, {at: 9000, from: "b", fence: 1}, {at: 10200, from: "b", fence: 1, yes: true}}},
		{"a lower fence is refused even when nothing holds", []step{{at: 4000, from: "a", fence: 5, yes: true}, {at: 9000, from: "b", fence: 4}, {at: 9000, from: "b", fence: 5, yes: true}}},
		{"given back is free at once", []step{{at: 4000, from: "a", fence: 1, yes: true}, {at: 4100, from: "a", fence: 1, back: true}, {at: 4101, from: "b", fence: 1, yes: true}}},
		{"only its holder gives back", []step{{at: 4000, from: "a", fence: 1, yes: true}, {at: 4100, from: "b", fence: 1, back: true}, {at: 4101, from: "b", fence: 1}}},
	}
	for _, one := range cases {
		c.Run(one.name, func(c *qt.C) {
			grantor := NewGrantor(LimitsFor(3200), 0)
			for at, step := range one.steps {
				if step.back {
					grantor.Back(step.at, step.from, &wire.GrantBack{Holds: []wire.Hold{{Partition: 3, Fence: step.fence}}, Asks: []wire.AskRange{{First: 1, Last: 1}}})
					continue
				}
				told := grantor.Ask(step.at, step.from, ask(1, 3, step.fence))
				c.Check(len(told.Granted) == 1, qt.Equals, step.yes, qt.Commentf("step %d", at))
				c.Check(told.QuietMs > 0, qt.Equals, step.quiet, qt.Commentf("step %d", at))
			}
		})
	}
}

var voters = []wire.Voter{{ID: "a"}, {ID: "b"}, {ID: "c"}}

// answer lets some voters grant all that the holder's last round asked.
func answer(h *Holder, now int64, out wire.Outputs, from ...string) []Move {
	var moves []Move
	for _, send := range out.Sends {
		asked := send.Body.(*wire.GrantAsk)
		for _, id := range from {
			if send.To == id {
				moves = append(moves, h.Told(now, id, &wire.GrantTold{Op: asked.Op, Granted: asked.Holds}, voters)...)
			}
		}
	}
	return moves
}

func TestHolder(t *testing.T) {
	c := qt.New(t)
	limits := LimitsFor(3200)
	h := NewHolder(limits)
	h.Claim(0, 3)
	_, out := h.Tick(1000, voters, "")
	c.Assert(answer(h, 1010, out, "a"), qt.HasLen, 0, qt.Commentf("one of three is no majority"))
	moves := answer(h, 1010, out, "b")
	c.Assert(moves, qt.DeepEquals, []Move{{Partition: 3, Change: Reserved}})
	_, ok := h.Mine(1010, 3)
	c.Assert(ok, qt.IsFalse, qt.Commentf("reserved is not held"))
	h.Settled(3, 7)
	_, out = h.Tick(1100, voters, "")
	moves = answer(h, 1900, out, "a", "c")
	c.Assert(moves, qt.DeepEquals, []Move{{Partition: 3, Change: Held, Fence: 7}})
	// The grant runs from when it was asked for, less the margin.
	ends := 1100 + limits.LeaseMs - limits.MarginMs
	_, ok = h.Mine(ends-1, 3)
	c.Assert(ok, qt.IsTrue)
	_, ok = h.Mine(ends, 3)
	c.Assert(ok, qt.IsFalse)
	moves, _ = h.Tick(ends, voters, "")
	c.Assert(moves, qt.DeepEquals, []Move{{Partition: 3, Change: Lost, Fence: 7}})
	// An answer that comes later than the grant would end counts for nothing.
	h.Claim(ends, 3)
	_, out = h.Tick(ends+500, voters, "")
	c.Assert(answer(h, ends+500+limits.LeaseMs, out, "a", "b", "c"), qt.HasLen, 0)
}

// One message renews all partitions.
func TestOneMessageRenewsAll(t *testing.T) {
	c := qt.New(t)
	h := NewHolder(LimitsFor(3200))
	for partition := range int64(12) {
		h.Claim(0, partition)
	}
	_, out := h.Tick(1000, voters, "")
	c.Assert(out.Sends, qt.HasLen, len(voters))
	c.Assert(out.Sends[0].Body.(*wire.GrantAsk).Holds, qt.HasLen, 12)
}

// The vote of a voter that was taken out meanwhile does not count in the set that
// came: of four voters a and b granted, and of b, c and d only b did.
func TestVotesOfTheSetThatIs(t *testing.T) {
	c := qt.New(t)
	four := []wire.Voter{{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "d"}}
	h := NewHolder(LimitsFor(3200))
	h.Claim(0, 3)
	_, out := h.Tick(1000, four, "")
	asked := out.Sends[0].Body.(*wire.GrantAsk)
	told := &wire.GrantTold{Op: asked.Op, Granted: asked.Holds}
	c.Check(h.Told(1010, "a", told, four), qt.HasLen, 0)
	c.Check(h.Told(1020, "b", told, four[1:]), qt.HasLen, 0)
	c.Check(h.Told(1030, "c", told, four[1:]), qt.HasLen, 1)
}
