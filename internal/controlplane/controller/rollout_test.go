package controller

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// A roll-out is halted for what is clearly worse, not for what chance makes.
func TestClearlyWorse(t *testing.T) {
	c := qt.New(t)
	cases := []struct {
		now, usual tally
		percent    int64
		halted     bool
	}{
		{tally{0, 20}, tally{0, 60}, 5, false},
		{tally{1, 20}, tally{0, 60}, 5, false}, // one bad call of twenty may be chance
		{tally{6, 20}, tally{0, 60}, 5, true},
		{tally{14, 20}, tally{60, 100}, 5, false},
		{tally{20, 20}, tally{60, 100}, 5, true},
		{tally{120, 178}, tally{30, 56}, 8, false}, // seen on Krizanka, nothing being wrong
		{tally{660, 1000}, tally{600, 1000}, 5, false},
		{tally{700, 1000}, tally{600, 1000}, 5, true},
		{tally{64, 100}, tally{6000, 10000}, 5, false}, // less than asked for
		{tally{30, 1000}, tally{10, 1000}, 5, false},
		{tally{90, 1000}, tally{10, 1000}, 5, true},
	}
	for _, one := range cases {
		c.Check(clearly(one.now, one.usual, one.percent), qt.Equals, one.halted, qt.Commentf("%+v", one))
	}
}
