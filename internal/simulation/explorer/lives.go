package explorer

import "fmt"

// takeStart starts a machine that is down. An empty disk, or an older one, is a
// loss: it comes only where the rules allow the next.
func (w *World) takeStart(m *machine, with string) bool {
	if m.up {
		return false
	}
	switch with {
	case WithEmpty:
		if !w.mayWipe(m) || !w.spend(&w.left.Wipes) {
			return false
		}
		// Another that crashed in the same moment keeps its disk.
		w.calm = 0
		for _, other := range w.machines {
			other.calm = 0
		}
		w.facts.forget(m.id)
		m.wipes++
		m.disk, m.id = disk{}, fmt.Sprintf("%s~%d", m.name, m.wipes)
	case WithOlder:
		if !w.spend(&w.left.Older) {
			return false
		}
		m.disk = m.disk.older()
	}
	// The very first start comes once: a founder that crashed before it synced
	// anything starts again as one that joins, but where a model lets a lost disk
	// go with a first start that is told again.
	again := w.model.FirstAgain && m.wipes > 0 && len(m.disk.writes) == 0
	m.start(again && w.model.Unfounded && m.at < w.model.Admitted)
	return true
}

// mayWipe tells whether the rules allow a machine to lose its disk: all were well
// for the time to catch up when it crashed. Before there is a first set, or where
// this machine alone knows of one, nothing is acknowledged.
func (w *World) mayWipe(m *machine) bool {
	tellers := w.facts.tellers[1]
	alone := w.model.FirstAgain && w.facts.newest.Epoch == 1 && len(tellers) == 1 && tellers[m.id]
	return m.calm >= catchUpMs/tickMs || w.model.EarlyWipes && (w.facts.newest.Epoch == 0 || alone)
}
