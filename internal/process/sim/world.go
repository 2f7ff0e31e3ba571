// Package sim runs the real state machines in a simulated world: a seeded
// network, disks, clocks, freezes and crashes. The same seed gives the same
// history.
package sim

import (
	"container/heap"
	"fmt"
	"math/rand"

	"applequay/internal/connection/wire"
)

// Shape is a fleet's sizes.
type Shape struct {
	Name                                     string
	Zones, Fronts, Cores, Workers            int
	Models, Adapters                         int
	RoomMb, SyncMs, StoreMbPerS, Turns       int64
	LeaseMs, PollMs, ProbeMs, CallMs, TickMs int64
	LossPercent                              int
	Partitions                               int64
}

// Brilleverk and Krizanka are the two deployments.
//
//	world := sim.New(sim.Brilleverk(), 7)
func Brilleverk() Shape {
	return Shape{Name: "brilleverk", Zones: 3, Fronts: 6, Cores: 3, Workers: 9, Models: 50, Adapters: 30, RoomMb: 6000, SyncMs: 20,
		StoreMbPerS: 4000, Turns: 6, LeaseMs: 3200, PollMs: 500, ProbeMs: 200, CallMs: 1600, TickMs: 25, LossPercent: 1, Partitions: 12}
}

// Krizanka has four cores, slower disks and thin links.
//
//	world := sim.New(sim.Krizanka(), 7)
func Krizanka() Shape {
	shape := Brilleverk()
	shape.Name, shape.Zones, shape.Fronts, shape.Cores, shape.Workers = "krizanka", 4, 9, 4, 12
	shape.Models, shape.Adapters, shape.SyncMs, shape.LossPercent = 40, 40, 45, 2
	return shape
}

type event struct {
	at    int64
	order int64
	run   func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].order < q[j].order)
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push and Pop serve the heap.
//
//	heap.Push(&q, one)
func (q *queue) Push(x any) { *q = append(*q, x.(event)) }

// Pop takes the last event.
//
//	one := heap.Pop(&q).(event)
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// node is any process of the world.
type node struct {
	world    *World
	name     string
	addr     string
	id       string
	life     int64 // rises with each start, so that old events find nobody
	up       bool
	frozenTo int64
	offsetMs int64 // of its monotonic clock
	wallMs   int64 // of its wall clock
	hear     func(from string, body wire.Record)
	tick     func()
}

// World is one run.
type World struct {
	Shape   Shape
	Seed    int64
	random  *rand.Rand
	now     int64
	order   int64
	events  queue
	nodes   map[string]*node // by address
	cores   []*exchange
	fronts  []*front
	workers []*worker
	listed  []wire.Worker
	cut     map[[2]string]bool
	loss    int
	delay   int64
	History []string
	facts   facts
	tills   *tills
	// mute workers do not say for how long they were not ordered.
	mute bool
	// rolledBy names the kind by which a rolled out policy is told.
	rolledBy string
	Counts   Counts
	// openings go into every policy that operators write.
	openings []any
}

// Counts are what a run did.
type Counts struct {
	Messages, Lost, Syncs, Records, Events, Loads int64
}

// New makes a world whose machines all start at moment 0.
//
//	world := sim.New(sim.Krizanka(), 7)
func New(shape Shape, seed int64) *World {
	w := &World{Shape: shape, Seed: seed, random: rand.New(rand.NewSource(seed)), nodes: map[string]*node{}, cut: map[[2]string]bool{}, loss: shape.LossPercent, delay: 2}
	w.facts, w.tills = newFacts(), newTills(seed)
	for i := range shape.Workers {
		w.addWorker(fmt.Sprintf("w%d", i+1))
	}
	for i := range shape.Cores {
		w.cores = append(w.cores, w.newExchange(fmt.Sprintf("c%d", i+1), fmt.Sprintf("10.0.0.%d:1", i+1)))
	}
	for i := range shape.Fronts {
		w.fronts = append(w.fronts, w.newFront(fmt.Sprintf("l%d", i+1), fmt.Sprintf("10.0.1.%d:1", i+1), fmt.Sprintf("z%d", i%shape.Zones)))
	}
	for _, core := range w.cores {
		core.start()
	}
	for _, one := range w.fronts {
		one.start()
	}
	return w
}

func (w *World) note(format string, args ...any) {
	w.History = append(w.History, fmt.Sprintf("%8d ", w.now)+fmt.Sprintf(format, args...))
}

// Now is the world's own time in milliseconds.
//
//	world.Note("at %d", world.Now())
func (w *World) Now() int64 { return w.now }

// At runs something at a moment.
//
//	world.At(5000, func() { world.Crash(0, false) })
func (w *World) At(at int64, run func()) {
	w.order++
	heap.Push(&w.events, event{at: max(at, w.now), order: w.order, run: run})
}

func (w *World) after(wait int64, run func()) { w.At(w.now+wait, run) }

// Run goes on until a moment.
//
//	world.Run(30000)
func (w *World) Run(until int64) {
	for len(w.events) > 0 && w.events[0].at <= until {
		one := heap.Pop(&w.events).(event)
		w.now = one.at
		one.run()
	}
	w.now = until
}

// on runs something on a node in its present life, once it is not frozen.
func (n *node) on(run func()) {
	life := n.life
	var step func()
	step = func() {
		if !n.up || n.life != life {
			return
		}
		if n.world.now < n.frozenTo {
			n.world.At(n.frozenTo, step)
			return
		}
		run()
	}
	step()
}

func (n *node) every(ms int64) {
	life := n.life
	var step func()
	step = func() {
		if n.life != life || !n.up {
			return
		}
		n.on(n.tick)
		n.world.after(ms, step)
	}
	n.world.after(n.world.random.Int63n(ms)+1, step)
}

func (n *node) clock() int64 { return n.world.now + n.offsetMs }

// send carries a message: it may be lost, late or out of order.
func (w *World) send(from *node, to string, kind wire.Kind, body wire.Record) {
	target, ok := w.nodes[to]
	w.Counts.Messages++
	if !ok || w.cut[[2]string{from.addr, to}] || w.random.Intn(100) < w.loss {
		w.Counts.Lost++
		return
	}
	wait := 1 + w.random.Int63n(w.delay*2)
	if w.random.Intn(200) == 0 {
		wait += w.random.Int63n(400)
	}
	bytes := wire.Encode(body)
	sender := from.id
	w.after(wait, func() {
		if target.up {
			target.on(func() {
				record, err := wire.Decode(kind, bytes)
				if err != nil {
					panic(err)
				}
				target.hear(sender, record)
			})
		}
	})
}

// Cut stops what goes from one node to another.
//
//	world.Cut("10.0.0.1:1", "10.0.0.2:1", true)
func (w *World) Cut(from, to string, cut bool) { w.cut[[2]string{from, to}] = cut }
