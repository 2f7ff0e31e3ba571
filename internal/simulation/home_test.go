package simulation

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Front after front loses the controllers but not the other fronts, and stands well
// in their eyes, also while it is its zone's home. The others in the zone are in
// touch all the while: what is acknowledged is in force there in time.
func TestHomeWithoutControllers(t *testing.T) {
	t.Parallel()
	each(qt.New(t), func(c *qt.C, shape Shape) {
		w := steady(shape, 21, 9000)
		ben := w.NewOperator("ben")
		for at := range w.cores {
			ben.only = append(ben.only, len(w.fronts)+at)
		}
		const lasts, pause = 5000, 4000
		from := map[string]int64{}
		for at, front := range w.fronts {
			begin := int64(10000 + at*(lasts+pause))
			from[front.Name] = begin
			w.At(begin, func() { w.cutFromCores(at, true) })
			w.At(begin+lasts, func() { w.cutFromCores(at, false) })
		}
		ends := int64(10000 + len(w.fronts)*(lasts+pause))
		for at := int64(9500); at < ends; at += 300 {
			w.At(at, func() { ben.Set(-1) })
		}
		w.Run(ends + 5000)
		var names []string
		for _, front := range w.fronts {
			names = append(names, front.Name)
		}
		inTouch := func(front string, begin, end int64) bool { return end < from[front] || begin > from[front]+lasts+3000 }
		acknowledged := slices.DeleteFunc(slices.Clone(w.facts.ops), func(op *Op) bool { return op.Ended < 9500 })
		c.Check(CheckForce(acknowledged, w.facts.force, names, 2000, inTouch), qt.HasLen, 0)
		c.Check(len(acknowledged) > 50, qt.IsTrue)
		calm(c, w)
	})
}

// cutFromCores cuts a front off from all core machines, both ways.
func (w *World) cutFromCores(at int, cut bool) {
	for _, core := range w.cores {
		w.Cut(w.fronts[at].Addr, core.Addr, cut)
		w.Cut(core.Addr, w.fronts[at].Addr, cut)
	}
}
