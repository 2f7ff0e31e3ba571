package agent

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"applequay/internal/transport/wire"
)

// asked runs a rested front while all that it probes say what told makes of its own
// sums, and counts by service what it asks others for.
func asked(line *Agent, from, to int64, told func(mine wire.BoardSums) wire.BoardSums) map[string]int {
	out := map[string]int{}
	for now := from; now < to; now += 50 {
		for _, send := range line.Tick(now, now).Sends {
			switch body := send.Body.(type) {
			case *wire.Probe:
				line.Hear(now, send.To, &wire.ProbeAck{Seq: body.Seq, Board: told(line.board.Sums())})
			case *wire.Subscribe:
				out[body.Service]++
				if line.members.Role(send.To) == "controller" {
					out["controller"]++
				}
			}
		}
	}
	return out
}

// A front asks nobody for what it missed while those that it hears have the same, and
// as soon as one is heard that has not, or none at all.
func TestAsksWhereSumsDiffer(t *testing.T) {
	same := func(mine wire.BoardSums) wire.BoardSums {
		mine.AgeMs = 100
		return mine
	}
	cases := []struct {
		name             string
		told             func(mine wire.BoardSums) wire.BoardSums
		control, homes   bool
		leastControllers int
	}{
		{"all have the same", same, false, false, 0},
		{"others have other control topics", func(mine wire.BoardSums) wire.BoardSums {
			mine.Control++
			return mine
		}, true, false, 4},
		{"others have other homes", func(mine wire.BoardSums) wire.BoardSums {
			mine.Homes++
			return same(mine)
		}, false, true, 0},
		{"the same, but none has heard a controller lately", func(mine wire.BoardSums) wire.BoardSums {
			mine.AgeMs = 2000
			return mine
		}, false, false, 4},
		{"nobody knows of a controller", func(mine wire.BoardSums) wire.BoardSums { return mine }, false, false, 4},
	}
	for _, one := range cases {
		t.Run(one.name, func(t *testing.T) {
			c := qt.New(t)
			line := rested(4)
			line.Hear(5010, "c1~z", &wire.News{Topics: []wire.Topic{{Name: "homes/llm/w1", Term: 1, Step: 1}, {Name: "owner/0", Term: 1, Body: wire.Encode(&wire.Owner{ID: "c1~z", Fence: 1})}}})
			asked(line, 5050, 8000, same)
			got := asked(line, 8000, 11000, one.told)
			c.Check(got["controller"] >= one.leastControllers, qt.IsTrue, qt.Commentf("%v", got))
			c.Check(one.leastControllers > 0 || one.homes || got["controller"] == 0, qt.IsTrue, qt.Commentf("%v", got))
			c.Check(got[""] > 0, qt.Equals, one.control || one.homes, qt.Commentf("%v", got))
		})
	}
}

// What a front knows of a controller's topics goes on from front to front, older by
// the time in between, as long as they have the same.
func TestAgesGoOn(t *testing.T) {
	c := qt.New(t)
	line := rested(4)
	line.agreement = agreement{}
	c.Check(line.sums(6000).AgeMs, qt.Equals, int64(0))
	theirs := line.board.Sums()
	theirs.AgeMs = 301
	line.compare(6000, &theirs)
	c.Check(line.sums(6000).AgeMs, qt.Equals, int64(301))
	c.Check(line.sums(6200).AgeMs, qt.Equals, int64(501))
	theirs.AgeMs = 901
	line.compare(6200, &theirs)
	c.Check(line.sums(6200).AgeMs, qt.Equals, int64(501), qt.Commentf("what is known better stays"))
	theirs.AgeMs, theirs.Control = 1, theirs.Control+1
	line.compare(6200, &theirs)
	c.Check(line.sums(6200).AgeMs, qt.Equals, int64(501), qt.Commentf("another's topics are not these"))
}
