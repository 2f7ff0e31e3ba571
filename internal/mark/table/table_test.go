package table

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

func servers(count int) []*Server {
	var out []*Server
	for at := range count {
		out = append(out, &Server{Name: fmt.Sprintf("w%d", at), Load: &Load{}})
	}
	return out
}

// Prompts that start alike go to one server while it is not laden; then the
// load is spread within the bound.
func TestChoose(t *testing.T) {
	c := qt.New(t)
	list := servers(4)
	first := Choose(list, "prefix", 0)
	c.Check(Choose(list, "prefix", 0), qt.Equals, first)
	for range 100 {
		Choose(list, "prefix", 0).Load.InWork.Add(1)
	}
	for _, server := range list {
		c.Check(server.Load.InWork.Load() <= 33, qt.IsTrue, qt.Commentf("%s has %d", server.Name, server.Load.InWork.Load()))
	}
	first.Load.AvoidToMs.Store(50)
	c.Check(Choose(list, "prefix", 49) != first, qt.IsTrue)
	c.Check(Choose(nil, "prefix", 0), qt.IsNil)
}

// When a server goes, only its keys move.
func TestRankMovesLittle(t *testing.T) {
	c := qt.New(t)
	list := servers(5)
	used := map[string]int{}
	for at := range 500 {
		key := fmt.Sprintf("k%d", at)
		top := Rank(list, key)[0]
		used[top.Name]++
		if top != list[4] {
			c.Assert(Rank(list[:4], key)[0], qt.Equals, top)
		}
	}
	for name, count := range used {
		c.Check(count > 60, qt.IsTrue, qt.Commentf("%s got %d of 500", name, count))
	}
}

// Retries never come to more than a fifth of what is normal.
func TestBudget(t *testing.T) {
	c := qt.New(t)
	budget := &Budget{}
	c.Check(budget.Spend(), qt.IsFalse)
	for range 1000 {
		budget.Earn(20)
		budget.Spend()
		c.Assert(budget.Retries.Load()*5 <= budget.Normal.Load(), qt.IsTrue)
	}
	c.Check(budget.Retries.Load(), qt.Equals, int64(200))
}
