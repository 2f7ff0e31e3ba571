package workermodel

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestOrders(t *testing.T) {
	load := func(model, adapter string, fence, expected int64) Order {
		return Order{Model: model, Adapter: adapter, Holder: "h", Fence: fence, Expected: expected}
	}
	c, store := qt.New(t), NewStore(1)
	e, e2 := one(small(), store), one(small(), store)
	for _, test := range []struct {
		at    float64
		order Order
		want  Answer
	}{
		{0, Order{Model: "n", Fence: 1}, Unknown},
		{0, load("zz", "", 1, -1), Unknown},
		{0, load("m", "", 5, -1), Already},
		{0, load("n", "", 4, -1), Fenced},
		{0, load("n", "", 5, 1), Conflict},
		{0, load("n", "a1", 5, 0), Absent},
		{0, load("n", "", 5, 0), UnderWay},
		{10, load("m", "a2", 5, -1), Conflict},
		{1000, load("n", "", 5, -1), Already},
		{1000, load("m", "a2", 6, 1), UnderWay},
		{1010, load("m", "a2", 6, 2), Already},
		{1010, Order{Unload: true, Model: "n", Holder: "h", Fence: 6, Expected: -1}, UnderWay},
		{1020, load("n", "", 6, -1), UnderWay},
		{1120, load("n", "", 6, -1), Already}, // its own disk, sooner
		{1130, load("o", "", 6, -1), Fell},
	} {
		c.Check(e.Order(test.at, test.order), qt.Equals, test.want, qt.Commentf("%v", test))
	}
	c.Check(e.Fallen(), qt.IsTrue)
	// Two at once at a store for one take twice as long each.
	e3 := one(small(), store)
	c.Check(e2.Order(5000, load("n", "", 1, -1)), qt.Equals, UnderWay)
	c.Check(e3.Order(5000, load("n", "", 1, -1)), qt.Equals, UnderWay)
	c.Check(e2.Ask(5500, Ask{Name: "x", Model: "n", Out: 1}), qt.Equals, Busy)
	_ = e2.Advance(6999)
	c.Check(e2.Report(6999).Busy, qt.IsTrue)
	_ = e2.Advance(7001)
	c.Check(e2.Report(7001).Busy, qt.IsFalse)
	c.Check(len(store.Begun), qt.Equals, 3)
}

func TestUnloadWaitsForRuns(t *testing.T) {
	c, e := qt.New(t), one(small(), nil)
	c.Assert(e.Ask(0, ask("x", 10, 10)), qt.Equals, Taken)
	c.Check(e.Order(20, Order{Unload: true, Model: "m", Holder: "h", Fence: 1, Expected: 0}), qt.Equals, UnderWay)
	c.Check(e.Ask(20, ask("y", 10, 1)), qt.Equals, Busy)
	got, _ := ends(e)
	c.Check(got["x"] > 100, qt.IsTrue)
	c.Check(len(e.Holds()), qt.Equals, 0)
	c.Check(e.Ask(500, ask("y", 10, 1)), qt.Equals, Missing)
}

func TestReportsLag(t *testing.T) {
	c, spec := qt.New(t), small()
	spec.ReportLagMs = 100
	e := one(spec, nil)
	_ = e.Advance(1000)
	c.Assert(e.Ask(1000, ask("x", 10, 30)), qt.Equals, Taken)
	_ = e.Advance(1050)
	c.Check(e.Report(1050).Running, qt.Equals, 0)
	c.Check(e.Report(1200).Running, qt.Equals, 1)
}
