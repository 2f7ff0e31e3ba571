package pipeline

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"applequay/internal/routing"
)

// An attempt is given up on only where another server would do better and one more
// may be tried.
func TestOther(t *testing.T) {
	c := qt.New(t)
	cases := []struct {
		name   string
		happen func(b *bench, servers map[string]*routing.Server)
		tried  map[string]bool
		retry  int64
		found  bool
	}{
		{"another is there", nil, nil, 20, true},
		{"the other was tried", nil, map[string]bool{"w2": true}, 20, false},
		{"the budget is spent", nil, nil, 0, false},
		{"the other is avoided", func(b *bench, servers map[string]*routing.Server) {
			servers["w2"].Load.AvoidToMs.Store(b.proxy.Now() + 60000)
		}, nil, 20, false},
		{"the other has more to do", func(_ *bench, servers map[string]*routing.Server) {
			servers["w2"].Load.InWork.Store(9)
		}, nil, 20, false},
		{"it has more to do, but the first is dark", func(b *bench, servers map[string]*routing.Server) {
			servers["w2"].Load.InWork.Store(9)
			b.darken()
		}, nil, 20, true},
	}
	for _, one := range cases {
		b := newBench(c)
		b.server("w1", pieces("r", 0, -1), "m1")
		b.server("w2", pieces("q", 0, -1), "m1")
		current := b.proxy.Table()
		for range 50 {
			current.Budgets["hints"].Earn(b.proxy.Now())
		}
		chosenServer := current.Servers["w1"]
		if one.happen != nil {
			one.happen(b, current.Servers)
		}
		service := current.Policy.Services["hints"]
		service.RetryPercent = one.retry
		if one.retry == 0 {
			for current.Budgets["hints"].Spend(b.proxy.Now(), 0, 0) {
			}
		}
		other := b.proxy.otherFor(&call{item: "m1", service: service, tried: one.tried}, chosenServer)
		c.Check(other(b.proxy.Now()), qt.Equals, one.found, qt.Commentf(one.name))
	}
}
