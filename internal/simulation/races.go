package simulation

import (
	"fmt"

	"applequay/internal/controlplane/register"
)

// race is something that happens to the core while operators race on every
// version.
type race struct {
	name, help string
	happen     func(w *World)
}

var races = []race{
	{"race-join", "a core machine joins", func(w *World) { w.AddCore("c9", "10.0.0.9:1") }},
	{"race-replace", "a core machine is replaced", func(w *World) {
		w.Crash(0, true)
		w.AddCore("c9", "10.0.0.9:1")
	}},
	{"race-leave", "a core machine leaves", func(w *World) { w.Drain(1) }},
	{"race-leave-two", "two leave, one after the other", func(w *World) {
		w.Drain(1)
		w.After(6000, func() { w.Drain(2) })
	}},
	{"race-power", "all lose power", func(w *World) { w.powerOfAll(true, 500) }},
	{"race-power-acks", "all lose power right after acknowledgements", func(w *World) {
		kay := w.NewOperator("kay")
		for at := range int64(5) {
			w.After(at*2500, func() {
				kay.Get(func(version int64) {
					kay.Order(version, version+1, 8, 0, func(register.Fate) { w.powerOfAll(true, 400) })
				})
			})
		}
	}},
	{"race-restarts", "all are killed, and again while they start", func(w *World) {
		w.powerOfAll(true, 400)
		w.After(900, func() { w.powerOfAll(false, 400) })
	}},
	{"race-wipe", "a disk is lost", func(w *World) {
		w.Crash(1, true)
		w.Restart(1, true)
	}},
	{"race-wipe-power", "a disk is lost, then all lose power", func(w *World) {
		w.Crash(1, true)
		w.Restart(1, true)
		w.After(4500, func() { w.powerOfAll(true, 500) })
	}},
	{"race-cut", "a core machine is cut off", func(w *World) { w.isolate(0, true, true, 7000) }},
	{"race-dumb", "a core machine is cut off one way: nobody hears it", func(w *World) { w.isolate(0, true, false, 7000) }},
	{"race-deaf", "a core machine is cut off one way: it hears nobody", func(w *World) { w.isolate(1, false, true, 7000) }},
	{"race-freeze", "a core machine freezes", func(w *World) { w.Freeze(0, 7000) }},
	{"race-cut-join", "one is cut off and another joins", func(w *World) {
		w.isolate(0, true, true, 7000)
		w.AddCore("c9", "10.0.0.9:1")
	}},
}

// run plays a race: at most ten seconds of trouble, and all is healed.
func (r race) run(shape Shape, seed int64) *World {
	w := New(shape, seed)
	w.Races(8000, 20000, 700, 50)
	w.Run(10000 + seed*37%700)
	r.happen(w)
	w.Run(22000)
	w.Heal()
	w.Run(30000)
	return w
}

// Races lets eight operators send a change each, with one number, on the version
// in place, again and again, until a moment, and some of them at once another on
// what that change would make; of a hundred answers so many are lost.
//
//	world.Races(9000, 20000, 700, 50)
func (w *World) Races(from, until, everyMs int64, lost int) {
	var racers []*Operator
	for at := range 8 {
		racers = append(racers, w.NewOperator(fmt.Sprint("racer", at)))
	}
	for at := from; at < until; at += everyMs {
		w.At(at, func() {
			racers[0].Get(func(version int64) {
				for at, one := range racers {
					one.Order(version, version+2, 8, lost, nil)
					if at%3 == 0 {
						one.Order(version+2, version+4, 8, lost, nil)
					}
				}
			})
			racers[w.Random.Intn(len(racers))].Remind(lost)
		})
	}
}

// RemindAll sends every order of all times again, everyMs apart, and counts how
// the answers say they fared.
//
//	fates := world.RemindAll(40)
func (w *World) RemindAll(everyMs int64) map[register.Fate]int {
	fates := map[register.Fate]int{}
	for _, one := range w.operators {
		for _, old := range one.orders {
			before := len(w.facts.ops)
			one.send(old, 1, 1, 0, nil)
			w.Run(w.NowMs + everyMs)
			if len(w.facts.ops) > before && w.facts.ops[before].Answered {
				fates[w.facts.ops[before].Fate]++
			}
		}
	}
	return fates
}

// powerOfAll ends all core machines and starts them again after a while.
func (w *World) powerOfAll(power bool, ms int64) {
	for at := range w.cores {
		w.Crash(at, power)
		w.After(ms+int64(at)*100, func() { w.Restart(at, false) })
	}
}

// isolate cuts a core machine off from the others for a while: what it says, what
// it hears, or both.
func (w *World) isolate(core int, says, hears bool, ms int64) {
	one := w.cores[core].Addr
	set := func(cut bool) {
		for _, other := range w.cores {
			if other.Addr != one {
				w.Cut(one, other.Addr, cut && says)
				w.Cut(other.Addr, one, cut && hears)
			}
		}
	}
	set(true)
	w.After(ms, func() { set(false) })
}
