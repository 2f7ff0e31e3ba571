package explorer

import (
	"fmt"
	"math/rand"

	"applequay/internal/controlplane/controller"
	"applequay/internal/controlplane/register"
	"applequay/internal/transport/wire"
)

// machine is one controller: the real state machine with its gate, on a disk
// that is a list of records.
type machine struct {
	world          *World
	at             int
	name, addr, id string
	core           *controller.Controller
	gate           controller.Gate
	disk           disk
	pending        []wire.Write
	inner          []wire.Send
	up, frozen     bool
	stalled, gone  bool
	leaving        bool
	told           bool // it knows that its disk stalls
	stalledAt      int64
	lives, wipes   int
	// calm is how many rounds all had been well when it crashed last.
	calm     int
	nextCall int64
	calls    map[int64]*Op
	// local sums up all that this machine took in, in its order.
	local sum
	// owned are the leases that it believes it has.
	owned []wire.Hold
}

func newMachine(w *World, at int) *machine {
	name := fmt.Sprintf("c%d", at+1)
	return &machine{world: w, at: at, name: name, addr: name + ":1", id: name + "~0"}
}

// clock is the machine's own monotonic time; clocks differ, and some may run at
// other rates than the world's.
func (m *machine) clock() int64 {
	now := m.world.now
	if rates := m.world.model.ClockRates; m.at < len(rates) {
		now = now * rates[m.at] / perMille
	}
	return now + int64(m.at)*100_000
}

// small is a source of random numbers that costs nothing to seed (splitmix64).
type small uint64

// Uint64 draws 64 random bits.
func (s *small) Uint64() uint64 {
	*s += 0x9e3779b97f4a7c15
	z := uint64(*s)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// Int63 draws 63 random bits.
func (s *small) Int63() int64 { return int64(s.Uint64() >> 1) }

// Seed begins anew from a seed.
func (s *small) Seed(seed int64) { *s = small(seed) }

// start begins a life with the disk there is.
func (m *machine) start(first bool) {
	w := m.world
	m.lives++
	m.up, m.frozen, m.stalled, m.told, m.leaving = true, false, false, false, false
	m.gate, m.pending, m.inner, m.calls, m.owned = controller.Gate{}, nil, nil, map[int64]*Op{}, nil
	source := small(w.seed*1_000_003 + int64(m.at)*1009 + int64(m.lives))
	var snapshot wire.Snapshot
	if len(m.disk.snapshot) > 0 {
		if err := snapshot.Unmarshal(m.disk.snapshot); err != nil {
			panic(err)
		}
	}
	var seeds []string
	for at := range w.model.Admitted {
		seeds = append(seeds, fmt.Sprintf("c%d:1", at+1))
	}
	m.core = controller.New(m.clock(), controller.Boot{
		ID: m.id, Name: m.name, Addr: m.addr, Zone: "z", Born: w.now, Seeds: seeds, Partitions: w.model.Partitions, Bootstrap: first,
		LeaseMs: w.model.leaseMs(), PollMs: m.world.model.pollMs(), ProbeMs: w.model.probeMs(), CallMs: callMs, CatchUpMs: catchUpMs,
	}, rand.New(&source), &snapshot, m.disk.writes)
	m.local = m.local.word(m.id).number(uint64(m.lives)).number(uint64(m.disk.sum))
	m.remember("start", nil)
}

// crash ends a life; what was not synced is lost.
func (m *machine) crash() {
	m.calm = m.world.calm
	if !m.disk.founded {
		m.world.facts.unfound(m.id)
	}
	m.up, m.frozen, m.pending, m.owned, m.calls = false, false, nil, nil, nil
	m.remember("crash", nil)
}

// remember adds an input to the sum of all that the machine took in.
func (m *machine) remember(what string, body []byte) {
	m.local = m.local.number(uint64(m.world.now)).word(what).bytes(body)
	m.world.touched.Machines |= 1 << m.at
}

// perform does what a step of the machine asks for.
func (m *machine) perform(out wire.Outputs) {
	m.step(out)
	for len(m.inner) > 0 {
		send := m.inner[0]
		m.inner = m.inner[1:]
		m.step(m.core.Hear(m.clock(), m.id, send.Body))
	}
	if !m.stalled {
		m.sync()
	}
}

func (m *machine) step(out wire.Outputs) {
	for _, write := range out.Writes {
		m.world.facts.wrote(m, write)
	}
	ready := m.gate.Step(out)
	m.pending = append(m.pending, ready.Writes...)
	m.release(ready)
}

// sync makes what was written last, and lets go what waited for it.
func (m *machine) sync() {
	if len(m.pending) > 0 {
		for _, write := range m.pending {
			m.world.facts.logs.lasts(m, write)
		}
		m.disk.append(m.pending)
		if len(m.disk.writes) > mostWrites {
			m.disk.checkpoint(wire.Encode(m.core.Snapshot()))
		}
		m.pending = nil
	}
	m.release(m.gate.Durable(m.gate.Written()))
	for len(m.inner) > 0 {
		send := m.inner[0]
		m.inner = m.inner[1:]
		m.step(m.core.Hear(m.clock(), m.id, send.Body))
		if !m.stalled {
			m.sync()
		}
	}
}

func (m *machine) release(ready wire.Outputs) {
	for _, send := range ready.Sends {
		if !m.core.Leaves(m.clock(), send) {
			continue
		}
		switch send.To {
		case m.id:
			m.inner = append(m.inner, send)
		case "worker", "platform":
			m.world.fleet.sends(m, send)
		default:
			m.world.facts.said(m, send)
			m.world.send(m, send)
		}
	}
	for _, answer := range ready.Answers {
		op, ok := m.calls[answer.Call]
		if !ok {
			continue
		}
		delete(m.calls, answer.Call)
		outcome := answer.Body.(register.Outcome)
		m.world.touched.Seen = true
		m.world.facts.answered(m.world, op, outcome)
		if outcome.Fate == register.FateDone && outcome.Has {
			m.step(m.core.Learnt(m.clock(), controller.PolicyKey, outcome.Value))
		}
	}
}

// ask begins an operator's call here.
func (m *machine) ask(op *Op) {
	m.nextCall++
	m.calls[m.nextCall] = op
	m.remember(op.Kind+op.Name, nil)
	if op.Kind == "read" {
		m.perform(m.core.Read(m.clock(), m.nextCall, controller.PolicyKey))
		return
	}
	m.perform(m.core.Change(m.clock(), m.nextCall, register.Write{Key: controller.PolicyKey, Expected: op.Expected, Body: op.body(), Name: op.Name}))
}

// tick lets time be noticed.
func (m *machine) tick() {
	m.remember("tick", nil)
	m.perform(m.core.Tick(m.clock(), m.world.now))
	late := m.stalled && m.world.now-m.stalledAt > m.core.StallMs()
	if late != m.told {
		m.told = late
		m.perform(m.core.Stall(m.clock(), late))
	}
	m.watch()
}

// watch notes which leases the machine believes it has.
func (m *machine) watch() {
	if m.world.model.Partitions > 0 {
		m.owned = m.core.Page(m.clock()).Owned
	}
}
