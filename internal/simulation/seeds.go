package simulation

import "slices"

// SetSeeds gives all machines other seeds, in settings that they read again now and at
// each later start.
//
//	world.SetSeeds([]string{"10.0.1.1:1"})
func (w *World) SetSeeds(seeds []string) {
	w.Note("seeds are %v", seeds)
	for _, e := range w.cores {
		e.founder = slices.Clone(seeds)
		if e.Up {
			e.core.SetSeeds(seeds)
		}
	}
	w.SetFrontSeeds(seeds)
}

// SetFrontSeeds gives the fronts alone other seeds.
//
//	world.SetFrontSeeds([]string{"10.0.1.1:1"})
func (w *World) SetFrontSeeds(seeds []string) {
	for _, f := range w.fronts {
		f.seeds = slices.Clone(seeds)
		if f.Up {
			f.line.SetSeeds(seeds)
		}
	}
}

// LosePower takes all controllers down at once and brings them back within a second;
// fronts come back after some other time within it.
//
//	world.LosePower()
func (w *World) LosePower() {
	for at := range w.cores {
		w.Crash(at, true)
		w.After(500+w.Random.Int63n(500), func() { w.Restart(at, false) })
	}
	w.CrashFronts()
}

// LosePowerAndDisk is a loss of power of all machines at which one controller also loses
// its disk.
//
//	world.LosePowerAndDisk()
func (w *World) LosePowerAndDisk() {
	w.Crash(0, true)
	w.After(500, func() { w.Restart(0, true) })
	w.LosePower()
}

// CrashFronts kills all fronts at once; each is back within a second.
//
//	world.CrashFronts()
func (w *World) CrashFronts() {
	for at := range w.fronts {
		w.CrashFront(at, 500+w.Random.Int63n(500))
	}
}

// Configured counts the fronts that go by some version of the policy, or a newer one.
//
//	if world.Configured(7) == len(fronts) { ... }
func (w *World) Configured(version int64) int {
	count := 0
	for _, f := range w.fronts {
		if f.Up && f.version >= version && f.version > 0 {
			count++
		}
	}
	return count
}
