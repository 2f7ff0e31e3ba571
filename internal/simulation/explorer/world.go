package explorer

import (
	"fmt"
	"slices"
	"strings"

	"applequay/internal/transport/wire"
)

// World is one history in the making: the real machines, what is under way
// between them, their disks, and what was seen from outside.
type World struct {
	model  Model
	seed   int64
	now    int64
	rounds int
	// calm counts the rounds since the last fault ended.
	calm     int
	machines []*machine
	queue    []*message
	sent     map[string]int
	cuts     map[[2]string]bool
	slow     map[slowness]bool
	left     Budget
	asked    int
	facts    facts
	fleet    fleet
	breach   string
	closed   bool
	// touched is what the step being taken has to do with.
	touched Footprint
	// Delivered counts messages handed to machines.
	Delivered int64
}

// message is under way from one machine to another.
type message struct {
	from, to string // names
	sender   string // the sender's identity
	kind     wire.Kind
	nth      int
	body     []byte
	// plain is the body in a form that is the same whenever it says the same.
	plain []byte
	held  bool
	focus bool
	round int // when it was sent
	sum   sum
}

// New makes a world at its beginning.
//
//	world := explorer.New(model, 1)
func New(model Model, seed int64) *World {
	w := &World{model: model, seed: seed, now: 1000, sent: map[string]int{}, cuts: map[[2]string]bool{}, slow: map[slowness]bool{}, left: model.Budget, facts: newFacts(), fleet: newFleet(model.Workers)}
	for at := range model.Admitted + model.Spare {
		w.machines = append(w.machines, newMachine(w, at))
	}
	if !model.Unfounded {
		w.foundAll()
	}
	for _, m := range w.machines {
		m.start(model.Unfounded && m.at < model.Admitted)
	}
	for range model.Settle {
		w.settleRound()
	}
	w.open()
	return w
}

// open takes the model's opening, which nothing is counted against.
func (w *World) open() {
	w.left = Budget{Crashes: ample, Wipes: ample, Holds: ample, Losses: ample, Stalls: ample, Freezes: ample, Cuts: ample, Leaves: ample}
	for _, step := range w.model.Opening {
		if w.Broken() != "" {
			return
		}
		if !w.Take(step) {
			panic(fmt.Sprintf("opening of %s: cannot take %s", w.model.Name, step))
		}
	}
	w.left = w.model.Budget
}

// settleRound is a round in which all that is under way arrives.
func (w *World) settleRound() { w.Take(Step{Do: Round, With: WithAll}) }

func (w *World) machine(name string) *machine {
	for _, m := range w.machines {
		if m.name == name {
			return m
		}
	}
	return nil
}

func (w *World) byAddr(addr string) *machine {
	for _, m := range w.machines {
		if m.addr == addr {
			return m
		}
	}
	return nil
}

func (w *World) byID(id string) *machine {
	for _, m := range w.machines {
		if m.id == id {
			return m
		}
	}
	return nil
}

// reaches tells whether a message can be delivered now.
func (w *World) reaches(m *message) bool {
	to := w.machine(m.to)
	return to.up && !to.frozen
}

// send puts a message under way, unless the link is cut.
func (w *World) send(from *machine, send wire.Send) {
	var to *machine
	if strings.Contains(send.To, ":") {
		to = w.byAddr(send.To)
	} else if addr, ok := from.core.Addr(send.To); ok {
		to = w.byAddr(addr)
	} else {
		to = w.byID(send.To)
	}
	if to == nil || w.cuts[[2]string{from.name, to.name}] {
		return
	}
	name := strings.TrimPrefix(send.Kind.String(), "Kind")
	link := from.name + ">" + to.name + name
	w.sent[link]++
	m := &message{from: from.name, to: to.name, sender: from.id, kind: send.Kind, nth: w.sent[link], body: wire.Encode(send.Body), focus: slices.Contains(w.model.Focus, name), round: w.rounds}
	m.plain = plain(send, m.body)
	m.sum = sumStart.word(link).number(uint64(m.nth)).number(uint64(m.round)).word(m.sender).bytes(m.plain)
	m.held = m.focus && w.slows(from.name, to.name, name, registerKey(send.Body))
	w.queue = append(w.queue, m)
}

// plain is a message's body, or what fmt makes of it where its encoding holds
// maps, whose order on the wire is any.
func plain(send wire.Send, body []byte) []byte {
	switch send.Kind {
	case wire.KindProbe, wire.KindProbeAck, wire.KindProbeVia:
		return fmt.Appendf(nil, "%v", send.Body)
	}
	return body
}

func (m *message) step(do Action) Step {
	return Step{Do: do, Node: m.to, From: m.from, Kind: strings.TrimPrefix(m.kind.String(), "Kind"), Nth: m.nth}
}

// oldest is the number by which openings name whichever message of a kind on a
// link is under way longest.
const oldest = 0

// find is the message that a step names; nil if it is not under way.
func (w *World) find(step Step) *message {
	for _, m := range w.queue {
		if (m.nth == step.Nth || step.Nth == oldest) && m.to == step.Node && m.from == step.From && strings.TrimPrefix(m.kind.String(), "Kind") == step.Kind {
			return m
		}
	}
	return nil
}

func (w *World) drop(m *message) {
	w.queue = slices.DeleteFunc(w.queue, func(other *message) bool { return other == m })
}

// give hands a message to its receiver.
func (w *World) give(m *message) {
	record, err := wire.Decode(m.kind, m.body)
	if err != nil {
		panic(fmt.Sprintf("%s: %v", m.step(Deliver), err))
	}
	to := w.machine(m.to)
	to.local = to.local.word(m.sender).number(uint64(m.kind))
	to.remember("hear", m.plain)
	w.Delivered++
	to.perform(to.core.Hear(to.clock(), m.sender, record))
	if m.kind == wire.KindGrantTold {
		to.watch()
	}
}

// Hash is the same for two worlds that took the same inputs at each machine, in
// the same order there, and have the same messages under way.
//
//	if seen[world.Hash()] { ... }
func (w *World) Hash() uint64 {
	all := sumStart
	for _, m := range w.machines {
		all = all.number(uint64(m.local)).number(uint64(m.calm)).truth(m.up).truth(m.frozen).truth(m.stalled).number(uint64(m.disk.sum))
	}
	// What is under way has no order: the sums of messages are added up.
	var under uint64
	for _, m := range w.queue {
		under += uint64(m.sum.truth(m.held))
	}
	var cut uint64
	for link, is := range w.cuts {
		cut += uint64(sumStart.word(link[0]).word(link[1]).truth(is))
	}
	for link, is := range w.slow {
		cut += 3 * uint64(sumStart.word(link.from).word(link.to).word(link.kind).word(link.key).truth(is))
	}
	all = all.number(under).number(cut).number(uint64(w.now)).number(uint64(w.calm)).number(uint64(w.asked)).number(uint64(w.facts.sum)).number(uint64(w.fleet.sum))
	b := w.left
	for _, left := range []int{b.Crashes, b.Wipes, b.Older, b.Repeats, b.Holds, b.Losses, b.Stalls, b.Freezes, b.Cuts, b.Leaves} {
		all = all.number(uint64(left))
	}
	return uint64(all)
}

// Broken names the invariant that the history has broken, and how; empty if none.
//
//	if why := world.Broken(); why != "" { ... }
func (w *World) Broken() string { return w.breach }

// check looks at the invariants after a step.
func (w *World) check() {
	if w.breach != "" {
		return
	}
	for _, one := range Invariants() {
		if why := one.Check(w); why != "" {
			w.breach = one.Name + ": " + why
			return
		}
	}
}

// Notes tells what operators saw, line by line.
//
//	for _, line := range world.Notes() { ... }
func (w *World) Notes() []string { return w.facts.notes }

// Now is the world's time in milliseconds.
//
//	fmt.Println(world.Now())
func (w *World) Now() int64 { return w.now }
