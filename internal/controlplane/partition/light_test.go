package partition

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"applequay/internal/configuration"
)

// Places that are free are filled ahead with different adapters of a model, all
// but a few, soon, and no more is ordered then.
func TestPlacesAreFilledAhead(t *testing.T) {
	c := qt.New(t)
	w := newPool(c, 7, 2, 3, 1)
	w.view.Policy.Pools["llm"] = configuration.Pool{Name: "llm", Slots: 16, RoomMb: testRoomMb, AdapterSlots: 4}
	w.units["w0"].held["m0"], w.units["w1"].held["m0"], w.units["w2"].held["m1"] = true, true, true
	w.tick(5000)
	for _, item := range []string{"m0/a0", "m0/a1", "m0/a2", "m1/a0", "m1/a1", "m1/a2"} {
		c.Check(len(w.homes(item)) > 0, qt.IsTrue, qt.Commentf(item))
	}
	w.tick(7000)
	orders := w.orders
	w.tick(20000)
	c.Check(w.orders, qt.Equals, orders)
	c.Check(orders <= 9, qt.IsTrue, qt.Commentf("%d orders", orders))
	// What is asked for finds the place that was left.
	for _, unit := range w.units {
		c.Check(len(unit.held) <= 4, qt.IsTrue, qt.Commentf("%s holds %v", unit.name, unit.held))
	}
}

// Light loads follow one another without a look in between.
func TestLightLoadsChain(t *testing.T) {
	c := qt.New(t)
	w := newPool(c, 1, 3, 1, 1)
	w.pass(100)
	w.look(0, false, "m0")
	w.pass(700)
	c.Assert(w.handed, qt.HasLen, 1)
	c.Assert(w.handed[0].Item[:3], qt.Equals, "m0/")
	w.want("m0/a0")
	w.want("m0/a1")
	w.want("m0/a2")
	for len(w.handed) < 2 {
		last := w.handed[len(w.handed)-1]
		w.answer(last, true, false)
		w.pass(50)
		c.Check(w.handed, qt.HasLen, 1, qt.Commentf("too early"))
		w.pass(100)
		c.Assert(w.handed, qt.HasLen, 2, qt.Commentf("without a look"))
	}
	c.Check(w.handed[1].Taken, qt.Equals, int64(1))
	w.answer(w.handed[1], false, true)
	w.pass(400)
	c.Check(w.handed, qt.HasLen, 2, qt.Commentf("it was turned away, so a look decides"))
}
