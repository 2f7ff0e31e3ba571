package explorer

import (
	"slices"
	"strings"
)

// Shorten leaves out of a history all that the breach does without: delta
// debugging (Zeller), with steps that can't be taken any more passed over.
//
//	short := explorer.Shorten(model, history)
func Shorten(model Model, history History) History {
	steps := history.Steps
	fails := func(some []Step) ([]Step, string) {
		trial := history
		trial.Steps = some
		world, taken := trial.Replay(model)
		why := world.Broken()
		if why != "" && rule(why) == rule(history.Breach) {
			return taken, why
		}
		return nil, ""
	}
	if taken, why := fails(steps); why != "" {
		steps, history.Breach = taken, why
	}
	// What a breach needs is mostly late: the first half that can go, goes first.
	for parts := 2; len(steps) > 1 && parts <= len(steps); {
		size := (len(steps) + parts - 1) / parts
		shorter := false
		for from := 0; from < len(steps); from += size {
			rest := append(slices.Clone(steps[:from]), steps[min(from+size, len(steps)):]...)
			if taken, why := fails(rest); why != "" {
				steps, history.Breach, shorter = taken, why, true
				break
			}
		}
		switch {
		case shorter:
			parts = max(parts-1, 2)
		case parts == len(steps):
			parts++
		default:
			parts = min(2*parts, len(steps))
		}
	}
	history.Steps = steps
	world, _ := history.Replay(model)
	history.Notes = world.Notes()
	return history
}

// rule is the name of the invariant that a breach is of.
func rule(breach string) string {
	name, _, _ := strings.Cut(breach, ":")
	return name
}

// Replay takes the steps of a history again, those that can be taken, and ends
// all faults after a walk. It returns the world and the steps that were taken.
//
//	world, taken := history.Replay(model)
func (h History) Replay(model Model) (*World, []Step) {
	if h.Walk > 0 {
		model = Drawn(model, h.Walk)
	}
	world := New(model, h.Seed)
	var taken []Step
	for _, step := range h.Steps {
		if world.Broken() != "" {
			break
		}
		if world.Take(step) {
			taken = append(taken, step)
		}
	}
	if h.Walk > 0 {
		world.Close()
	}
	return world, taken
}
