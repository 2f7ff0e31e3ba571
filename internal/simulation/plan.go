package simulation

import "fmt"

// Faults is a run full of faults, drawn from the seed; it ends calm, and
// then everything must be served again.
//
//	world := simulation.Faults(simulation.Brilleverk(), 7)
func Faults(shape Shape, seed int64) *World { return run(shape, seed, (*World).fault) }

// Harder is Faults with disks that fill up or are lost, whole groups of
// machines that go together, and one last fault after all was healed.
//
//	world := simulation.Harder(simulation.Krizanka(), 7)
func Harder(shape Shape, seed int64) *World {
	w := run(shape, seed, (*World).harder)
	last := w.NowMs
	w.At(last, func() { w.Crash(w.Random.Intn(len(w.cores)), true) })
	ann := w.NewOperator("last")
	for at := last + 1000; at < last+15000; at += 1000 {
		w.At(at, func() { ann.Get(ann.Set) })
	}
	w.Run(last + 20000)
	return w
}

func run(shape Shape, seed int64, fault func(*World)) *World {
	w := New(shape, seed)
	ann, ben := w.NewOperator("ann"), w.NewOperator("ben")
	w.At(4000, func() { ann.Set(-1) })
	last := int64(60000)
	for at := int64(5000); at < last+20000; at += 200 {
		w.At(at, func() { w.Ask(w.Random.Intn(len(w.fronts)), w.item()) })
	}
	for _, one := range []*Operator{ann, ben} {
		for at := int64(6000); at < last; at += 300 + w.Random.Int63n(3000) {
			w.At(at, func() {
				if w.Random.Intn(4) == 0 {
					one.Set(-1)
				} else {
					one.Get(func(version int64) { one.Set(version) })
				}
			})
		}
	}
	for at := int64(9000); at < last; at += 500 + w.Random.Int63n(6000) {
		w.At(at, func() { fault(w) })
	}
	w.At(last, w.Heal)
	w.At(last+15000, func() { ann.Get(nil) })
	w.Run(last + 25000)
	return w
}

func (w *World) item() string {
	if w.Random.Intn(3) == 0 {
		return fmt.Sprintf("a%d", w.Random.Intn(w.Shape.Adapters))
	}
	return fmt.Sprintf("m%d", w.Random.Intn(w.Shape.Models))
}

// Heal ends all that hinders: every machine is up and every link whole.
//
//	world.Heal()
func (w *World) Heal() {
	w.Note("all is healed")
	w.Cuts = map[[2]string]bool{}
	w.Loss, w.DelayMs = w.Shape.LossPercent, 2
	for i, e := range w.cores {
		e.slowMs, e.stallTo, e.disk.full = 0, 0, false
		w.Restart(i, false)
	}
}

// fault causes one fault. No more than one core machine's disk is lost in
// a run, since more is beyond what the core is meant to bear.
func (w *World) fault() {
	core := w.Random.Intn(len(w.cores))
	e := w.cores[core]
	switch w.Random.Intn(12) {
	case 0, 1:
		w.Crash(core, w.Random.Intn(2) == 0)
		w.After(200+w.Random.Int63n(8000), func() { w.Restart(core, false) })
	case 2:
		w.Freeze(core, 500+w.Random.Int63n(9000))
	case 3:
		w.Note("%s disk slow", e.Name)
		e.slowMs = w.Random.Int63n(600)
	case 4:
		w.Note("%s disk stalls", e.Name)
		e.stallTo = w.NowMs + w.Random.Int63n(6000)
	case 5:
		w.cutSome()
	case 6:
		w.KillWorker(w.Random.Intn(len(w.workers)), w.Random.Int63n(5000))
	case 7:
		one := w.workers[w.Random.Intn(len(w.workers))].Name
		w.Leave(one, true)
		w.After(4000+w.Random.Int63n(8000), func() { w.Leave(one, false) })
	case 8:
		w.CrashFront(w.Random.Intn(len(w.fronts)), w.Random.Int63n(5000))
	case 9:
		e.WallMs = w.Random.Int63n(7200000) - 3600000
		w.Note("%s clock set by %d", e.Name, e.WallMs)
	case 10:
		w.Note("all core machines lose power")
		for i := range w.cores {
			w.Crash(i, true)
			w.After(500+w.Random.Int63n(1500), func() { w.Restart(i, false) })
		}
	case 11:
		w.Loss, w.DelayMs = w.Random.Intn(20), 1+w.Random.Int63n(40)
		w.Note("links lose %d in 100 and take %d", w.Loss, w.DelayMs)
		w.After(4000, func() { w.Loss, w.DelayMs = w.Shape.LossPercent, 2 })
	}
}

// cutSome cuts one core machine off, or splits the core, one way or both.
func (w *World) cutSome() {
	side := map[string]bool{}
	for _, e := range w.cores {
		side[e.Addr] = w.Random.Intn(2) == 0
	}
	both := w.Random.Intn(2) == 0
	w.Note("core split %v both ways %v", side, both)
	for _, one := range w.cores {
		for _, other := range w.cores {
			if side[one.Addr] && !side[other.Addr] {
				w.Cut(one.Addr, other.Addr, true)
				w.Cut(other.Addr, one.Addr, both)
			}
		}
	}
	w.After(1000+w.Random.Int63n(8000), func() {
		w.Note("cuts end")
		w.Cuts = map[[2]string]bool{}
	})
}

// harder causes faults that fault does not, and those it does.
func (w *World) harder() {
	core := w.Random.Intn(len(w.cores))
	e := w.cores[core]
	switch w.Random.Intn(12) {
	case 0:
		w.Note("%s disk is full", e.Name)
		e.disk.full = true
		w.After(1000+w.Random.Int63n(6000), func() {
			w.Note("%s disk has space again", e.Name)
			e.disk.full = false
		})
	case 1:
		w.loseDisk(core)
	case 2:
		w.Note("a zone's fronts and a core machine go together")
		w.Crash(core, true)
		w.After(500+w.Random.Int63n(4000), func() { w.Restart(core, false) })
		for at := range w.fronts {
			if at%w.Shape.Zones == core%w.Shape.Zones {
				w.CrashFront(at, 500+w.Random.Int63n(3000))
			}
		}
	case 3:
		for at := range w.workers {
			if w.Random.Intn(2) == 0 {
				w.KillWorker(at, w.Random.Int63n(4000))
			}
		}
	case 4:
		w.Drain(core)
		w.After(400+w.Random.Int63n(5000), func() { w.Restart(core, false) })
	default:
		w.fault()
	}
}

// loseDisk replaces a core machine's disk by an empty one, unless another loss
// is still being mended: two at once are more than the core is meant to bear.
func (w *World) loseDisk(core int) {
	for _, e := range w.cores {
		set := e.core.Page(e.Clock()).Core
		admitted := false
		for _, voter := range set.Voters {
			admitted = admitted || voter.ID == e.ID
		}
		if !e.Up || !set.Rereplicated || !admitted || len(set.Voters) != len(w.cores) {
			return
		}
	}
	w.Crash(core, true)
	w.After(500+w.Random.Int63n(3000), func() { w.Restart(core, true) })
}
