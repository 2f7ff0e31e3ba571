package explorer

import (
	"slices"

	"applequay/internal/transport/wire"
)

// slowness says which messages in focus on a link are held back: of one kind, if
// it names one, and about one register, if it names one.
type slowness struct{ from, to, kind, key string }

// takeSlow has messages on a link held back from now on, or no longer.
func (w *World) takeSlow(step Step) bool {
	link := slowness{from: step.From, to: step.Node, kind: step.Kind, key: step.With}
	if w.slow[link] == (step.Do == Slow) {
		return false
	}
	w.touched.All = true
	w.slow[link] = step.Do == Slow
	return true
}

// slows tells whether a message on a link is held back as it is sent.
func (w *World) slows(from, to, kind, key string) bool {
	for _, one := range []slowness{{from, to, "", ""}, {from, to, kind, ""}, {from, to, "", key}, {from, to, kind, key}} {
		if w.slow[one] {
			return true
		}
	}
	return false
}

// registerKey is the register that a message is about, empty if about none.
func registerKey(body wire.Record) string {
	switch told := body.(type) {
	case *wire.Prepare:
		return told.Key
	case *wire.Promise:
		return told.Key
	case *wire.Accept:
		return told.Key
	case *wire.Accepted:
		return told.Key
	case *wire.Query:
		return told.Key
	case *wire.Chosen:
		return told.Key
	case *wire.WriteAsk:
		return told.Key
	}
	return ""
}

// holds tells whether anything on a link is held back.
func (w *World) holds(from, to string) bool {
	return slices.ContainsFunc(w.queue, func(m *message) bool { return m.held && m.from == from && m.to == to })
}

// takeFlush frees all that is held back on a link, or loses it.
func (w *World) takeFlush(step Step) bool {
	taken := w.holds(step.From, step.Node)
	w.touched.All = true
	if step.With == WithLost {
		w.queue = slices.DeleteFunc(w.queue, func(m *message) bool { return m.held && m.from == step.From && m.to == step.Node })
		return taken
	}
	for _, m := range w.queue {
		if m.from == step.From && m.to == step.Node {
			m.held = false
		}
	}
	return taken
}
