package partition

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"applequay/internal/transport/wire"
)

// An item's demand calls for as many homes as keep its requests, in work and held,
// below half of a worker's slots; what came since a moment ago is seen to come again.
func TestCopiesFollowRequestsInWork(t *testing.T) {
	cases := []struct {
		name               string
		before, live, held int64
		copies             int64
	}{
		{"nothing", 0, 0, 0, 1},
		{"as many as one takes", 8, 8, 0, 1},
		{"one more", 9, 9, 0, 2},
		{"what is held counts", 9, 4, 5, 2},
		{"rising", 4, 10, 0, 2},
		{"falling", 20, 9, 0, 2},
		{"many", 64, 64, 0, 8},
	}
	for _, one := range cases {
		t.Run(one.name, func(t *testing.T) {
			c := qt.New(t)
			w := newPool(c, 1, 1, 1, 1) // 16 slots a worker
			for at, live := range []int64{one.before, one.before, one.live} {
				held := int64(0)
				if at == 2 {
					held = one.held
				}
				w.view.Demands.Note(w.now, &wire.Tally{Front: "l1", Demands: []wire.Demand{{Item: "m0", Rate: 90000, Live: live, Held: held, Weight: 1}}})
				w.now += trendMs
				w.view.Demands.Sum(w.now, w.view.Policy)
			}
			c.Check(w.p.copies("m0"), qt.Equals, one.copies)
		})
	}
}
