// Package partition is the Netherite partition: one ordered event stream over
// I (items, workers, store), P (input and dedup vector), S (buffers), O
// (outboxes) and T (tasks). It is a pure machine.
package partition

import (
	"slices"

	"applequay/internal/configuration"
	"applequay/internal/transport/wire"
)

// Limits are a partition's times, as ratios of the lease and the poll.
type Limits struct {
	LeaseMs, PollMs, ResendMs, KeepMs, IdleMs, RetryMs, WantMs, NoticeMs, DarkMs, HeldPerCopy int64
}

// LimitsFor derives all times from the boot's bounds.
//
//	limits := partition.LimitsFor(3200, 500)
func LimitsFor(leaseMs, pollMs int64) Limits {
	return Limits{
		LeaseMs: leaseMs, PollMs: pollMs, ResendMs: leaseMs / 8, KeepMs: leaseMs, IdleMs: leaseMs,
		RetryMs: leaseMs / 4, WantMs: 4 * leaseMs, NoticeMs: leaseMs / 32, DarkMs: 4 * pollMs, HeldPerCopy: 16,
	}
}

// View is what a partition may look at beside its own state. What it decides
// from it is in the events, so replay needs no view.
type View struct {
	Policy  *configuration.Table
	Workers map[string]wire.Worker
	Rooms   map[string]wire.WorkerNews
	Owners  map[int64]wire.Owner
	WallMs  int64
	Count   int64
	// Demands is what fronts say of their clients, which no log holds.
	Demands Demands
}

// Partition is one partition that this node owns.
type Partition struct {
	state     *wire.PartitionState
	view      *View
	limits    Limits
	self      string
	since     int64
	quiet     int64 // until when loads may have begun that this owner knows not of
	looked    map[string]int64
	polled    map[string]int64
	heard     map[string]int64
	sentAt    map[int64]int64      // when a task's order was last handed out, by task
	left      map[int64]bool       // tasks whose orders left this node
	boxSent   map[string]batchSent // the last sending of each outbox
	tracks    map[string]*track
	lacking   map[string]int64 // since when an item that is wanted has no home
	silent    map[string]int64 // since when looks at a worker go unanswered
	refused   map[string]int64 // until when a worker that refused an item is not asked for it, by both names
	filledMs  map[string]int64 // when a worker was last considered for loads ahead
	counts    map[string]*kept // homes by item, as they were counted last
	countedMs int64
	askers    map[string]map[string]bool
	acked     map[string]int64
	news      int64
	published map[string][]byte
	toldWaits bool
	waitsMs   int64
	Steps     int64
}

// New takes up a partition under a fence; quiet is the last moment at which
// turns of the store may have been given.
//
//	owned := partition.New(now, state, view, limits, "c1~7f", startedMs)
func New(now int64, state *wire.PartitionState, view *View, limits Limits, self string, quiet int64) *Partition {
	p := &Partition{state: state, view: view, limits: limits, self: self, since: now,
		looked: map[string]int64{}, polled: map[string]int64{}, tracks: map[string]*track{}, lacking: map[string]int64{}, silent: map[string]int64{}, refused: map[string]int64{}, heard: map[string]int64{}, sentAt: map[int64]int64{}, left: map[int64]bool{}, boxSent: map[string]batchSent{}, acked: map[string]int64{}, filledMs: map[string]int64{}, askers: map[string]map[string]bool{}, published: map[string][]byte{}}
	p.refresh(now, quiet)
	return p
}

// State is the whole state, for checkpoints and pages. It is not to be changed.
//
//	snapshot.Partitions = append(snapshot.Partitions, *owned.State())
func (p *Partition) State() *wire.PartitionState { return p.state }

// refresh replaces times of an earlier process, which mean nothing now. When a
// turn of the store was last given is unknown: it waits its load's whole period.
func (p *Partition) refresh(now, quiet int64) {
	for i, turn := range p.state.Store.Turns {
		p.state.Store.Turns[i].FreeMs = quiet + p.period(turn.Item, max(turn.SizeMb, 1))
	}
	p.state.Store.PaceUs, p.quiet = 0, quiet
	if !p.first() {
		p.quiet = p.since
	}
	// Permits that workers of this very partition had under an earlier fence were
	// given up when the state was taken up; nobody else tells the store's key.
	forgot := &effects{}
	p.forgetAskers(now, forgot, p.state.Partition, p.state.Fence)
	p.state.Store = forgot.step.Stores[0]
	for name, item := range p.state.Items {
		item.WantedMs, item.RetryMs, item.OpenMs = 0, 0, 0
		for i := range item.Homes {
			item.Homes[i].SinceMs = now
		}
		p.state.Items[name] = item
	}
	for name, worker := range p.state.Workers {
		for i := range worker.Residents {
			kept := &worker.Residents[i]
			kept.UsedMs, kept.SinceMs, kept.UntilMs = now, now, 0
			if kept.State == residentQueued || kept.State == residentAsked {
				kept.UsedMs = now - 2*p.limits.LeaseMs - 1
			}
		}
		worker.Known = false
		p.state.Workers[name] = worker
	}
	// Whether a load's order left is unknown: it goes on only if it is seen to.
	p.state.Tasks = slices.DeleteFunc(p.state.Tasks, func(t wire.Task) bool { return t.Op == "load" })
	for i := range p.state.Tasks {
		p.state.Tasks[i].NotBeforeMs = now
	}
}

// first tells whether no other owner can have been before this one.
func (p *Partition) first() bool { return p.state.Fence == 1 }

// log writes an event and applies it.
func (p *Partition) log(out *wire.Outputs, kind wire.Kind, event wire.Record) {
	body := wire.Encode(event)
	out.Write(wire.KindEvent, &wire.Event{Partition: p.state.Partition, Fence: p.state.Fence, Kind: int64(kind), Body: body})
	Apply(p.state, kind, event)
	p.Steps++
}

// Post takes a message from another partition or a front.
//
//	out := owned.Post(now, "c2~51", post)
func (p *Partition) Post(now int64, from string, post *wire.Post) wire.Outputs {
	var out wire.Outputs
	ack := &wire.PostAck{Sender: post.Sender, SenderFence: post.SenderFence, Partition: post.Partition, Fence: p.state.Fence, Pos: post.Pos, Known: true}
	fence, pos := dedup(p.state, post.Sender)
	// What an owner said that is known to have a successor counts no more: the
	// successor knows nothing of a permit that it gave.
	known := max(fence, p.state.Outboxes[post.Sender].Fence)
	switch {
	case post.Fence != p.state.Fence || post.SenderFence < known:
		ack.Refused = true
	case post.SenderFence == fence && post.Pos <= pos:
		ack.Pos = pos
	case (post.SenderFence == fence && post.Pos != pos+1) || (post.SenderFence > fence && post.Pos != 1):
		return out
	default:
		if post.Kind == int64(wire.KindWant) {
			p.note(post.Key, from)
		}
		p.log(&out, wire.KindMessagesReceived, &wire.MessagesReceived{Sender: post.Sender, Fence: post.SenderFence, Pos: post.Pos, Kind: post.Kind, Key: post.Key, Body: post.Body})
		p.flush(now, &out)
	}
	out.After(from, wire.KindPostAck, ack)
	return out
}

func (p *Partition) note(key, front string) {
	if p.askers[key] == nil {
		p.askers[key] = map[string]bool{}
	}
	p.askers[key][front] = true
}

// Acked takes a receiver's word that messages arrived.
//
//	out := owned.Acked(now, ack)
func (p *Partition) Acked(_ int64, ack *wire.PostAck) wire.Outputs {
	var out wire.Outputs
	name := boxName(ack.Partition)
	box := p.state.Outboxes[name]
	if ack.Refused || ack.SenderFence != p.state.Fence || ack.Fence != box.Fence || len(box.Msgs) == 0 || box.Msgs[0].Pos > ack.Pos {
		return out
	}
	p.log(&out, wire.KindMessagesSent, &wire.MessagesSent{Outbox: name, Fence: box.Fence, Pos: ack.Pos})
	return out
}

// Tick does all that time brings: new owners elsewhere, resends, polls, turns
// of the store, openings and items to try again.
//
//	out := owned.Tick(now)
func (p *Partition) Tick(now int64) wire.Outputs {
	var out wire.Outputs
	p.forgetSent()
	p.renewals(now, &out)
	p.openings(now, &out)
	p.polls(now, &out)
	p.due(now, &out)
	p.flush(now, &out)
	p.publish(&out)
	p.publishWaits(now, &out)
	return out
}

// flush runs what is buffered and sends what is due; all of it waits for the
// events that brought it about to be persisted.
func (p *Partition) flush(now int64, out *wire.Outputs) {
	out.Add(p.work(now))
	p.resend(now, out)
	p.dispatch(now, out)
}
