package simulation

import (
	"cmp"
	"fmt"
	"math/rand"
	"strings"

	ground "applequay/coordination/simulation"
	"applequay/internal/controlplane/controller"
	"applequay/internal/controlplane/journal"
	"applequay/internal/controlplane/register"
	"applequay/internal/transport/wire"
)

// controller is a core machine: the real state machine and journal on a simulated disk.
type controllerNode struct {
	node
	disk    *disk
	core    *controller.Controller
	gate    controller.Gate
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

func (w *World) newController(name, addr string) *controllerNode {
	e := &controllerNode{disk: newDisk()}
	e.node = w.newNode(name, addr)
	e.founder = w.Shape.founders()
	e.Hear = func(from string, body wire.Record) { e.perform(e.core.Hear(e.Clock(), from, body)) }
	e.Tick = e.ticked
	w.Add(&e.Node)
	return e
}

func (e *controllerNode) start() {
	w := e.world
	e.Life++
	e.starts++
	e.Up, e.FrozenTo = true, 0
	kept, found, err := journal.Open(e.disk, fmt.Sprintf("%s~%x", e.Name, w.Random.Int63()&0xffffff), controller.EmptySnapshot())
	if err != nil {
		panic(fmt.Sprintf("seed %d: %s cannot start: %v", w.Seed, e.Name, err))
	}
	var snapshot wire.Snapshot
	if err := snapshot.Unmarshal(found.Snapshot); err != nil {
		panic(err)
	}
	e.kept, e.ID = kept, found.Identity
	e.gate, e.pending, e.busy, e.stalled, e.local, e.answers = controller.Gate{}, nil, false, false, nil, map[int64]func(register.Outcome){}
	e.OffsetMs = w.Random.Int63n(100000) - w.NowMs
	seeds, core := append([]string{}, e.founder...), e.founder
	if e.late || w.Shape.Seeds > 0 {
		core = nil
	}
	first := w.Shape.Seeds > 0 && !e.late && e.starts == 1
	e.core = controller.New(e.Clock(), controller.Boot{
		ID: e.ID, Name: e.Name, Addr: e.Addr, Zone: "z0", Born: w.NowMs + 1 + e.WallMs, Core: core, Seeds: seeds, Partitions: w.Shape.Partitions,
		LeaseMs: w.Shape.LeaseMs, PollMs: w.Shape.PollMs, ProbeMs: w.Shape.ProbeMs, CallMs: w.Shape.CallMs,
		CatchUpMs: cmp.Or(w.Shape.CatchUpMs, 4000), Bootstrap: first,
	}, rand.New(rand.NewSource(w.Random.Int63())), &snapshot, found.Writes)
	w.Note("%s starts as %s, %d records replayed", e.Name, e.ID, len(found.Writes))
	e.Every(w.Shape.TickMs)
}

func (e *controllerNode) ticked() {
	e.perform(e.core.Tick(e.Clock(), e.world.NowMs+e.WallMs))
	stalled := e.busy && e.world.NowMs-e.busyAt > e.core.StallMs()
	if stalled != e.stalled {
		e.stalled = stalled
		e.world.Note("%s journal stalled: %v", e.Name, stalled)
		e.perform(e.core.Stall(e.Clock(), stalled))
	}
}

func (e *controllerNode) perform(out wire.Outputs) {
	ready := e.gate.Step(out)
	e.pending = append(e.pending, ready.Writes...)
	e.release(ready)
	for len(e.local) > 0 {
		send := e.local[0]
		e.local = e.local[1:]
		e.perform(e.core.Hear(e.Clock(), e.ID, send.Body))
	}
	e.flush()
}

func (e *controllerNode) release(ready wire.Outputs) {
	for _, send := range ready.Sends {
		if !e.core.Leaves(e.Clock(), send) {
			continue
		}
		switch {
		case send.To == e.ID:
			e.local = append(e.local, send)
		case send.To == "worker":
			e.order(send.Body.(*wire.Order))
		case send.To == "platform":
			e.list(send.Body.(*wire.Order).Seq)
		case strings.Contains(send.To, ":"):
			e.world.Send(&e.Node, send.To, send.Kind, send.Body)
		default:
			e.world.sendID(&e.Node, e.core.Addr, send)
		}
	}
	for _, answer := range ready.Answers {
		if told, ok := e.answers[answer.Call]; ok {
			delete(e.answers, answer.Call)
			told(answer.Body.(register.Outcome))
		}
	}
}

// sendID finds a member's address; one not known yet is found by its messages,
// as the transport does.
func (w *World) sendID(from *ground.Node, addr func(string) (string, bool), send wire.Send) {
	if known, ok := addr(send.To); ok {
		w.Send(from, known, send.Kind, send.Body)
		return
	}
	for _, one := range w.Nodes {
		if one.ID == send.To {
			w.Send(from, one.Addr, send.Kind, send.Body)
			return
		}
	}
}

// flush gives the journal a batch, which lasts after the disk's time.
func (e *controllerNode) flush() {
	if e.busy || len(e.pending) == 0 {
		return
	}
	w := e.world
	batch, count := e.pending, e.gate.Written()
	e.pending, e.busy, e.busyAt = nil, true, w.NowMs
	var snapshot []byte
	if e.kept.LogBytes() > 64<<10 {
		snapshot = wire.Encode(e.core.Snapshot())
	}
	life := e.Life
	wait := w.Shape.SyncMs/2 + w.Random.Int63n(w.Shape.SyncMs) + e.slowMs
	var write func()
	write = func() {
		if e.Life != life || !e.Up {
			return
		}
		if w.NowMs < e.stallTo {
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
			w.After(1000, write)
			return
		}
		w.Counts.Syncs++
		w.Counts.Records += int64(len(batch))
		e.On(func() {
			e.busy = false
			e.release(e.gate.Durable(count))
			e.perform(wire.Outputs{})
		})
	}
	w.After(wait, write)
}
