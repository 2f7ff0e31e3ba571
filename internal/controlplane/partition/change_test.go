package partition

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
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
