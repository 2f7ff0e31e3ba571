package routing

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

// Retries stay within a fifth of normal traffic over a minute, and over ten
// seconds but for one; nothing is saved up for longer.
func TestBudget(t *testing.T) {
	c := qt.New(t)
	cases := []struct {
		name           string
		normal         []int64 // in each second
		tries          []int64 // in each second
		spent, percent int64
	}{
		{"nothing normal yet", []int64{0}, []int64{9}, 0, 20},
		{"a fifth of ten", []int64{10}, []int64{9}, 2, 20},
		{"a tenth", []int64{20}, []int64{9}, 2, 10},
		{"none wanted", []int64{20}, []int64{9}, 0, 0},
		{"little traffic lives on one", []int64{1, 0, 1, 0, 1, 0, 1, 0, 0, 0, 0, 1, 0}, []int64{0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 5}, 1, 20},
		{"much was normal half a minute ago", append([]int64{500}, make([]int64, 30)...), append(make([]int64, 30), 50), 1, 20},
		{"much was normal long ago", append([]int64{500}, make([]int64, 70)...), append(make([]int64, 70), 50), 0, 20},
	}
	for _, one := range cases {
		c.Run(one.name, func(c *qt.C) {
			budget, spent := &Budget{}, int64(0)
			for second := range one.tries {
				for range one.normal[second] {
					budget.Earn(int64(second) * 1000)
				}
				for range one.tries[second] {
					if budget.Spend(int64(second)*1000, one.percent, 0) {
						spent++
					}
				}
			}
			c.Check(spent, qt.Equals, one.spent)
			c.Check(budget.Retries.Load(), qt.Equals, one.spent)
		})
	}
}

// Over no ten seconds does it allow well beyond the share, whatever comes: a
// quarter at most, where traffic falls off after a retry.
func TestBudgetWindows(t *testing.T) {
	c := qt.New(t)
	budget := &Budget{}
	var normal, spent [200]int64
	for second := range normal {
		for range (second * 7919) % 23 {
			budget.Earn(int64(second) * 1000)
			normal[second]++
			if budget.Spend(int64(second)*1000, 20, 0) {
				spent[second]++
			}
		}
		var all, again int64
		for at := max(0, second-9); at <= second; at++ {
			all, again = all+normal[at], again+spent[at]
		}
		c.Assert(again <= max(1, all/4), qt.IsTrue, qt.Commentf("second %d: %d of %d", second, again, all))
	}
	c.Check(budget.Retries.Load() > 100, qt.IsTrue)
}
