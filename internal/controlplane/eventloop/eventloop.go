// Package eventloop runs a control machine: one thread owns it, and hands its
// outputs to the transport, the journal and those who asked.
package eventloop

import (
	"context"
	"strings"
	"time"

	"go.uber.org/zap"

	"applequay/internal/controlplane/controller"
	"applequay/internal/controlplane/register"
	"applequay/internal/transport"
	"applequay/internal/transport/wire"
)

// Machine is a pure control machine.
type Machine interface {
	Hear(now int64, from string, body wire.Record) wire.Outputs
	Tick(now, wallMs int64) wire.Outputs
	Change(now, call int64, asked register.Write) wire.Outputs
	Read(now, call int64, key string) wire.Outputs
	Learnt(now int64, key string, value wire.Value) wire.Outputs
	Leave(now int64) wire.Outputs
	Addr(id string) (string, bool)
	Page(now int64) controller.Page
	Fact(name, fact string)
}

// Loop is one machine with its thread.
type Loop struct {
	machine  Machine
	self     string
	messages *transport.Transport
	log      *zap.Logger
	gate     controller.Gate
	writer   *Writer
	pending  []wire.Write
	busy     bool
	busyAt   int64
	stalled  bool
	inbox    chan transport.Arrived
	calls    chan func(now int64) wire.Outputs
	answers  map[int64]chan register.Outcome
	next     int64
	addrs    map[string]string
	local    []transport.Arrived
	heard    []transport.Arrived // in this step
	// unsynced are messages to which something is sent back once records last.
	unsynced []unsynced
	durable  int64
	epoch    time.Time
	tick     time.Duration
	// Special takes sends to "worker" and "platform"; it must not block.
	Special func(now int64, send wire.Send)
	// Leaves tells, if it is there, whether a message may still leave: what it
	// rests on may have run out while it waited for the disk.
	Leaves func(now int64, send wire.Send) bool
	// Page is the newest page, made when somebody asks.
	Page *Pages
	// FreePct tells how much of the data folder's disk is free, if there is one.
	FreePct  func() int64
	wall     func() int64
	lastWall int64
	lastNow  int64
	jumped   int64
	looked   int64
	progress progress
	// ticked is when the machine last had a tick, tickAt when it gets the next.
	ticked, tickAt int64
}

// Options are what a loop is made of.
type Options struct {
	Machine  Machine
	Self     string
	Messages *transport.Transport
	Log      *zap.Logger
	Writer   *Writer
	Epoch    time.Time
	Tick     time.Duration
	// Wall is the clock on the wall; time.Now if there is no other.
	Wall func() int64
}

// New makes a loop. Writer is nil where there is no disk.
//
//	control := eventloop.New(options)
func New(o Options) *Loop {
	wall := o.Wall
	if wall == nil {
		wall = func() int64 { return time.Now().UnixMilli() }
	}
	return &Loop{
		wall:    wall,
		machine: o.Machine, self: o.Self, messages: o.Messages, log: o.Log, writer: o.Writer, epoch: o.Epoch, tick: o.Tick,
		inbox: make(chan transport.Arrived, 8192), calls: make(chan func(int64) wire.Outputs, 64),
		answers: map[int64]chan register.Outcome{}, addrs: map[string]string{}, Page: NewPages(),
		Special: func(int64, wire.Send) {},
	}
}

// Deliver puts a message in front of the machine; false says it is too busy.
//
//	router.Handle("/trunk", messages.Handler(control.Deliver))
func (l *Loop) Deliver(message transport.Arrived) bool {
	select {
	case l.inbox <- message:
		return true
	default:
		return false
	}
}

// Now is the monotonic time of this process in milliseconds.
//
//	nowMs := control.Now()
func (l *Loop) Now() int64 { return time.Since(l.epoch).Milliseconds() + 1 }

// Run is the thread that owns the machine.
//
//	err := control.Run(ctx)
func (l *Loop) Run(ctx context.Context) error {
	timer := time.NewTimer(l.tick)
	defer timer.Stop()
	l.tickAt = l.Now() + l.tick.Milliseconds()
	var done chan Written
	if l.writer != nil {
		done = l.writer.done
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case message := <-l.inbox:
			l.hearAll(message)
		case <-timer.C:
			now := l.Now()
			l.ticked, l.tickAt = now, never
			l.perform(now, l.machine.Tick(now, l.wall()))
			l.watchDisk(now)
			l.watchMachine(now)
			l.watchProgress(now)
		case made := <-l.Page.asks:
			l.Page.Store(l.machine.Page(l.Now()))
			close(made)
		case call := <-l.calls:
			now := l.Now()
			l.perform(now, call(now))
		case wrote := <-done:
			if wrote.Err != nil {
				return wrote.Err
			}
			l.busy, l.durable = false, wrote.Count
			l.release(l.Now(), l.gate.Durable(wrote.Count))
		}
		l.drain()
		l.flush()
		l.arm(timer)
		l.tellHeard(l.durable)
	}
}

func (l *Loop) hear(message transport.Arrived) {
	if message.Addr != "" {
		l.addrs[message.From] = message.Addr
	}
	now := l.Now()
	l.perform(now, l.machine.Hear(now, message.From, message.Body))
}

// drain gives the machine what it sent to itself.
func (l *Loop) drain() {
	for len(l.local) > 0 {
		message := l.local[0]
		l.local = l.local[1:]
		l.hear(message)
	}
}

func (l *Loop) perform(now int64, out wire.Outputs) {
	ready := l.gate.Step(out)
	l.pending = append(l.pending, ready.Writes...)
	l.release(now, ready)
}

func (l *Loop) release(now int64, ready wire.Outputs) {
	for _, send := range ready.Sends {
		if l.Leaves == nil || l.Leaves(now, send) {
			l.send(now, send)
		}
	}
	for _, answer := range ready.Answers {
		if waiter, ok := l.answers[answer.Call]; ok {
			delete(l.answers, answer.Call)
			waiter <- answer.Body.(register.Outcome)
		}
	}
}

func (l *Loop) send(now int64, send wire.Send) {
	switch {
	case send.To == l.self:
		l.local = append(l.local, transport.Arrived{From: l.self, Kind: send.Kind, Body: send.Body})
	case send.To == "worker" || send.To == "platform":
		l.Special(now, send)
	case strings.Contains(send.To, ":"):
		l.messages.Send(send.To, send.Kind, send.Body)
	default:
		addr, ok := l.machine.Addr(send.To)
		if !ok {
			addr, ok = l.addrs[send.To]
		}
		if ok {
			l.messages.Send(addr, send.Kind, send.Body)
		}
	}
}

// flush hands the journal one batch of all that waits, once it is free.
func (l *Loop) flush() {
	if l.writer == nil || l.busy || len(l.pending) == 0 {
		return
	}
	batch := batch{writes: l.pending, count: l.gate.Written()}
	if l.writer.Due() {
		batch.snapshot = l.writer.snapshot()
	}
	l.pending, l.busy, l.busyAt = nil, true, l.Now()
	l.writer.batches <- batch
}
