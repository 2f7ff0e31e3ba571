package sim

import (
	"fmt"
	"math/rand"
	"strings"

	"applequay/internal/connection/wire"
	"applequay/internal/process/frame"
	"applequay/internal/process/journal"
	"applequay/internal/process/register"
)

// exchange is a core machine: the real frame and journal on a simulated disk.
type exchange struct {
	node
	disk    *disk
	core    *frame.Frame
	gate    frame.Gate
	kept    *journal.Journal
	pending []wire.Write
	busy    bool
	busyAt  int64
	stalled bool
	slowMs  int64
	stallTo int64
	local   []wire.Send
	answers map[int64]func(register.Outcome)
	nextAsk int64
	founder []string
	late    bool // started after the founding, so not told of it
	starts  int
}

func (w *World) newExchange(name, addr string) *exchange {
	e := &exchange{disk: newDisk()}
	e.node = node{world: w, name: name, addr: addr}
	for i := range w.Shape.Cores {
		e.founder = append(e.founder, fmt.Sprintf("10.0.0.%d:1", i+1))
	}
	e.hear = func(from string, body wire.Record) { e.perform(e.core.Hear(e.clock(), from, body)) }
	e.tick = e.ticked
	w.nodes[addr] = &e.node
	return e
}

func (e *exchange) start() {
	w := e.world
	e.life++
	e.starts++
	e.up, e.frozenTo = true, 0
	kept, found, err := journal.Open(e.disk, fmt.Sprintf("%s~%x", e.name, w.random.Int63()&0xffffff), frame.EmptySnapshot())
	if err != nil {
		panic(fmt.Sprintf("seed %d: %s cannot start: %v", w.Seed, e.name, err))
	}
	var snapshot wire.Snapshot
	if err := snapshot.Unmarshal(found.Snapshot); err != nil {
		panic(err)
	}
	e.kept, e.id = kept, found.Identity
	e.gate, e.pending, e.busy, e.stalled, e.local, e.answers = frame.Gate{}, nil, false, false, nil, map[int64]func(register.Outcome){}
	e.offsetMs = w.random.Int63n(100000) - w.now
	seeds, core := append([]string{}, e.founder...), e.founder
	if e.late {
		core = nil
	}
	e.core = frame.New(e.clock(), frame.Boot{
		ID: e.id, Name: e.name, Addr: e.addr, Zone: "z0", Born: w.now + 1 + e.wallMs, Core: core, Seeds: seeds, Partitions: w.Shape.Partitions,
		LeaseMs: w.Shape.LeaseMs, PollMs: w.Shape.PollMs, ProbeMs: w.Shape.ProbeMs, CallMs: w.Shape.CallMs,
	}, rand.New(rand.NewSource(w.random.Int63())), &snapshot, found.Writes)
	w.note("%s starts as %s, %d records replayed", e.name, e.id, len(found.Writes))
	e.every(w.Shape.TickMs)
}

func (e *exchange) ticked() {
	e.perform(e.core.Tick(e.clock(), e.world.now+e.wallMs))
	stalled := e.busy && e.world.now-e.busyAt > e.core.StallMs()
	if stalled != e.stalled {
		e.stalled = stalled
		e.world.note("%s journal stalled: %v", e.name, stalled)
		e.perform(e.core.Stall(e.clock(), stalled))
	}
}

func (e *exchange) perform(out wire.Outputs) {
	ready := e.gate.Step(out)
	e.pending = append(e.pending, ready.Writes...)
	e.release(ready)
	for len(e.local) > 0 {
		send := e.local[0]
		e.local = e.local[1:]
		e.perform(e.core.Hear(e.clock(), e.id, send.Body))
	}
	e.flush()
}

func (e *exchange) release(ready wire.Outputs) {
	for _, send := range ready.Sends {
		switch {
		case send.To == e.id:
			e.local = append(e.local, send)
		case send.To == "worker":
			e.order(send.Body.(*wire.Order))
		case send.To == "platform":
			e.list(send.Body.(*wire.Order).Seq)
		case strings.Contains(send.To, ":"):
			e.world.send(&e.node, send.To, send.Kind, send.Body)
		default:
			e.world.sendID(&e.node, e.core.Addr, send)
		}
	}
	for _, answer := range ready.Answers {
		if told, ok := e.answers[answer.Call]; ok {
			delete(e.answers, answer.Call)
			told(answer.Body.(register.Outcome))
		}
	}
}

// sendID finds a member's address; one not known yet is found by its letters,
// as the trunk does.
func (w *World) sendID(from *node, addr func(string) (string, bool), send wire.Send) {
	if known, ok := addr(send.To); ok {
		w.send(from, known, send.Kind, send.Body)
		return
	}
	for _, one := range w.nodes {
		if one.id == send.To {
			w.send(from, one.addr, send.Kind, send.Body)
			return
		}
	}
}

// flush gives the journal a batch, which lasts after the disk's time.
func (e *exchange) flush() {
	if e.busy || len(e.pending) == 0 {
		return
	}
	w := e.world
	batch, count := e.pending, e.gate.Written()
	e.pending, e.busy, e.busyAt = nil, true, w.now
	var snapshot []byte
	if e.kept.LogBytes() > 64<<10 {
		snapshot = wire.Encode(e.core.Snapshot())
	}
	life := e.life
	wait := w.Shape.SyncMs/2 + w.random.Int63n(w.Shape.SyncMs) + e.slowMs
	var write func()
	write = func() {
		if e.life != life || !e.up {
			return
		}
		if w.now < e.stallTo {
			w.At(e.stallTo, write)
			return
		}
		var err error
		if snapshot != nil {
			err = e.kept.Checkpoint(snapshot)
		} else {
			err = e.kept.Append(batch)
		}
		if err != nil {
			w.after(1000, write)
			return
		}
		w.Counts.Syncs++
		w.Counts.Records += int64(len(batch))
		e.on(func() {
			e.busy = false
			e.release(e.gate.Durable(count))
			e.perform(wire.Outputs{})
		})
	}
	w.after(wait, write)
}
