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
	machine Machine
	self    string
	cable   *transport.Transport
	log     *zap.Logger
	gate    controller.Gate
	writer  *Writer
	pending []wire.Write
	busy    bool
	busyAt  int64
	stalled bool
	inbox   chan transport.Arrived
	calls   chan func(now int64) wire.Outputs
	answers map[int64]chan register.Outcome
	next    int64
	addrs   map[string]string
	local   []transport.Arrived
	heard   []transport.Arrived // in this step
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

// Options are what a position is made of.
type Options struct {
	Machine Machine
	Self    string
	Cable   *transport.Transport
	Log     *zap.Logger
	Writer  *Writer
	Epoch   time.Time
	Tick    time.Duration
	// Wall is the clock on the wall; time.Now if there is no other.
	Wall func() int64
}

// New makes a position. Writer is nil where there is no disk.
//
//	control := eventloop.New(options)
func New(o Options) *Loop {
	wall := o.Wall
	if wall == nil {
		wall = func() int64 { return time.Now().UnixMilli() }
	}
	return &Loop{
		wall:    wall,
		machine: o.Machine, self: o.Self, cable: o.Cable, log: o.Log, writer: o.Writer, epoch: o.Epoch, tick: o.Tick,
		inbox: make(chan transport.Arrived, 8192), calls: make(chan func(int64) wire.Outputs, 64),
		answers: map[int64]chan register.Outcome{}, addrs: map[string]string{}, Page: NewPages(),
		Special: func(int64, wire.Send) {},
	}
}

// Deliver puts a message in front of the machine; false says it is too busy.
//
//	router.Handle("/trunk", cable.Handler(control.Deliver))
func (p *Loop) Deliver(message transport.Arrived) bool {
	select {
	case p.inbox <- message:
		return true
	default:
		return false
	}
}

// Now is the monotonic time of this process in milliseconds.
//
//	nowMs := control.Now()
func (p *Loop) Now() int64 { return time.Since(p.epoch).Milliseconds() + 1 }

// Run is the thread that owns the machine.
//
//	err := control.Run(ctx)
func (p *Loop) Run(ctx context.Context) error {
	timer := time.NewTimer(p.tick)
	defer timer.Stop()
	p.tickAt = p.Now() + p.tick.Milliseconds()
	var done chan Written
	if p.writer != nil {
		done = p.writer.done
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case message := <-p.inbox:
			p.hearAll(message)
		case <-timer.C:
			now := p.Now()
			p.ticked, p.tickAt = now, never
			p.perform(now, p.machine.Tick(now, p.wall()))
			p.watchDisk(now)
			p.watchMachine(now)
			p.watchProgress(now)
		case made := <-p.Page.asks:
			p.Page.Store(p.machine.Page(p.Now()))
			close(made)
		case call := <-p.calls:
			now := p.Now()
			p.perform(now, call(now))
		case wrote := <-done:
			if wrote.Err != nil {
				return wrote.Err
			}
			p.busy, p.durable = false, wrote.Count
			p.release(p.Now(), p.gate.Durable(wrote.Count))
		}
		p.drain()
		p.flush()
		p.arm(timer)
		p.tellHeard(p.durable)
	}
}

func (p *Loop) hear(message transport.Arrived) {
	if message.Addr != "" {
		p.addrs[message.From] = message.Addr
	}
	now := p.Now()
	p.perform(now, p.machine.Hear(now, message.From, message.Body))
}

// drain gives the machine what it sent to itself.
func (p *Loop) drain() {
	for len(p.local) > 0 {
		message := p.local[0]
		p.local = p.local[1:]
		p.hear(message)
	}
}

func (p *Loop) perform(now int64, out wire.Outputs) {
	ready := p.gate.Step(out)
	p.pending = append(p.pending, ready.Writes...)
	p.release(now, ready)
}

func (p *Loop) release(now int64, ready wire.Outputs) {
	for _, send := range ready.Sends {
		if p.Leaves == nil || p.Leaves(now, send) {
			p.send(now, send)
		}
	}
	for _, answer := range ready.Answers {
		if waiter, ok := p.answers[answer.Call]; ok {
			delete(p.answers, answer.Call)
			waiter <- answer.Body.(register.Outcome)
		}
	}
}

func (p *Loop) send(now int64, send wire.Send) {
	switch {
	case send.To == p.self:
		p.local = append(p.local, transport.Arrived{From: p.self, Kind: send.Kind, Body: send.Body})
	case send.To == "worker" || send.To == "platform":
		p.Special(now, send)
	case strings.Contains(send.To, ":"):
		p.cable.Send(send.To, send.Kind, send.Body)
	default:
		addr, ok := p.machine.Addr(send.To)
		if !ok {
			addr, ok = p.addrs[send.To]
		}
		if ok {
			p.cable.Send(addr, send.Kind, send.Body)
		}
	}
}

// flush hands the journal one batch of all that waits, once it is free.
func (p *Loop) flush() {
	if p.writer == nil || p.busy || len(p.pending) == 0 {
		return
	}
	batch := batch{writes: p.pending, count: p.gate.Written()}
	if p.writer.Due() {
		batch.snapshot = p.writer.snapshot()
	}
	p.pending, p.busy, p.busyAt = nil, true, p.Now()
	p.writer.batches <- batch
}
