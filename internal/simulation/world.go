// Package simulation runs the real state machines in a simulated world: a seeded
// network, disks, clocks, freezes and crashes. The same seed gives the same
// history.
package simulation

import (
	"fmt"

	ground "applequay/coordination/simulation"
	"applequay/internal/transport/wire"
)

// Shape is a fleet's sizes.
type Shape struct {
	Name                                     string
	Zones, Fronts, Cores, Workers            int
	Models, Adapters                         int
	RoomMb, SyncMs, StoreMbPerS, Turns       int64
	LeaseMs, PollMs, ProbeMs, CallMs, TickMs int64
	LossPercent                              int
	// CatchUpMs is how long a machine that is back counts as lost; 4000 where nought.
	CatchUpMs  int64
	Partitions int64
	// Seeds is how many of the core machines, first in order, found the core set;
	// 0 means all, who are then told of each other.
	Seeds int
	// AgentSeeds says that the seeds are fronts, first in order, that have no disk.
	AgentSeeds bool
	// Single workers take one order at a time and show what they held a moment ago.
	Single bool
}

// Brilleverk and Krizanka are the two deployments.
//
//	world := simulation.New(simulation.Brilleverk(), 7)
func Brilleverk() Shape {
	return Shape{Name: "brilleverk", Zones: 3, Fronts: 6, Cores: 3, Workers: 9, Models: 50, Adapters: 30, RoomMb: 6000, SyncMs: 20,
		StoreMbPerS: 4000, Turns: 6, LeaseMs: 3200, PollMs: 500, ProbeMs: 200, CallMs: 1600, TickMs: 25, LossPercent: 1, Partitions: 12}
}

// Krizanka has four cores, slower disks and thin links.
//
//	world := simulation.New(simulation.Krizanka(), 7)
func Krizanka() Shape {
	shape := Brilleverk()
	shape.Name, shape.Zones, shape.Fronts, shape.Cores, shape.Workers = "krizanka", 4, 9, 4, 12
	shape.Models, shape.Adapters, shape.SyncMs, shape.LossPercent = 40, 40, 45, 2
	return shape
}

// Larger has so many cores, founded by three seeds, and less of all else.
//
//	world := simulation.CutOff(simulation.Larger(5), 7, simulation.Cuts()[0])
func Larger(cores int) Shape {
	shape := Krizanka()
	shape.Name, shape.Cores, shape.Seeds = fmt.Sprintf("larger-%d", cores), cores, 3
	shape.Zones, shape.Fronts, shape.Workers, shape.Models, shape.Adapters = 2, 4, 4, 20, 10
	shape.SyncMs, shape.CallMs, shape.LeaseMs, shape.LossPercent = 5, 2500, 3000, 1
	return shape
}

// node is any process of the world.
type node struct {
	ground.Node
	world *World
}

func (w *World) newNode(name, addr string) node {
	return node{Node: ground.Node{World: w.World, Name: name, Addr: addr}, world: w}
}

// World is one run.
type World struct {
	*ground.World
	Shape   Shape
	cores   []*controllerNode
	fronts  []*front
	workers []*worker
	listed  []wire.Worker
	facts   facts
	tills   *tills
	// mute workers do not say for how long they were not ordered.
	mute bool
	// rolledBy names the kind by which a rolled out policy is told.
	rolledBy string
	Counts   Counts
	// cut is what a run of CutOff cut off.
	cut *cutting
	// openings go into every policy that operators write.
	openings  []any
	operators []*Operator
}

// Counts are what a run did.
type Counts struct {
	Syncs, Records, Events, Loads int64
}

// New makes a world whose machines all start at moment 0.
//
//	world := simulation.New(simulation.Krizanka(), 7)
func New(shape Shape, seed int64) *World {
	w := &World{World: ground.New(seed), Shape: shape}
	w.Loss = shape.LossPercent
	w.facts, w.tills = newFacts(), newTills(seed)
	for i := range shape.Workers {
		w.addWorker(fmt.Sprintf("w%d", i+1))
	}
	for i := range shape.Cores {
		w.cores = append(w.cores, w.newController(fmt.Sprintf("c%d", i+1), fmt.Sprintf("10.0.0.%d:1", i+1)))
	}
	for i := range shape.Fronts {
		w.fronts = append(w.fronts, w.newFront(fmt.Sprintf("l%d", i+1), fmt.Sprintf("10.0.1.%d:1", i+1), fmt.Sprintf("z%d", i%shape.Zones)))
	}
	for _, core := range w.cores {
		if shape.Seeds == 0 {
			core.start()
			continue
		}
		w.At(w.Random.Int63n(300), core.start)
	}
	for _, one := range w.fronts {
		if shape.AgentSeeds {
			one.seeds = shape.founders()
		}
		one.start()
	}
	return w
}

// founders are the addresses of those who are to found the first core set.
func (s Shape) founders() []string {
	count, form := s.Cores, "10.0.0.%d:1"
	if s.Seeds > 0 {
		count = s.Seeds
	}
	if s.AgentSeeds {
		form = "10.0.1.%d:1"
	}
	var addrs []string
	for i := range count {
		addrs = append(addrs, fmt.Sprintf(form, i+1))
	}
	return addrs
}
