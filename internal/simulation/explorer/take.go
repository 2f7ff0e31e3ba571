package explorer

import "slices"

// Take takes a step; false says that it cannot be taken now, and nothing changed.
//
//	if !world.Take(step) { ... }
func (w *World) Take(step Step) bool {
	w.touched = Footprint{}
	taken := w.take(step)
	if taken {
		w.check()
	}
	return taken
}

func (w *World) take(step Step) bool {
	switch step.Do {
	case Deliver, Hold, Release, Lose, Repeat:
		return w.takeMessage(step)
	case Round:
		w.round(step.With == WithAll)
		return true
	case Slow, Quick:
		return w.takeSlow(step)
	case Flush:
		return w.takeFlush(step)
	case Cut, Heal:
		return w.takeCut(step)
	case Ask:
		return w.takeAsk(step)
	default:
		m := w.machine(step.Node)
		if m == nil || m.gone {
			return false
		}
		w.touched.Machines |= 1 << m.at
		return w.takeMachine(m, step)
	}
}

// spend takes one from what may go wrong; two steps that spend are not
// independent.
func (w *World) spend(left *int) bool {
	if *left <= 0 {
		return false
	}
	*left--
	w.touched.Spends = true
	return true
}

func (w *World) takeMessage(step Step) bool {
	m := w.find(step)
	if m == nil {
		return false
	}
	w.touched.Machines |= 1 << w.machine(m.to).at
	switch step.Do {
	case Hold:
		if m.held || !w.spend(&w.left.Holds) {
			return false
		}
		m.held = true
	case Release:
		if !m.held {
			return false
		}
		m.held = false
	case Lose:
		if !w.spend(&w.left.Losses) {
			return false
		}
		w.drop(m)
		w.calm = 0
	case Repeat:
		if !w.reaches(m) || !w.spend(&w.left.Repeats) {
			return false
		}
		w.give(m)
	default:
		if !w.reaches(m) || (step.With == WithUnsynced && !w.spend(&w.left.Crashes)) {
			return false
		}
		w.drop(m)
		to := w.machine(m.to)
		if step.With == WithUnsynced {
			to.stalled = true
		}
		w.give(m)
		if step.With == WithUnsynced {
			to.crash()
		}
	}
	return true
}

// round lets a tick pass everywhere and delivers what is not held, and in focus
// only if all shall be.
func (w *World) round(all bool) {
	w.touched.All = true
	w.now += tickMs
	w.rounds++
	w.calm++
	w.queue = slices.DeleteFunc(w.queue, func(m *message) bool { return !m.held && !w.machine(m.to).up })
	w.fleetRound()
	for _, m := range w.machines {
		if m.up && !m.frozen {
			m.tick()
		}
		if m.up && m.frozen {
			m.watch()
		}
		if !m.up && !m.gone || m.frozen || m.stalled {
			w.calm = 0
		}
	}
	late := func(m *message) bool { return m.focus && w.rounds-m.round > 2 }
	if len(w.cuts) > 0 || slices.ContainsFunc(w.queue, late) {
		w.calm = 0
	}
	for {
		at := slices.IndexFunc(w.queue, func(m *message) bool { return !m.held && (all || !m.focus) && w.reaches(m) })
		if at < 0 {
			return
		}
		m := w.queue[at]
		w.queue = slices.Delete(w.queue, at, at+1)
		w.give(m)
	}
}

func (w *World) takeCut(step Step) bool {
	w.touched.All = true
	if step.Do == Heal {
		taken := len(w.cuts) > 0
		w.cuts = map[[2]string]bool{}
		return taken
	}
	m := w.machine(step.Node)
	if m == nil || len(w.cuts) > 0 || !w.spend(&w.left.Cuts) {
		return false
	}
	for _, other := range w.machines {
		if other == m {
			continue
		}
		if step.With != "in" {
			w.cuts[[2]string{m.name, other.name}] = true
		}
		if step.With != "out" {
			w.cuts[[2]string{other.name, m.name}] = true
		}
	}
	return true
}

func (w *World) takeAsk(step Step) bool {
	m := w.machine(step.Node)
	if m == nil || !m.up || m.frozen || (!w.model.drawn && step.Nth != w.asked) {
		return false
	}
	w.touched.Seen = true
	if !w.model.drawn {
		w.asked++
		w.touched.Spends = true
	}
	op := &Op{Kind: step.Kind, Name: step.With, Expected: step.Expected}
	w.facts.begin(m, op)
	m.ask(op)
	return true
}

func (w *World) takeMachine(m *machine, step Step) bool {
	switch step.Do {
	case Crash:
		if !m.up || !w.spend(&w.left.Crashes) {
			return false
		}
		m.crash()
	case Start:
		return w.takeStart(m, step.With)
	case Stall:
		if !m.up || m.stalled || !w.spend(&w.left.Stalls) {
			return false
		}
		m.stalled, m.stalledAt = true, w.now
		m.remember("stall", nil)
	case Sync:
		if !m.up || !m.stalled || m.frozen {
			return false
		}
		m.stalled = false
		m.remember("sync", nil)
		m.sync()
	case Freeze:
		if !m.up || m.frozen || !w.spend(&w.left.Freezes) {
			return false
		}
		m.frozen = true
	case Thaw:
		if !m.up || !m.frozen {
			return false
		}
		m.frozen = false
	case Leave:
		if !m.up || m.frozen || m.leaving || !w.spend(&w.left.Leaves) {
			return false
		}
		m.leaving = true
		m.remember("leave", nil)
		m.perform(m.core.Leave(m.clock()))
		m.watch()
	case Gone:
		if !m.up || m.frozen || !m.leaving {
			return false
		}
		m.remember("gone", nil)
		m.perform(m.core.Gone(m.clock()))
		m.crash()
		m.gone = true
	default:
		return false
	}
	return true
}
