package simulation

import (
	"cmp"
	"fmt"
	"slices"

	"applequay/internal/controlplane/controller"
	"applequay/internal/controlplane/register"
	"applequay/internal/transport/wire"
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

// victims picks who goes: seated machines that are up, the coordinator among them
// if asked for.
func (r *losing) victims(coordinator bool) []int {
	w := r.w
	var up []int
	for at, e := range w.cores {
		if e.Up {
			up = append(up, at)
		}
	}
	w.Random.Shuffle(len(up), func(i, j int) { up[i], up[j] = up[j], up[i] })
	if coordinator {
		slices.SortFunc(up, func(a, b int) int { return cmp.Compare(w.cores[a].ID, w.cores[b].ID) })
	}
	return up[:min(r.atOnce(), len(up))]
}

func (r *losing) newest(count int) []int {
	var out []int
	for at := len(r.w.cores) - count; at < len(r.w.cores); at++ {
		out = append(out, at)
	}
	return out
}

func (r *losing) crash(cores []int) {
	for _, at := range cores {
		r.w.Crash(at, true)
	}
	r.events = append(r.events, r.w.NowMs)
}

func (r *losing) restart(cores []int) {
	for _, at := range cores {
		r.w.Restart(at, true)
	}
	r.events = append(r.events, r.w.NowMs)
}

func (r *losing) add(count int) {
	for range count {
		r.fresh++
		// Names of newcomers sort before and after those there.
		name := fmt.Sprintf("%c%d", 'a'+r.w.Random.Intn(6), 100+r.fresh)
		r.w.AddCore(name, fmt.Sprintf("10.0.0.%d:1", 30+r.fresh))
	}
	r.events = append(r.events, r.w.NowMs)
}

func (r *losing) catchUp() { r.w.Run(r.w.NowMs + r.w.Shape.CatchUpMs) }

// expectWhole notes a fault unless all that are up, nine at most, have seats in one
// whole set.
func (r *losing) expectWhole(when string) {
	if !r.w.allIn() {
		r.fault("%s: not whole: %v", when, r.w.coreAt(r.w.firstUp()))
	}
}

// keepOrdering sends an order now and then, and each again until it is taken.
func (r *losing) keepOrdering() {
	w := r.w
	var next func()
	next = func() {
		one := &orderSent{began: w.NowMs, name: fmt.Sprintf("order-%d", len(r.orders)+1)}
		r.orders = append(r.orders, one)
		one.op = w.facts.begin(w.NowMs, "set", one.name, -1)
		r.send(one)
		w.After(orderEvery, next)
	}
	next()
}

// send sends an order to a machine that is up, and to another after a second of
// silence or an answer that is not clear.
func (r *losing) send(one *orderSent) {
	w := r.w
	one.tries++
	try := one.tries
	again := func() {
		if one.ended == 0 && one.tries == try {
			r.send(one)
		}
	}
	w.After(orderAgain, again)
	var up []*controllerNode
	for _, e := range w.cores {
		if e.Up {
			up = append(up, e)
		}
	}
	if len(up) == 0 {
		return
	}
	e := up[w.Random.Intn(len(up))]
	e.On(func() {
		e.nextAsk++
		e.answers[e.nextAsk] = func(outcome register.Outcome) {
			switch {
			case one.ended > 0:
			case outcome.Fate == register.FateDone:
				one.ended = w.NowMs
				w.facts.end(w.NowMs, one.op, outcome, one.name)
			default:
				w.After(orderEvery, again)
			}
		}
		e.perform(e.core.Change(e.Clock(), e.nextAsk, register.Write{Key: controller.PolicyKey, Expected: -1, Body: w.Body(one.name), Name: one.name}))
	})
}

// checkOrders: each order that was begun while the core was settled was taken
// within its time, and no other took much longer.
func (r *losing) checkOrders() {
	for _, one := range r.orders {
		settled := !slices.ContainsFunc(r.events, func(at int64) bool { return at > one.began-contactMs && at < one.began+ackMs })
		took := one.ended - one.began
		if one.ended == 0 {
			took = r.w.NowMs - one.began
		}
		if settled && took > ackMs {
			r.fault("an order of %d took %d ms while the core was settled (done: %v)", one.began, took, one.ended > 0)
		}
	}
	if len(r.orders) == 0 || r.orders[max(len(r.orders)-20, 0)].ended == 0 {
		r.fault("orders are not taken at the end")
	}
}

// watchVoters looks, all the time, at every machine that gets a seat: it holds each
// register that there is by then.
func (r *losing) watchVoters() {
	w := r.w
	held := func(e *controllerNode) map[string]bool {
		keys := map[string]bool{}
		for _, kept := range e.core.Snapshot().Registers {
			keys[kept.Key] = kept.Accepted.N > 0
		}
		return keys
	}
	all, known := held(w.cores[w.firstUp()]), map[string]bool{}
	for _, seat := range w.coreAt(w.firstUp()).Seats {
		known[seat.ID] = true
	}
	var look func()
	look = func() {
		for _, e := range w.cores {
			if !e.Up || known[e.ID] || !seated(e.core.Page(e.Clock()).Core, e.ID) {
				continue
			}
			known[e.ID] = true
			mine := held(e)
			for key, there := range all {
				if there && !mine[key] {
					r.fault("%s got a seat without the register %s", e.ID, key)
				}
			}
		}
		w.After(w.Shape.TickMs, look)
	}
	look()
}

// allIn tells whether every core machine that is up has a seat in one whole set.
func (w *World) allIn() bool {
	up, in, epoch := 0, 0, int64(0)
	for at, e := range w.cores {
		if !e.Up {
			continue
		}
		up++
		core := w.coreAt(at)
		if !core.Swept || (epoch != 0 && core.Epoch != epoch) {
			return false
		}
		if seated(core, e.ID) {
			in++
		}
		epoch = core.Epoch
	}
	return in == min(up, 9) && len(w.coreAt(w.firstUp()).Seats) == in
}

func (w *World) firstUp() int {
	for at, e := range w.cores {
		if e.Up {
			return at
		}
	}
	return 0
}

func (w *World) coreAt(at int) wire.CoreSet { return w.cores[at].core.Page(w.cores[at].Clock()).Core }

func seated(core wire.CoreSet, id string) bool {
	return slices.ContainsFunc(core.Seats, func(s wire.Seat) bool { return s.ID == id })
}
