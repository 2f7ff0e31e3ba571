package simulation

import "applequay/internal/transport/wire"

// Crash kills a core machine; power says that unsynced bytes go too, perhaps
// in the middle of a write.
//
//	world.Crash(0, true)
func (w *World) Crash(core int, power bool) {
	e := w.cores[core]
	if !e.Up {
		return
	}
	w.Note("%s crashes, power %v", e.Name, power)
	if power && e.busy && w.Random.Intn(2) == 0 {
		e.disk.tear = func(size int) int { return w.Random.Intn(size + 1) }
		_ = e.kept.Append([]wire.Write{{Kind: wire.KindAcceptorRecord, Body: wire.Encode(&wire.AcceptorRecord{Key: "torn"})}})
	}
	e.Up = false
	e.Life++
	e.disk.lose()
}

// Drain stops a core machine as SIGTERM does.
//
//	world.Drain(0)
func (w *World) Drain(core int) {
	e := w.cores[core]
	if !e.Up {
		return
	}
	w.Note("%s drains", e.Name)
	began, released, life := w.NowMs, false, e.Life
	var look func()
	look = func() {
		if e.Life != life || !e.Up {
			return
		}
		late := w.NowMs-began > drainMs
		if !released && (late || w.NowMs-began > w.Shape.LeaseMs || e.core.Page(e.Clock()).Moving == 0) {
			released = true
			e.perform(e.core.Gone(e.Clock()))
		}
		if released && (late || !e.core.Needed()) {
			w.After(w.Shape.ProbeMs, func() {
				if e.Life == life {
					w.Crash(core, false)
				}
			})
			return
		}
		w.After(2*w.Shape.TickMs, func() { e.On(look) })
	}
	e.On(func() {
		e.perform(e.core.Leave(e.Clock()))
		w.After(2*w.Shape.TickMs, func() { e.On(look) })
	})
}

// drainMs is how long a machine that leaves stays at most: three quarters of the
// time by which it must have ended.
const drainMs = 5100

// Restart starts a core machine again; wiped says that its disk is a new one.
//
//	world.Restart(0, false)
func (w *World) Restart(core int, wiped bool) {
	e := w.cores[core]
	if e.Up {
		return
	}
	if wiped {
		w.Note("%s disk lost", e.Name)
		e.disk = newDisk()
	}
	e.start()
}

// Freeze stops a core machine's thread for a while; then it goes on.
//
//	world.Freeze(0, 6000)
func (w *World) Freeze(core int, ms int64) {
	w.Note("%s freezes for %d", w.cores[core].Name, ms)
	w.cores[core].FrozenTo = w.NowMs + ms
}

// AddCore brings a new, empty core machine into the world.
//
//	fresh := world.AddCore("c9", "10.0.0.9:1")
func (w *World) AddCore(name, addr string) *controllerNode {
	e := w.newController(name, addr)
	e.late = true
	if w.Shape.Seeds > 0 {
		// Its settings name machines that stand now.
		e.founder = nil
		for _, one := range w.cores {
			if one.Up && len(e.founder) < w.Shape.Seeds {
				e.founder = append(e.founder, one.Addr)
			}
		}
	}
	w.cores = append(w.cores, e)
	e.start()
	return e
}
