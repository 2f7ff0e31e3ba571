package supervisor

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
)

func TestTree(t *testing.T) {
	c := qt.New(t)
	limits := Limits{Most: 3, Window: time.Minute}
	stay := func(ctx context.Context) error { <-ctx.Done(); return nil }
	broken := errors.New("broken")
	cases := []struct {
		name     string
		child    func(calls int) error
		vital    bool
		calls    int
		fails    bool
		finishes bool
	}{
		{"one that breaks down once is started again and may finish", func(calls int) error {
			if calls == 1 {
				return broken
			}
			return ErrDone
		}, false, 2, false, true},
		{"one that keeps breaking down ends the tree", func(int) error { return broken }, false, 4, true, false},
		{"a vital one ends the tree at once", func(int) error { return broken }, true, 1, true, false},
	}
	for _, one := range cases {
		c.Run(one.name, func(c *qt.C) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			calls := 0
			child := func(context.Context) error {
				calls++
				end := one.child(calls)
				if errors.Is(end, ErrDone) {
					cancel()
				}
				return end
			}
			err := Run(ctx, zap.NewNop(), limits, Child{Name: "stays", Run: stay}, Child{Name: "child", Run: child, Vital: one.vital})
			c.Check(err != nil, qt.Equals, one.fails)
			c.Check(calls, qt.Equals, one.calls)
		})
	}
}
