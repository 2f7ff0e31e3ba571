package simulation

import (
	"fmt"
	"slices"
)

// Losses is a run in which core machines go one after another, or as many at once
// as the core must bear, each time as soon as the losses before have had their time
// to catch up.
type Losses struct {
	// Kind says how machines go and come; see LossKinds.
	Kind string
	// Cores is how many core machines there are; of five or more, two go at once.
	Cores, Rounds int
}

// LossKinds are the ways in which machines go and come in turn.
var LossKinds = []string{"wiped", "gone", "planned", "coordinator", "dying", "empty-twice", "full", "halved", "closing"}

// Times of the sites that have so many core machines: a machine counts as lost for
// catchUpMs after its start, an order is taken within ackMs, a planned end may
// take graceMs, and the core counts as unsettled for contactMs after a loss.
const (
	contactMs   = 3000
	graceMs     = 8000
	ackMs       = 4000
	manyCores   = 5
	manyAtOnce  = 2
	returnMs    = 700
	orderEvery  = 250
	orderAgain  = 1000
	smallCatch  = 4000
	largerCatch = 6000
)

// shape is a small fleet around so many core machines.
func (l Losses) shape() Shape {
	shape := Krizanka()
	shape.Name, shape.Cores, shape.Seeds = fmt.Sprintf("losses-%d", l.Cores), l.Cores, min(l.Cores, 3)
	shape.Fronts, shape.Workers, shape.Models, shape.Adapters = 2, 2, 4, 2
	shape.SyncMs, shape.CallMs, shape.LeaseMs, shape.LossPercent = 5, 1600, 3200, 1
	shape.CatchUpMs = smallCatch
	if l.Cores >= manyCores {
		shape.CatchUpMs = largerCatch
	}
	return shape
}

func (l Losses) atOnce() int {
	if l.Cores >= manyCores {
		return manyAtOnce
	}
	return 1
}

// losing is such a run under way.
type losing struct {
	Losses
	w      *World
	orders []*orderSent
	events []int64
	fresh  int
	faults []string
}

// orderSent is an operator's order, sent to one node after another until one
// acknowledges it.
type orderSent struct {
	name         string
	began, ended int64
	op           *Op
	tries        int
}

// Run plays the run and returns its world with all that went wrong.
//
//	world, faults := simulation.Losses{Kind: "gone", Cores: 5, Rounds: 3}.Run(7)
func (l Losses) Run(seed int64) (*World, []string) {
	r := &losing{Losses: l, w: New(l.shape(), seed)}
	w := r.w
	w.Run(9000)
	r.expectWhole("after the founding")
	r.watchVoters()
	r.keepOrdering()
	for round := range l.Rounds {
		w.Run(w.NowMs + 300 + w.Random.Int63n(700))
		r.round(round)
		r.expectWhole(fmt.Sprintf("round %d", round))
	}
	w.Run(w.NowMs + ackMs)
	r.checkOrders()
	return w, append(r.faults, w.Breaches()...)
}

func (r *losing) fault(format string, args ...any) {
	r.faults = append(r.faults, fmt.Sprintf("%8d %s %d: ", r.w.NowMs, r.Kind, r.Cores)+fmt.Sprintf(format, args...))
	r.w.Note("FAULT "+format, args...)
}

func (r *losing) round(round int) {
	w := r.w
	switch r.Kind {
	case "wiped":
		victims := r.victims(false)
		r.crash(victims)
		w.Run(w.NowMs + returnMs)
		r.restart(victims)
	case "gone", "coordinator":
		r.crash(r.victims(r.Kind == "coordinator"))
		w.Run(w.NowMs + w.Random.Int63n(returnMs))
		r.add(r.atOnce())
	case "planned":
		r.planned(round)
		return
	case "dying":
		r.crash(r.victims(false))
		r.add(r.atOnce())
		w.Run(w.NowMs + w.Random.Int63n(2000))
		r.crash(r.newest(r.atOnce()))
		r.add(r.atOnce())
	case "empty-twice":
		victims := r.victims(round%2 == 0)
		for range 2 {
			r.crash(victims)
			r.restart(victims)
			w.Run(w.NowMs + w.Random.Int63n(1500))
		}
		r.crash(victims)
		r.restart(victims)
	case "full":
		r.crash(r.victims(false))
		r.add(1)
		w.cores[len(w.cores)-1].disk.full = true
		w.Run(w.NowMs + w.Random.Int63n(1000))
		stuck := w.cores[len(w.cores)-1]
		r.add(r.atOnce())
		r.catchUp()
		stuck.disk.full = false
	case "halved":
		r.halve()
	case "closing":
		r.closing()
	}
	r.catchUp()
}

// planned starts successors, and lets old machines go in order once these had their
// time; as soon as the last has ended, the next go without a word.
func (r *losing) planned(round int) {
	w := r.w
	r.add(r.atOnce())
	r.catchUp()
	victims := r.victims(round%2 == 0)
	began := w.NowMs
	for _, at := range victims {
		w.Drain(at)
	}
	for r.anyUp(victims) && w.NowMs < began+graceMs {
		w.Run(w.NowMs + 25)
	}
	if r.anyUp(victims) {
		r.fault("a planned end took longer than the grace")
		r.crash(victims)
	}
	r.events = append(r.events, w.NowMs)
	r.crash(r.victims(false))
	w.Run(w.NowMs + contactMs)
	r.add(r.atOnce())
	r.catchUp()
}

// closing wipes as many machines as may be lost while all others lose power, right
// after an order was acknowledged.
func (r *losing) closing() {
	w := r.w
	acked := func() int {
		return len(slices.DeleteFunc(slices.Clone(r.orders), func(one *orderSent) bool { return one.ended == 0 }))
	}
	for before, until := acked(), w.NowMs+ackMs; acked() == before && w.NowMs < until; {
		w.Run(w.NowMs + 1)
	}
	victims := r.victims(false)
	var others []int
	for at, e := range w.cores {
		if e.Up && !slices.Contains(victims, at) {
			others = append(others, at)
		}
	}
	r.crash(append(slices.Clone(victims), others...))
	r.events = append(r.events, w.NowMs+contactMs)
	back := w.NowMs + returnMs
	for _, at := range victims {
		w.At(back+w.Random.Int63n(300), func() { w.Restart(at, true) })
	}
	for _, at := range others {
		w.At(back+w.Random.Int63n(300), func() { w.Restart(at, false) })
	}
	w.Run(back + 300)
}

func (r *losing) anyUp(cores []int) bool {
	return slices.ContainsFunc(cores, func(at int) bool { return r.w.cores[at].Up })
}

// halve cuts the set into two halves, none of which is a majority where the set is
// even, and joins them again.
func (r *losing) halve() {
	w := r.w
	var up []int
	for at, e := range w.cores {
		if e.Up {
			up = append(up, at)
		}
	}
	w.Random.Shuffle(len(up), func(i, j int) { up[i], up[j] = up[j], up[i] })
	for _, one := range up[:len(up)/2] {
		for _, other := range up[len(up)/2:] {
			w.Cut(w.cores[one].Addr, w.cores[other].Addr, true)
			w.Cut(w.cores[other].Addr, w.cores[one].Addr, true)
		}
	}
	w.Note("the core is halved: %v", up[:len(up)/2])
	for until := w.NowMs + 8000; w.NowMs < until; r.events = append(r.events, w.NowMs) {
		w.Run(w.NowMs + 1000)
	}
	w.Note("the halves are joined")
	w.Cuts = map[[2]string]bool{}
}
