// Package simulation is a seeded world for pure machines: a network that loses, delays,
// reorders and is cut one way or both; clocks that are off; processes that
// freeze, wake, crash and start again. The same seed gives the same history. It
// knows nothing of what the machines do: their owner hands it closures.
//
// The interface is stable: what is exported here changes only by addition.
package simulation

import (
	"container/heap"
	"fmt"
	"math/rand"

	"applequay/internal/transport/wire"
)

// What machines of the other coordination packages speak in.
type (
	// Kind names the record in a message.
	Kind = wire.Kind
	// Record is any message.
	Record = wire.Record
)

type event struct {
	at    int64
	order int64
	run   func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].order < q[j].order)
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push and Pop serve the heap.
//
//	heap.Push(&q, one)
func (q *queue) Push(x any) { *q = append(*q, x.(event)) }

// Pop takes the last event.
//
//	one := heap.Pop(&q).(event)
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// World is one run.
type World struct {
	Seed int64
	// Random draws all that happens; nothing else may.
	Random *rand.Rand
	// NowMs is the world's own time.
	NowMs int64
	// Nodes are the processes, by address.
	Nodes map[string]*Node
	// Cuts are the ways, from one address to another, that carry nothing.
	Cuts map[[2]string]bool
	// Loss is how many messages in a hundred are lost, DelayMs about half of the
	// longest that most of them take.
	Loss    int
	DelayMs int64
	History []string
	Carried Carried
	// Watch, if there is one, sees each message that is sent, with its size.
	Watch  func(from, to *Node, kind Kind, size int)
	events queue
	order  int64
}

// Carried counts messages, and the bytes of those that were not lost.
type Carried struct{ Messages, Lost, Bytes int64 }

// New makes an empty world.
//
//	world := simulation.New(7)
func New(seed int64) *World {
	return &World{Seed: seed, Random: rand.New(rand.NewSource(seed)), Nodes: map[string]*Node{}, Cuts: map[[2]string]bool{}, DelayMs: 2}
}

// Note adds a line to the history.
//
//	world.Note("%s crashes", node.Name)
func (w *World) Note(format string, args ...any) {
	w.History = append(w.History, fmt.Sprintf("%8d ", w.NowMs)+fmt.Sprintf(format, args...))
}

// Now is the world's own time in milliseconds.
//
//	world.Note("at %d", world.Now())
func (w *World) Now() int64 { return w.NowMs }

// At runs something at a moment.
//
//	world.At(5000, func() { world.Cut("a:1", "b:1", true) })
func (w *World) At(at int64, run func()) {
	w.order++
	heap.Push(&w.events, event{at: max(at, w.NowMs), order: w.order, run: run})
}

// After runs something a while from now.
//
//	world.After(200, node.Stop)
func (w *World) After(wait int64, run func()) { w.At(w.NowMs+wait, run) }

// Run goes on until a moment.
//
//	world.Run(30000)
func (w *World) Run(until int64) {
	for len(w.events) > 0 && w.events[0].at <= until {
		one := heap.Pop(&w.events).(event)
		w.NowMs = one.at
		one.run()
	}
	w.NowMs = until
}

// Cut stops what goes from one address to another, or lets it pass again.
//
//	world.Cut("10.0.0.1:1", "10.0.0.2:1", true)
func (w *World) Cut(from, to string, cut bool) { w.Cuts[[2]string{from, to}] = cut }

// Send carries a message: it may be lost, late or out of order. It arrives as a
// copy, as over a wire.
//
//	world.Send(node, "10.0.0.2:1", kind, body)
func (w *World) Send(from *Node, to string, kind Kind, body Record) {
	target, ok := w.Nodes[to]
	w.Carried.Messages++
	if !ok || w.Cuts[[2]string{from.Addr, to}] || w.Random.Intn(100) < w.Loss {
		w.Carried.Lost++
		return
	}
	wait := 1 + w.Random.Int63n(w.DelayMs*2)
	if w.Random.Intn(200) == 0 {
		wait += w.Random.Int63n(400)
	}
	bytes := wire.Encode(body)
	if w.Watch != nil {
		w.Watch(from, target, kind, len(bytes))
	}
	w.Carried.Bytes += int64(len(bytes))
	sender := from.ID
	w.After(wait, func() {
		if target.Up {
			target.On(func() {
				record, err := wire.Decode(kind, bytes)
				if err != nil {
					panic(err)
				}
				target.Hear(sender, record)
			})
		}
	})
}
