package simulation

import "fmt"

// Keys is a run in which the list of application servers changes while fronts
// die, freeze and are cut off, and clients repeat their keys everywhere.
//
//	world := simulation.Keys(simulation.Krizanka(), 7)
func Keys(shape Shape, seed int64) *World {
	w := New(shape, seed)
	ann := w.NewOperator("ann")
	w.At(4000, func() { ann.Set(-1) })
	for i := range 4 {
		w.AddApp(fmt.Sprintf("b%d", i+1), fmt.Sprintf("10.0.3.%d:1", i+1))
	}
	const last = int64(90000)
	for at := int64(6000); at < last; at += 40 {
		w.At(at, func() {
			if w.tills.Random.Intn(2) == 0 {
				w.Call(w.tills.Random.Intn(len(w.fronts)), "")
			} else {
				w.Repeat()
			}
		})
	}
	for at := int64(9000); at < last-12000; at += 1000 + w.tills.Random.Int63n(7000) {
		w.At(at, w.relist)
	}
	for at := int64(12000); at < last-12000; at += 1000 + w.tills.Random.Int63n(9000) {
		w.At(at, w.keysFault)
	}
	w.Run(last)
	return w
}

// relist changes the list: a server is replaced at a new address, marked as
// leaving, taken off, or added.
func (w *World) relist() {
	random := w.tills.Random
	name := fmt.Sprintf("b%d", 1+random.Intn(5))
	w.tills.next++
	switch random.Intn(4) {
	case 0, 1:
		w.AddApp(name, fmt.Sprintf("10.0.3.%d:1", 10+w.tills.next))
	case 2:
		w.Note("%s is taken off the list", name)
		w.Unlist(name)
	case 3:
		for at := range w.listed {
			if w.listed[at].Name == name {
				w.Leave(name, !w.listed[at].Leaving)
				return
			}
		}
	}
}

func (w *World) keysFault() {
	random := w.tills.Random
	front := random.Intn(len(w.fronts))
	switch random.Intn(7) {
	case 0, 1:
		w.CrashFront(front, 200+random.Int63n(6000))
	case 2:
		w.FreezeFront(front, 500+random.Int63n(20000))
	case 3:
		w.Note("%s is cut off", w.fronts[front].Name)
		w.CutFront(front, true)
		w.After(1000+random.Int63n(20000), func() {
			w.Note("%s is no longer cut off", w.fronts[front].Name)
			w.CutFront(front, false)
		})
	case 4:
		core := random.Intn(len(w.cores))
		w.Crash(core, true)
		w.After(500+random.Int63n(4000), func() { w.Restart(core, false) })
	case 5:
		w.Note("the fronts are cut off from the core")
		w.cutCore(true)
		w.After(1000+random.Int63n(9000), func() { w.cutCore(false) })
	case 6:
		w.Loss, w.DelayMs = random.Intn(20), 1+random.Int63n(40)
		w.After(4000, func() { w.Loss, w.DelayMs = w.Shape.LossPercent, 2 })
	}
}

func (w *World) cutCore(cut bool) {
	for _, f := range w.fronts {
		for _, e := range w.cores {
			w.Cut(f.Addr, e.Addr, cut)
			w.Cut(e.Addr, f.Addr, cut)
		}
	}
}
