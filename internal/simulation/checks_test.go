package simulation

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"applequay/internal/controlplane/register"
)

// Each checker objects to a history that breaks its rule on purpose, and to
// none that keeps it.
func TestCheckersObject(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	order := func(at int64, owner string, fence int64) Ordered {
		return Ordered{At: at, Worker: "w1", Life: "a", Owner: owner, Fence: fence, Op: "load"}
	}
	set := func(name string, expected, began, ended int64, fate register.Fate, version int64) *Op {
		return &Op{Kind: "set", Name: name, Expected: expected, Began: began, Ended: ended, Answered: true, Fate: fate, Version: version}
	}
	get := func(began, ended, version int64, found string) *Op {
		return &Op{Kind: "get", Began: began, Ended: ended, Answered: true, Fate: register.FateDone, Version: version, Found: found}
	}
	always := func(string, int64, int64) bool { return true }
	force := func(at, version int64) InForce { return InForce{At: at, Front: "l1", Life: 1, Version: version} }
	done, stale, unknown := register.FateDone, register.FateStale, register.FateUnknown
	cases := []struct {
		name   string
		check  func() []string
		breaks bool
	}{
		{"owners a lease apart", func() []string { return CheckOwners([]Ordered{order(0, "a", 1), order(3000, "b", 2)}, 3000) }, false},
		{"owners too close", func() []string { return CheckOwners([]Ordered{order(0, "a", 1), order(2999, "b", 2)}, 3000) }, true},
		{"a fence that falls", func() []string { return CheckOwners([]Ordered{order(0, "a", 2), order(9000, "b", 1)}, 3000) }, true},
		{"a load that fits", func() []string {
			return CheckRoom([]Ordered{{Op: "load", UsedMb: 400, SizeMb: 600, RoomMb: 1000}})
		}, false},
		{"a load that does not fit", func() []string {
			return CheckRoom([]Ordered{{Op: "load", UsedMb: 401, SizeMb: 600, RoomMb: 1000}})
		}, true},
		{"loads at the store's rate", func() []string { return CheckRate([]Load{{0, 1000, 500}, {0, 1000, 500}}, 1000, 1000) }, false},
		{"loads above the store's rate", func() []string { return CheckRate([]Load{{0, 1000, 500}, {500, 1500, 1000}}, 1000, 1000) }, true},
		{"one write after the other", func() []string {
			return CheckRegister([]*Op{set("a", 0, 0, 5, done, 1), set("b", 1, 6, 9, done, 2), get(10, 11, 2, "b")})
		}, false},
		{"two writers of a mark", func() []string {
			return CheckRegister([]*Op{set("a", 0, 0, 5, done, 1), set("b", 0, 0, 5, done, 1)})
		}, true},
		{"a read that goes back", func() []string {
			return CheckRegister([]*Op{set("a", 0, 0, 5, done, 1), set("b", 1, 6, 9, done, 2), get(10, 11, 1, "a")})
		}, true},
		{"an acknowledged write that is gone", func() []string {
			return CheckRegister([]*Op{set("a", 0, 0, 5, done, 1), get(6, 7, 0, "")})
		}, true},
		{"a refused write that is there", func() []string {
			return CheckRegister([]*Op{set("a", 0, 0, 5, stale, 1), get(6, 7, 1, "a")})
		}, true},
		{"a write of unknown fate that is there", func() []string {
			return CheckRegister([]*Op{set("a", 0, 0, 5, unknown, 0), get(6, 7, 1, "a")})
		}, false},
		{"a value that nobody wrote", func() []string { return CheckRegister([]*Op{get(6, 7, 1, "x")}) }, true},
		{"a write taken at another mark than expected", func() []string {
			return CheckRegister([]*Op{set("a", 0, 0, 5, done, 1), set("b", 0, 6, 9, done, 2)})
		}, true},
		{"in force in time", func() []string {
			return CheckForce([]*Op{set("a", 0, 0, 5, done, 1)}, []InForce{force(2005, 1)}, []string{"l1"}, 2000, always)
		}, false},
		{"in force too late", func() []string {
			return CheckForce([]*Op{set("a", 0, 0, 5, done, 1)}, []InForce{force(2006, 1)}, []string{"l1"}, 2000, always)
		}, true},
		{"a front's mark that falls", func() []string { return CheckForce(nil, []InForce{force(1, 2), force(2, 1)}, nil, 2000, nil) }, true},
		{"a load to a leaving worker", func() []string {
			w := &World{facts: newFacts()}
			w.facts.leaves(0, "w1", true)
			w.facts.orders = []Ordered{order(3001, "a", 1)}
			return w.CheckLeaving(3000)
		}, true},
		{"a load to one that stays after all", func() []string {
			w := &World{facts: newFacts()}
			w.facts.leaves(0, "w1", true)
			w.facts.leaves(2000, "w1", false)
			w.facts.orders = []Ordered{order(3001, "a", 1)}
			return w.CheckLeaving(3000)
		}, false},
	}
	for _, one := range cases {
		c.Run(one.name, func(c *qt.C) {
			breaches := one.check()
			c.Check(len(breaches) > 0, qt.Equals, one.breaks, qt.Commentf("%q", breaches))
		})
	}
}
