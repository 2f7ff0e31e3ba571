package explorer

import (
	"fmt"
	"math/rand"
	"time"
)

// manner is how one walk is drawn. Walks differ in what goes wrong in them and
// how often (swarm testing, Groce et al.): what is common in one leaves room for
// what is rare in another.
type manner struct {
	random *rand.Rand
	// percent of the steps leave the ordinary order; weights say how.
	percent int
	weights map[Action]int
	// single of ten steps deliver messages in focus one by one.
	single int
	// calls are how many steps lie between two calls.
	calls int
}

func drawManner(_ *World, random *rand.Rand) manner {
	m := manner{random: random, percent: []int{2, 6, 15, 30}[random.Intn(4)], weights: map[Action]int{}, single: []int{0, 0, 2, 10, 10}[random.Intn(5)], calls: []int{15, 40, 120}[random.Intn(3)]}
	for _, do := range []Action{Deliver, Hold, Lose, Repeat, Crash, Stall, Freeze, Cut, Leave, Slow} {
		m.weights[do] = []int{0, 1, 2, 6}[random.Intn(4)]
	}
	// What ends a fault is drawn often enough that most faults end.
	for _, do := range []Action{Release, Start, Sync, Thaw, Heal, Gone, Quick, Flush} {
		m.weights[do] = []int{1, 2, 6}[random.Intn(3)]
	}
	return m
}

// draw picks the next step: mostly the ordinary one, else any other.
func (m *manner) draw(w *World) Step {
	if m.random.Intn(m.calls) == 0 {
		return drawCall(w, m.random)
	}
	steps := w.Steps()
	if m.random.Intn(10) >= m.single {
		steps[0] = Step{Do: Round, With: WithAll}
	}
	if m.random.Intn(100) >= m.percent {
		return steps[0]
	}
	for _, message := range w.queue {
		if message.focus && !message.held && w.reaches(message) {
			steps = append(steps, message.step(Deliver), message.step(Hold), message.step(Lose))
		}
	}
	from, to := w.machines[m.random.Intn(len(w.machines))], w.machines[m.random.Intn(len(w.machines))]
	steps = append(steps, Step{Do: Slow, From: from.name, Node: to.name})
	for _, one := range w.machines {
		for _, other := range w.machines {
			if w.slow[slowness{from: one.name, to: other.name}] {
				steps = append(steps, Step{Do: Quick, From: one.name, Node: other.name})
			}
			if w.holds(one.name, other.name) {
				steps = append(steps, Step{Do: Flush, From: one.name, Node: other.name})
			}
		}
	}
	total := 0
	for _, step := range steps[1:] {
		total += m.weights[step.Do]
	}
	if total == 0 {
		return steps[0]
	}
	at := m.random.Intn(total)
	for _, step := range steps[1:] {
		if at -= m.weights[step.Do]; at < 0 {
			return step
		}
	}
	return steps[0]
}

// Walk draws one long history by a seed, ends all faults, and reads at every
// machine: nothing acknowledged may be gone, and a majority must answer.
//
//	world, steps := explorer.Walk(model, 7, 2000)
func Walk(model Model, seed int64, length int) (*World, []Step) {
	model = Drawn(model, length)
	world := New(model, seed)
	drawn := drawManner(world, rand.New(rand.NewSource(seed)))
	var steps []Step
	for len(steps) < length && world.Broken() == "" {
		step := drawn.draw(world)
		if world.Take(step) {
			steps = append(steps, step)
		}
	}
	if !model.Unclosed {
		world.Close()
	}
	return world, steps
}

// Drawn is a model as walks take it: calls are drawn on the way, and more may go
// wrong the longer they are.
//
//	model = explorer.Drawn(model, 2000)
func Drawn(model Model, length int) Model {
	times := 1 + length/250
	model.drawn, model.Rounds = true, true
	b := &model.Budget
	for _, left := range []*int{&b.Crashes, &b.Repeats, &b.Holds, &b.Losses, &b.Stalls, &b.Freezes, &b.Cuts} {
		*left = max(*left, 1) * times
	}
	b.Holds, b.Losses = 20*b.Holds, 4*b.Losses
	if b.Wipes > 0 {
		b.Wipes *= times
	}
	return model
}

// drawCall draws an operator's call: a read, a write on the newest version known
// or on one before it, or a write that was sent before.
func drawCall(w *World, random *rand.Rand) Step {
	m := w.machines[random.Intn(len(w.machines))]
	step := Step{Do: Ask, Node: m.name, Kind: "read"}
	known := w.facts.acked["policy"]
	switch random.Intn(6) {
	case 0:
	case 1:
		var writes []*Op
		for _, op := range w.facts.ops {
			if op.Kind == "write" {
				writes = append(writes, op)
			}
		}
		if len(writes) > 0 {
			op := writes[len(writes)-1-random.Intn(min(len(writes), 8))]
			step.Kind, step.With, step.Expected = "write", op.Name, op.Expected
		}
	default:
		step.Kind, step.With, step.Expected = "write", fmt.Sprintf("w%d", w.facts.turns), max(known-int64(random.Intn(8)/7), 0)
	}
	return step
}

// Close ends all faults, lets twice the time to catch up pass, and reads at
// every machine.
//
//	world.Close()
func (w *World) Close() {
	if w.Broken() != "" {
		return
	}
	w.closed = true
	w.Take(Step{Do: Heal})
	w.slow = map[slowness]bool{}
	for _, m := range w.queue {
		m.held = false
	}
	for _, m := range w.machines {
		for _, do := range []Action{Thaw, Sync, Start} {
			w.Take(Step{Do: do, Node: m.name})
		}
	}
	for range 2 * (catchUpMs + w.model.leaseMs()) / tickMs {
		w.settleRound()
	}
	if w.model.EarlyWipes {
		return
	}
	if why := leasesAreHeld(w); w.breach == "" && why != "" {
		w.breach = "leases are held: " + why
	}
	first := len(w.facts.ops)
	w.model.drawn = true
	for _, m := range w.machines {
		w.Take(Step{Do: Ask, Node: m.name, Kind: "read"})
	}
	for range 2 * callMs / tickMs {
		w.settleRound()
	}
	for _, op := range w.facts.ops[first:] {
		if w.breach == "" && (!op.Answered || op.Fate != 0) && !w.machine(op.Node).leaving {
			w.breach = fmt.Sprintf("majority stands: a read at %s, all faults being over, ended with fate %d, answered %t", op.Node, op.Fate, op.Answered)
		}
	}
}

// Walks draws histories of one length, from a seed on, until time is up or so
// many are drawn; the first that breaks an invariant is shortened.
//
//	report := explorer.Walks(model, 2000, explorer.Options{Seed: 1, Workers: 2, Most: time.Minute})
func Walks(model Model, length, count int, options Options) Report {
	began := time.Now()
	report := Report{Model: model.Name, Depth: length}
	type ended struct {
		seed  int64
		world *World
		steps []Step
	}
	results, stop := make(chan ended), make(chan struct{})
	next := make(chan int64)
	go func() {
		defer close(next)
		for at := range int64(count) {
			if options.Most > 0 && time.Since(began) > options.Most {
				return
			}
			select {
			case next <- options.Seed + at:
			case <-stop:
				return
			}
		}
	}()
	workers := max(options.Workers, 1)
	running := make(chan struct{}, workers)
	for range workers {
		running <- struct{}{}
		go func() {
			defer func() { <-running }()
			for seed := range next {
				world, steps := Walk(model, seed, length)
				results <- ended{seed, world, steps}
			}
		}()
	}
	go func() {
		for range workers {
			running <- struct{}{}
		}
		close(results)
	}()
	for one := range results {
		report.Histories++
		report.Steps += int64(len(one.steps))
		report.States += one.world.Delivered
		if why := one.world.Broken(); why != "" && report.Found == nil {
			close(stop)
			report.FoundAfter = report.Histories
			report.Found = &History{Model: model.Name, Seed: one.seed, Walk: length, Early: !one.world.closed, Breach: why, Steps: one.steps}
		}
	}
	report.Took = time.Since(began)
	report.Complete = report.Found == nil && report.Histories == int64(count)
	return report
}
