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
		if !w.mayWipe() || !w.spend(&w.left.Wipes) {
			return false
		}
		w.calm, w.calmBefore = 0, 0
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
	// anything starts again as one that joins.
	m.start(false)
	return true
}

// mayWipe tells whether the rules allow another machine to lose its disk.
func (w *World) mayWipe() bool {
	return w.calmBefore >= catchUpMs/tickMs || w.model.EarlyWipes && w.facts.newest.Epoch == 0
}
