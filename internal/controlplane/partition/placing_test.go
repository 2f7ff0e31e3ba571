package partition

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"applequay/internal/transport/wire"
)

// Whatever is lost, late or asked for, no worker is told to load more than it
// has room and places for, and over any window no more loads begin than the
// store's pace allows; and in the end what is asked for stands.
func TestRandomHistories(t *testing.T) {
	c := qt.New(t)
	for seed := range int64(20) {
		c.Run(fmt.Sprint(seed), func(c *qt.C) {
			c.Parallel()
			w := newPool(c, seed, 14, 4, 1+seed%2*3)
			for w.now < 30000 {
				w.lossPct = w.random.Intn(3) * 10
				item := fmt.Sprintf("m%d", w.random.Intn(14))
				if w.random.Intn(3) == 0 {
					item = fmt.Sprintf("%s/a%d", item, w.random.Intn(3))
				}
				w.ask(item, w.random.Int63n(3000), w.random.Int63n(12))
				if len(w.asked) > 8 {
					names := slices.Sorted(maps.Keys(w.asked))
					delete(w.asked, names[w.random.Intn(len(names))])
				}
				w.tick(w.now + w.random.Int63n(1500))
				if w.random.Intn(20) == 0 {
					restart(w)
				}
			}
			w.lossPct = 0
			clear(w.asked)
			for i := range 6 {
				w.ask(fmt.Sprintf("m%d", 2*i), 800, 1)
			}
			w.ask("m4/a1", 500, 1)
			w.tick(w.now + 20000)
			for _, item := range slices.Sorted(maps.Keys(w.asked)) {
				c.Check(len(w.homes(item)) > 0, qt.IsTrue, qt.Commentf("%s stands nowhere", item))
			}
			paced(c, w.begun)
		})
	}
}

// restart gives the partition's state to a new process.
func restart(w *pool) {
	var state wire.PartitionState
	if err := state.Unmarshal(wire.Encode(w.p.State())); err != nil {
		panic(err)
	}
	w.view.Demands = Demands{}
	w.p = New(w.now, &state, w.view, LimitsFor(3200, 500), "c1", w.now)
}

// paced checks each window of begun loads: 2 a second and the burst of three.
func paced(c *qt.C, begun []int64) {
	for from := range begun {
		for to := from; to < len(begun); to++ {
			span := begun[to] - begun[from]
			most := float64(span)*2/1000 + 3
			c.Check(float64(to-from+1) <= most+0.5, qt.IsTrue, qt.Commentf("%d loads begin in %d ms from %d on", to-from+1, span, begun[from]))
		}
	}
}

// Homes follow demand: a model that becomes busy gets as many as it needs at
// once, though others must make way, and the last home of what is used stays.
func TestDemandShifts(t *testing.T) {
	c := qt.New(t)
	w := newPool(c, 1, 10, 5, 1)
	for i := range 10 {
		w.ask(fmt.Sprintf("m%d", i), 1000, 1)
	}
	w.tick(15000)
	for i := range 10 {
		c.Check(len(w.homes(fmt.Sprintf("m%d", i))) >= 1, qt.IsTrue, qt.Commentf("m%d", i))
	}
	w.ask("m7", 9000, 12)
	shift := w.now
	for len(w.homes("m7")) < 3 && w.now < shift+10000 {
		w.tick(w.now + 100)
	}
	c.Check(w.now-shift < 8000, qt.IsTrue, qt.Commentf("three homes after %d ms", w.now-shift))
	w.tick(w.now + 5000)
	for i := range 10 {
		c.Check(len(w.homes(fmt.Sprintf("m%d", i))) >= 1, qt.IsTrue, qt.Commentf("m%d lost its last home", i))
	}
	orders := w.orders
	w.tick(w.now + 20000)
	c.Check(w.orders-orders <= 2, qt.IsTrue, qt.Commentf("%d orders though nothing changes", w.orders-orders))
}

// More is asked for than there is room for: all stand in turn, the busy ones most.
func TestNoneStarves(t *testing.T) {
	c := qt.New(t)
	w := newPool(c, 2, 8, 2, 1)
	for i := range 8 {
		w.ask(fmt.Sprintf("m%d", i), 200+int64(i)*400, 1)
	}
	stood := map[string]int{}
	w.tick(10000)
	for w.now < 100000 {
		w.tick(w.now + 200)
		for _, item := range slices.Sorted(maps.Keys(w.asked)) {
			if len(w.homes(item)) > 0 {
				stood[item]++
			}
		}
	}
	for _, item := range slices.Sorted(maps.Keys(w.asked)) {
		c.Check(stood[item] > 0, qt.IsTrue, qt.Commentf("%s never stood: %v", item, stood))
	}
	c.Check(stood["m7"] > 400, qt.IsTrue, qt.Commentf("%v", stood))
	paced(c, w.begun)
}

// Adapters come where their model stands, and the one unused longest makes way.
func TestAdapterPlaces(t *testing.T) {
	c := qt.New(t)
	w := newPool(c, 3, 2, 1, 1)
	w.ask("m0/a0", 500, 1)
	w.tick(6000)
	c.Check(w.homes("m0/a0"), qt.HasLen, 1)
	w.ask("m0/a1", 500, 1)
	began := w.now
	for len(w.homes("m0/a1")) == 0 && w.now < began+5000 {
		w.tick(w.now + 50)
	}
	c.Check(w.now-began < 1500, qt.IsTrue, qt.Commentf("after %d ms", w.now-began))
	delete(w.asked, "m0/a0")
	w.tick(w.now + 1000)
	w.ask("m0/a2", 500, 1)
	w.tick(w.now + 4000)
	c.Check(w.homes("m0/a0"), qt.HasLen, 0)
	c.Check(w.homes("m0/a1"), qt.HasLen, 1)
	c.Check(w.homes("m0/a2"), qt.HasLen, 1)
}

// What workers held before the first owner came is theirs at once, and nothing
// is loaded or dropped for it.
func TestAdoptsWhatStands(t *testing.T) {
	c := qt.New(t)
	w := newPool(c, 4, 6, 2, 1)
	w.noPlaces()
	for i, item := range []string{"m0", "m1", "m2", "m0", "m4", "m5"} {
		w.units[fmt.Sprintf("w%d", i/3)].held[item] = true
	}
	w.tick(1500)
	c.Check(len(w.view.Rooms["w0"].Loaded), qt.Equals, 3, qt.Commentf("published within half a second"))
	for _, item := range []string{"m0", "m1", "m2", "m4", "m5"} {
		w.ask(item, 1000, 1)
	}
	w.tick(8000)
	c.Check(w.orders, qt.Equals, 0)
}

// Where all is full, a further copy that is needed takes the last home of what
// is hardly used, and of nothing else.
func TestFurtherCopyWhereAllIsFull(t *testing.T) {
	c := qt.New(t)
	w := newPool(c, 5, 6, 2, 1)
	for i := range 6 {
		w.ask(fmt.Sprintf("m%d", i), 1000, 1)
	}
	w.tick(15000)
	w.ask("m0", 9000, 12)
	w.tick(w.now + 6000)
	for i := range 6 {
		c.Check(w.homes(fmt.Sprintf("m%d", i)), qt.HasLen, 1, qt.Commentf("m%d", i))
	}
	rare := "m1"
	if w.homes(rare)[0] == w.homes("m0")[0] {
		rare = "m2"
	}
	for i := 1; i < 6 && w.homes(rare)[0] == w.homes("m0")[0]; i++ {
		rare = fmt.Sprintf("m%d", i)
	}
	delete(w.asked, rare)
	w.tick(w.now + 12000)
	c.Check(w.homes("m0"), qt.HasLen, 2)
	c.Check(w.homes(rare), qt.HasLen, 0)
	w.ask(rare, 300, 0)
	w.tick(w.now + 7000)
	c.Check(w.homes(rare), qt.HasLen, 1, qt.Commentf("it comes back once it is asked for"))
}
