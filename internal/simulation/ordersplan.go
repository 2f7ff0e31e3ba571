package simulation

import "applequay/internal/controlplane/register"

// Orders is a run full of faults, as Harder, in which eight operators send
// named orders as they do on the platform: several on one version, with one
// number for different changes, through any node; a third of the answers is
// lost; and orders of all times are sent again.
//
//	world := simulation.Orders(simulation.Krizanka(), 7)
func Orders(shape Shape, seed int64) *World {
	w := New(shape, seed)
	const lost, times, last = 33, 8, int64(50000)
	for at := int64(5000); at < last+15000; at += 400 {
		w.At(at, func() { w.Ask(w.Random.Intn(len(w.fronts)), w.item()) })
	}
	for _, name := range []string{"ann", "ben", "cat", "dan", "eve", "fay", "gus", "hal"} {
		one := w.NewOperator(name)
		var next func(version int64)
		next = func(version int64) {
			one.Order(version, version+1+w.Random.Int63n(3), times, lost, func(fate register.Fate) {
				// Who was acknowledged builds on what it made, now and then.
				if made := one.orders[len(one.orders)-1]; fate == register.FateDone && w.Random.Intn(2) == 0 && w.NowMs < last {
					next(made.next)
				}
			})
		}
		for at := 4000 + w.Random.Int63n(3000); at < last; at += 1000 + w.Random.Int63n(4000) {
			w.At(at, func() { one.Get(next) })
			w.At(at+w.Random.Int63n(2000), func() { one.Remind(lost) })
			// Some build on what is not there yet.
			if w.Random.Intn(10) == 0 {
				w.At(at, func() { one.Get(func(version int64) { next(version + 1 + w.Random.Int63n(3)) }) })
			}
		}
	}
	for at := int64(9000); at < last; at += 500 + w.Random.Int63n(6000) {
		w.At(at, w.harder)
	}
	w.At(last, w.Heal)
	ann := w.NewOperator("last")
	w.At(last+14000, func() { ann.Get(nil) })
	w.Run(last + 18000)
	return w
}
