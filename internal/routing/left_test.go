package routing

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Left tells what Spend would do.
func TestBudgetLeft(t *testing.T) {
	c := qt.New(t)
	for _, slack := range []int64{0, 2} {
		budget := &Budget{}
		for range 40 {
			budget.Earn(5000)
		}
		for range 30 {
			left := budget.Left(5000, 20, slack)
			c.Check(budget.Spend(5000, 20, slack), qt.Equals, left)
		}
		c.Check(budget.Left(5000, 20, slack), qt.IsFalse)
	}
}
