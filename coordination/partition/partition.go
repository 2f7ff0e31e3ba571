// Package partition is a partition of placement state after Netherite: one
// ordered event stream over keys of models, adapters, workers and the weight
// store, with an outbox, a dedup vector and tasks that are derived from what
// workers show. It is a pure state machine: it returns what to send, to write
// and to answer, and replaying the events it wrote gives the very same state.
//
// Who owns a partition, and under which fence, is decided elsewhere: by a grant
// and a register, say. What a step returns under Then must wait until all its
// Writes are durable.
//
// The interface is stable: what is exported here changes only by addition.
package partition

import (
	"applequay/internal/configuration"
	"applequay/internal/controlplane/partition"
	"applequay/internal/transport/wire"
)

// The machine and what it speaks in.
type (
	// Partition is one partition that this node owns.
	Partition = partition.Partition
	// State is the whole state, for checkpoints.
	State = wire.PartitionState
	// View is what a partition may look at beside its own state.
	View = partition.View
	// Limits are its times.
	Limits = partition.Limits
	// Policy is what operators wrote.
	Policy = configuration.Table
	// Faults are what is wrong with a policy.
	Faults = configuration.Faults
	// Post is a message from a front or another partition.
	Post = wire.Post
	// Want says that a front holds requests for an item.
	Want = wire.Want
	// Tally is what a front's clients ask for, for View.Demands.
	Tally = wire.Tally
	// Demand is one item's part of a tally.
	Demand = wire.Demand
	// Order is what a worker is told, Seen what it showed.
	Order = wire.Order
	// Seen is what a look at a worker showed.
	Seen = wire.Seen
	// Loaded is one thing that a worker has.
	Loaded = wire.Loaded
	// Worker is an entry of the platform's list.
	Worker = wire.Worker
	// WorkerNews is what fronts are told of a worker.
	WorkerNews = wire.WorkerNews
	// Owner says who owns a partition, under which fence.
	Owner = wire.Owner
	// Outputs is what one step wants done.
	Outputs = wire.Outputs
	// Event is one record of the log.
	Event = wire.Event
	// Kind names the record in a message or an event.
	Kind = wire.Kind
	// Record is any message.
	Record = wire.Record
)

// Kinds of messages that the owner of a partition handles itself.
const (
	KindWant  = wire.KindWant
	KindOrder = wire.KindOrder
	KindNews  = wire.KindNews
)

// LimitsFor derives all times from the lease and the time between looks.
//
//	limits := partition.LimitsFor(3200, 500)
func LimitsFor(leaseMs, pollMs int64) Limits { return partition.LimitsFor(leaseMs, pollMs) }

// ParsePolicy reads an operator's policy, or lists all that is wrong with it.
//
//	table, faults := partition.ParsePolicy(body, 7)
func ParsePolicy(body []byte, version int64) (*Policy, Faults) {
	table, faults, _ := configuration.Parse(body, version)
	return table, faults
}

// NewState is a partition with nothing in it.
//
//	state := partition.NewState(3, "c1~7f", 8)
func NewState(number int64, owner string, fence int64) *State {
	return partition.NewState(number, owner, fence)
}

// New takes up a partition under its state's fence; quiet is the last moment at
// which turns of the store may have been given.
//
//	owned := partition.New(now, state, view, limits, "c1~7f", now)
func New(now int64, state *State, view *View, limits Limits, self string, quiet int64) *Partition {
	return partition.New(now, state, view, limits, self, quiet)
}

// Apply changes a state by one event of the log, as recovery does.
//
//	partition.Apply(state, event)
func Apply(state *State, event *Event) error {
	record, err := wire.Decode(wire.Kind(event.Kind), event.Body)
	if err != nil {
		return err
	}
	partition.Apply(state, wire.Kind(event.Kind), record)
	return nil
}

// ItemKey names the key of a model or an adapter, WorkerKey that of a worker.
//
//	key := partition.ItemKey("lens-7b")
func ItemKey(name string) string { return partition.ItemKey(name) }

// WorkerKey names a worker's key.
//
//	key := partition.WorkerKey("w3")
func WorkerKey(name string) string { return partition.WorkerKey(name) }

// Encode turns a message into bytes.
//
//	body := partition.Encode(&partition.Want{Item: "lens-7b", Held: 1})
func Encode(record Record) []byte { return wire.Encode(record) }
