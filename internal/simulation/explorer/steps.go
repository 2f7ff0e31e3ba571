package explorer

// Footprint is what a step had to do with. Two steps are independent when they
// had to do with different machines, operators saw at most one of them, and at
// most one took from what may go wrong: in either order they lead to the same
// world.
type Footprint struct {
	Machines uint64
	Seen     bool
	Spends   bool
	All      bool
}

// Independent tells whether two steps may be swapped.
//
//	if explorer.Independent(one, other) { ... }
func Independent(one, other Footprint) bool {
	return !one.All && !other.All && one.Machines&other.Machines == 0 && !(one.Seen && other.Seen) && !(one.Spends && other.Spends)
}

// Steps lists what can be taken now, the ordinary step first.
//
//	for _, step := range world.Steps() { ... }
func (w *World) Steps() []Step {
	var steps []Step
	ask, asks := w.nextAsk()
	if asks && (!w.model.Rounds || w.rounds >= w.model.Settle+callEvery*w.asked) {
		steps, asks = append(steps, ask), false
	}
	first := true
	for _, m := range w.queue {
		if m.held || !w.reaches(m) || (w.model.Rounds && !m.focus) {
			continue
		}
		if first || w.model.Deviations < 0 {
			steps = append(steps, m.step(Deliver))
		}
		if first || w.model.Deviations < 0 {
			steps = append(steps, w.messageSteps(m)...)
		}
		first = false
	}
	if w.model.Rounds && len(steps) == 0 {
		steps = append(steps, Step{Do: Round})
	}
	if asks {
		steps = append(steps, ask)
	}
	for _, m := range w.queue {
		if m.held && w.reaches(m) {
			steps = append(steps, m.step(Release))
		}
	}
	for _, m := range w.machines {
		if !m.gone {
			steps = append(steps, w.machineSteps(m)...)
		}
	}
	if len(w.cuts) > 0 {
		steps = append(steps, Step{Do: Heal})
	}
	return steps
}

// callEvery is how many rounds lie between two calls in the ordinary order.
const callEvery = 10

// nextAsk is the next of the model's calls, at the machine it names or the first
// that is up after it.
func (w *World) nextAsk() (Step, bool) {
	if w.model.drawn || w.asked >= len(w.model.Calls) {
		return Step{}, false
	}
	call := w.model.Calls[w.asked]
	for turn := range w.machines {
		m := w.machines[(call.At+turn)%len(w.machines)]
		if !m.up || m.frozen {
			continue
		}
		step := Step{Do: Ask, Node: m.name, Kind: "write", Nth: w.asked, With: call.Write, Expected: call.Expected}
		if call.Write == "" {
			step.Kind = "read"
		}
		return step, true
	}
	return Step{}, false
}

// messageSteps is what else than arriving may happen to a message.
func (w *World) messageSteps(m *message) []Step {
	var steps []Step
	if w.left.Holds > 0 {
		steps = append(steps, m.step(Hold))
	}
	if w.left.Losses > 0 {
		steps = append(steps, m.step(Lose))
	}
	if w.left.Repeats > 0 {
		steps = append(steps, m.step(Repeat))
	}
	if w.left.Crashes > 0 {
		step := m.step(Deliver)
		step.With = WithUnsynced
		steps = append(steps, step)
	}
	return steps
}

// machineSteps is what may happen to a machine.
func (w *World) machineSteps(m *machine) []Step {
	var steps []Step
	add := func(may bool, do Action, with string) {
		if may {
			steps = append(steps, Step{Do: do, Node: m.name, With: with})
		}
	}
	if !m.up {
		add(true, Start, WithKept)
		add(w.left.Wipes > 0 && w.mayWipe(m), Start, WithEmpty)
		add(w.left.Older > 0, Start, WithOlder)
		return steps
	}
	add(m.frozen, Thaw, "")
	if m.frozen {
		return steps
	}
	add(m.stalled, Sync, "")
	add(w.left.Crashes > 0, Crash, "")
	add(w.left.Stalls > 0 && !m.stalled, Stall, "")
	add(w.left.Freezes > 0, Freeze, "")
	for _, way := range []string{"both", "in", "out"} {
		add(w.left.Cuts > 0 && len(w.cuts) == 0, Cut, way)
	}
	add(w.left.Leaves > 0 && !m.leaving, Leave, "")
	add(m.leaving, Gone, "")
	return steps
}
