package partition

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"applequay/internal/transport/wire"
)

// A worker carries out one order at a time, and the store counts loads: what makes
// way before the load in its place can begin serves nobody meanwhile. However much
// is asked for at once, and though demand moves on, each worker changes one of its
// models at a time.
func TestOneChangeAtATime(t *testing.T) {
	c := qt.New(t)
	for seed := range int64(4) {
		c.Run(fmt.Sprint(seed), func(c *qt.C) {
			c.Parallel()
			const models, workers, places, busy = 60, 10, 3, 5
			w := newPool(c, seed, models, workers, 1)
			w.noPlaces()
			for i := range workers * places {
				w.ask(fmt.Sprintf("m%d", i), 300, 1)
			}
			w.tick(40000)
			for shift := range 4 {
				clear(w.asked)
				for i := range models {
					w.ask(fmt.Sprintf("m%d", i), 300, 0)
				}
				for i := range busy {
					w.ask(fmt.Sprintf("m%d", (shift*busy+i)%models), 9000, 30)
				}
				for end := w.now + 6000; w.now < end; {
					w.tick(w.now + 100)
					for name, unit := range w.units {
						c.Assert(len(unit.held) >= places-1, qt.IsTrue, qt.Commentf("%d: %s holds only %v", w.now, name, unit.held))
					}
				}
			}
		})
	}
}

// An adapter goes to a worker that has its model although another model is on its way
// there: it takes no model's room.
func TestAdapterJoinsBesideAChange(t *testing.T) {
	c := qt.New(t)
	w := newPool(c, 1, 8, 1, 1)
	for i := range 3 {
		w.ask(fmt.Sprintf("m%d", i), 2000, 1)
	}
	w.tick(20000)
	delete(w.asked, "m2")
	w.tick(w.now + 8000)
	w.ask("m7", 3000, 1)
	for len(w.homes("m2")) > 0 && w.now < 60000 {
		w.tick(w.now + 10)
	}
	c.Assert(w.homes("m7"), qt.HasLen, 0, qt.Commentf("it is on its way"))
	item := wire.ItemState{Name: "m0/a2"}
	c.Check(w.p.chooseWorker(w.now, item), qt.Equals, "w0")
}
