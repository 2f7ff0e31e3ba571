package explorer

import (
	"slices"
	"strings"
)

// Shorten leaves out of a history all that its breach does without.
//
//	short := explorer.Shorten(model, history)
func Shorten(model Model, history History) History {
	history.Steps = Fewest(history.Steps, func(some []Step) ([]Step, bool) {
		trial := history
		trial.Steps = some
		world, taken := trial.Replay(model)
		why := world.Broken()
		if why == "" || rule(why) != rule(history.Breach) {
			return nil, false
		}
		return taken, true
	})
	world, _ := history.Replay(model)
	if why := world.Broken(); why != "" {
		history.Breach = why
	}
	history.Notes = world.Notes()
	return history
}

// Fewest leaves out steps as long as the rest still fails: delta debugging
// (Zeller and Hildebrandt), first in large parts, then one by one. Fails returns
// the steps that could be taken, which may be fewer than it was given.
//
//	steps := explorer.Fewest(steps, fails)
func Fewest(steps []Step, fails func([]Step) ([]Step, bool)) []Step {
	if taken, still := fails(steps); still {
		steps = taken
	}
	for parts := 2; len(steps) > 1; {
		rest, shorter := leaveOut(steps, parts, fails)
		switch {
		case shorter:
			steps, parts = rest, max(parts-1, 2)
		case parts >= len(steps):
			return steps
		default:
			parts = min(2*parts, len(steps))
		}
	}
	return steps
}

// leaveOut tries the steps without each of so many parts of them, the last part
// first: what a breach does without is mostly what came after it was bound to come.
func leaveOut(steps []Step, parts int, fails func([]Step) ([]Step, bool)) ([]Step, bool) {
	size := (len(steps) + parts - 1) / parts
	for from := (len(steps) - 1) / size * size; from >= 0; from -= size {
		rest := append(slices.Clone(steps[:from]), steps[min(from+size, len(steps)):]...)
		if taken, still := fails(rest); still {
			return taken, true
		}
	}
	return steps, false
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
	if h.Walk > 0 && !h.Early && !model.Unclosed {
		world.Close()
	}
	return world, taken
}
