package sim

import "applequay/internal/connection/wire"

// Crash kills a core machine; power says that unsynced bytes go too, perhaps
// in the middle of a write.
//
//	world.Crash(0, true)
func (w *World) Crash(core int, power bool) {
	e := w.cores[core]
	if !e.up {
		return
	}
	w.note("%s crashes, power %v", e.name, power)
	if power && e.busy && w.random.Intn(2) == 0 {
		e.disk.tear = func(size int) int { return w.random.Intn(size + 1) }
		_ = e.kept.Append([]wire.Write{{Kind: wire.KindAcceptorRecord, Body: wire.Encode(&wire.AcceptorRecord{Key: "torn"})}})
	}
	e.up = false
	e.life++
	e.disk.lose()
}

// Drain stops a core machine as SIGTERM does.
//
//	world.Drain(0)
func (w *World) Drain(core int) {
	e := w.cores[core]
	if !e.up {
		return
	}
	w.note("%s drains", e.name)
	e.on(func() {
		e.perform(e.core.Leave(e.clock()))
		life := e.life
		w.after(w.Shape.LeaseMs/2, func() {
			e.on(func() { e.perform(e.core.Gone(e.clock())) })
		})
		w.after(w.Shape.LeaseMs/2+w.Shape.ProbeMs, func() {
			if e.life == life {
				w.Crash(core, false)
			}
		})
	})
}

// Restart starts a core machine again; wiped says that its disk is a new one.
//
//	world.Restart(0, false)
func (w *World) Restart(core int, wiped bool) {
	e := w.cores[core]
	if e.up {
		return
	}
	if wiped {
		w.note("%s disk lost", e.name)
		e.disk = newDisk()
	}
	e.start()
}

// Freeze stops a core machine's thread for a while; then it goes on.
//
//	world.Freeze(0, 6000)
func (w *World) Freeze(core int, ms int64) {
	w.note("%s freezes for %d", w.cores[core].name, ms)
	w.cores[core].frozenTo = w.now + ms
}

// AddCore brings a new, empty core machine into the world.
//
//	fresh := world.AddCore("c9", "10.0.0.9:1")
func (w *World) AddCore(name, addr string) *exchange {
	e := w.newExchange(name, addr)
	e.late = true
	w.cores = append(w.cores, e)
	e.start()
	return e
}
