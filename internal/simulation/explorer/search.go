package explorer

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Report is what a search or a number of walks came to.
type Report struct {
	Model      string
	States     int64
	Steps      int64
	Histories  int64
	Depth      int
	Took       time.Duration
	Complete   bool
	Found      *History
	FoundAfter int64
}

// Options bound a search.
type Options struct {
	Seed    int64
	Workers int
	// Most is how long the search may take, 0 for as long as it needs; what ends
	// by it is reported as not complete.
	Most time.Duration
}

// search is a complete search under way: depth first, by taking histories again
// from their beginning. States seen before, with as much left to do, are not
// searched again. Where the number of deviations is not bounded, sleep sets
// leave out one order of two independent steps.
type search struct {
	model   Model
	options Options
	ends    time.Time
	// visited holds the states seen, in parts; a part is with who works on it.
	visited                  [parts]chan map[uint64]visit
	states, steps, histories atomic.Int64
	deepest                  atomic.Int64
	stopped                  atomic.Bool
	found                    atomic.Pointer[History]
	foundAfter               atomic.Int64
	tasks                    chan task
	done                     sync.WaitGroup
}

// parts is in how many parts the states seen are kept.
const parts = 64

// visit is how a state was searched: with how many steps and deviations left,
// and what was left out.
type visit struct {
	depth, deviations int
	sleep             []Step
}

// task is a part of the search: the history to where it begins.
type task struct {
	steps      []Step
	deviations int
	sleep      map[Step]Footprint
}

// Search takes every history of a model within its bounds.
//
//	report := explorer.Search(model, explorer.Options{Seed: 1, Workers: 2})
func Search(model Model, options Options) Report {
	began := time.Now()
	s := &search{model: model, options: options, tasks: make(chan task, 1024)}
	if options.Most > 0 {
		s.ends = began.Add(options.Most)
	}
	for at := range s.visited {
		s.visited[at] = make(chan map[uint64]visit, 1)
		s.visited[at] <- map[uint64]visit{}
	}
	s.done.Add(1)
	s.tasks <- task{deviations: model.Deviations}
	for range max(options.Workers, 1) {
		go func() {
			for one := range s.tasks {
				s.run(one)
				s.done.Done()
			}
		}()
	}
	s.done.Wait()
	close(s.tasks)
	report := Report{Model: model.Name, States: s.states.Load(), Steps: s.steps.Load(), Histories: s.histories.Load(), Depth: int(s.deepest.Load()), Took: time.Since(began), Found: s.found.Load(), FoundAfter: s.foundAfter.Load()}
	report.Complete = !s.stopped.Load() && report.Found == nil
	return report
}

func (s *search) over() bool {
	if s.found.Load() != nil {
		return true
	}
	if !s.ends.IsZero() && time.Now().After(s.ends) {
		s.stopped.Store(true)
		return true
	}
	return false
}

func (s *search) run(one task) {
	if s.over() {
		return
	}
	s.visit(Replay(s.model, s.options.Seed, one.steps), one.steps, one.deviations, one.sleep)
}

// visit searches on from a world; it may go on with the world itself.
func (s *search) visit(world *World, path []Step, deviations int, sleep map[Step]Footprint) {
	if s.deepest.Load() < int64(len(path)) {
		s.deepest.Store(int64(len(path)))
	}
	if why := world.Broken(); why != "" {
		if s.found.CompareAndSwap(nil, &History{Model: s.model.Name, Seed: s.options.Seed, Breach: why, Steps: slices.Clone(path)}) {
			s.foundAfter.Store(s.states.Load())
		}
		return
	}
	left := s.model.Depth - len(path)
	if left <= 0 || s.over() || !s.enter(world.Hash(), left, deviations, sleep) {
		s.histories.Add(1)
		return
	}
	explored := map[Step]Footprint{}
	for step, touched := range sleep {
		explored[step] = touched
	}
	used := world
	for at, step := range world.Steps() {
		rest := deviations
		if _, sleeps := explored[step]; sleeps {
			continue
		}
		if at > 0 && deviations >= 0 {
			if rest--; rest < 0 {
				break
			}
		}
		if used == nil {
			used = Replay(s.model, s.options.Seed, path)
			s.steps.Add(int64(len(path)))
		}
		if !used.Take(step) {
			continue
		}
		s.steps.Add(1)
		touched := used.touched
		var next map[Step]Footprint
		if s.model.Deviations < 0 {
			next = awake(explored, touched)
			explored[step] = touched
		}
		s.branch(used, append(slices.Clone(path), step), rest, next)
		used = nil
		if s.over() {
			return
		}
	}
}

// branch searches a world that was just reached: here, or as a task of another
// worker's where some have nothing to do.
func (s *search) branch(world *World, path []Step, deviations int, sleep map[Step]Footprint) {
	if len(path) < 1024 && world.Broken() == "" && len(s.tasks) < s.options.Workers && s.options.Workers > 1 && deviations != 0 {
		s.done.Add(1)
		select {
		case s.tasks <- task{steps: path, deviations: deviations, sleep: sleep}:
			return
		default:
			s.done.Done()
		}
	}
	s.visit(world, path, deviations, sleep)
}

// awake are the steps searched before that may still be left out after a step.
func awake(explored map[Step]Footprint, touched Footprint) map[Step]Footprint {
	next := map[Step]Footprint{}
	for step, other := range explored {
		if Independent(other, touched) {
			next[step] = other
		}
	}
	return next
}

// enter notes a state; false if it was searched before with as much left to do
// and no more left out.
func (s *search) enter(hash uint64, left, deviations int, sleep map[Step]Footprint) bool {
	part := s.visited[hash%parts]
	seen := <-part
	defer func() { part <- seen }()
	old, known := seen[hash]
	if known && old.depth >= left && old.deviations >= deviations {
		covered := true
		for _, step := range old.sleep {
			if _, also := sleep[step]; !also {
				covered = false
			}
		}
		if covered {
			return false
		}
	}
	if !known {
		s.states.Add(1)
	}
	if !known || (left >= old.depth && deviations >= old.deviations) {
		kept := visit{depth: left, deviations: deviations}
		for step := range sleep {
			kept.sleep = append(kept.sleep, step)
		}
		seen[hash] = kept
	}
	return true
}
