package frame

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// A roll-out is halted for what is clearly worse, not for what chance makes.
func TestClearlyWorse(t *testing.T) {
	c := qt.New(t)
	cases := []struct {
		bad, calls, usual, percent int64
		halted                     bool
	}{
		{0, 20, 0, 5, false},
		{1, 20, 0, 5, false}, // one bad call of twenty may be chance
		{4, 20, 0, 5, true},
		{14, 20, 60, 5, false},
		{20, 20, 60, 5, true},
		{660, 1000, 60, 5, true},
		{640, 1000, 60, 5, false}, // less than asked for
		{30, 1000, 1, 5, false},
		{70, 1000, 1, 5, true},
	}
	for _, one := range cases {
		c.Check(clearly(one.bad, one.calls, one.usual, one.percent), qt.Equals, one.halted, qt.Commentf("%+v", one))
	}
}
