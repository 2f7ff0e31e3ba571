package partition

import (
	"slices"
	"strings"

	"applequay/internal/transport/wire"
)

// clockSender is the sender of what a partition tells itself.
const clockSender = "clock"

// mostSenders bounds the dedup vector.
const mostSenders = 512

// NewState is a partition with nothing in it.
//
//	state := partition.NewState(3, "c1~7f", 8)
func NewState(partition int64, owner string, fence int64) *wire.PartitionState {
	return &wire.PartitionState{
		Partition: partition, Owner: owner, Fence: fence,
		Items: map[string]wire.ItemState{}, Workers: map[string]wire.WorkerState{}, Outboxes: map[string]wire.Outbox{},
	}
}

// Inherit is a sealed state taken up under the next fence. Positions are scoped
// by fences, so outboxes are numbered anew and all senders begin at one.
//
//	state := partition.Inherit(sealed, "c2~51", 9)
func Inherit(sealed *wire.PartitionState, owner string, fence int64) *wire.PartitionState {
	next := NewState(sealed.Partition, owner, fence)
	if err := next.Unmarshal(wire.Encode(sealed)); err != nil {
		panic(err)
	}
	next.Owner, next.Fence, next.Sealed, next.Vector = owner, fence, false, nil
	for name, box := range next.Outboxes {
		renumber(&box)
		next.Outboxes[name] = box
	}
	next.Tasks = slices.DeleteFunc(next.Tasks, func(t wire.Task) bool { return t.Op == "load" })
	for _, worker := range next.Workers {
		for i := range worker.Residents {
			disown(&worker.Residents[i])
		}
	}
	return next
}

// disown takes a permit of an earlier owner from what was to be loaded: the
// store's key forgets it too. What the worker already loads is seen at the
// first look; what it does not goes then.
func disown(kept *wire.Resident) {
	switch kept.State {
	case residentAsked:
		kept.State = residentQueued
	case residentLoading:
		kept.Turn, kept.Seq = -1, 0
	}
}

func renumber(box *wire.Outbox) {
	box.Next = 0
	msgs := make([]wire.OutMsg, len(box.Msgs))
	for i, msg := range box.Msgs {
		box.Next++
		msg.Pos = box.Next
		msgs[i] = msg
	}
	box.Msgs = msgs
}

// Apply changes the state by one event and by nothing else: replaying the same
// events gives the same state.
//
//	partition.Apply(state, wire.KindStepCompleted, event)
func Apply(state *wire.PartitionState, _ wire.Kind, event wire.Record) {
	state.Input++
	switch told := event.(type) {
	case *wire.MessagesReceived:
		if told.Sender != clockSender {
			setDedup(state, told.Sender, told.Fence, told.Pos)
		}
		buffer(state, told.Sender, told.Key, told.Kind, told.Body)
	case *wire.MessagesSent:
		box := state.Outboxes[told.Outbox]
		if box.Fence == told.Fence {
			box.Msgs = slices.Clone(slices.DeleteFunc(box.Msgs, func(m wire.OutMsg) bool { return m.Pos <= told.Pos }))
			state.Outboxes[told.Outbox] = box
		}
	case *wire.TaskCompleted:
		dropTasks(state, told.Ids)
		buffer(state, clockSender, told.Key, told.Kind, told.Body)
	case *wire.StepCompleted:
		applyStep(state, told)
	case *wire.PeerRenewed:
		name := boxName(told.Partition)
		box := state.Outboxes[name]
		box.Partition, box.Fence = told.Partition, told.Fence
		renumber(&box)
		state.Outboxes[name] = box
	}
}

func applyStep(state *wire.PartitionState, step *wire.StepCompleted) {
	if len(step.Consumed) > 0 {
		state.Buffers = slices.Clone(slices.DeleteFunc(state.Buffers, func(b wire.Buffered) bool { return slices.Contains(step.Consumed, b.Pos) }))
	}
	for _, item := range step.Items {
		state.Items[item.Name] = item
	}
	for _, worker := range step.Workers {
		state.Workers[worker.Name] = worker
	}
	for _, store := range step.Stores {
		state.Store = store
	}
	dropTasks(state, step.Done)
	for _, task := range step.Tasks {
		state.NextTask = max(state.NextTask, task.ID)
		state.Tasks = append(state.Tasks, task)
	}
	for _, msg := range step.Out {
		if msg.Partition == state.Partition {
			buffer(state, clockSender, msg.Key, msg.Kind, msg.Body)
			continue
		}
		name := boxName(msg.Partition)
		box := state.Outboxes[name]
		box.Partition = msg.Partition
		box.Next++
		box.Msgs = append(slices.Clone(box.Msgs), wire.OutMsg{Pos: box.Next, Kind: msg.Kind, Key: msg.Key, Body: msg.Body})
		state.Outboxes[name] = box
	}
}

func buffer(state *wire.PartitionState, sender, key string, kind int64, body []byte) {
	state.Buffers = append(state.Buffers, wire.Buffered{Pos: state.Input<<8 | int64(len(state.Buffers)&255), Key: key, Kind: kind, Sender: sender, Body: body})
}

func dropTasks(state *wire.PartitionState, ids []int64) {
	if len(ids) > 0 {
		state.Tasks = slices.Clone(slices.DeleteFunc(state.Tasks, func(t wire.Task) bool { return slices.Contains(ids, t.ID) }))
	}
}

func dedup(state *wire.PartitionState, sender string) (fence, pos int64) {
	for _, entry := range state.Vector {
		if entry.Sender == sender {
			return entry.Fence, entry.Pos
		}
	}
	return 0, 0
}

func setDedup(state *wire.PartitionState, sender string, fence, pos int64) {
	for i, entry := range state.Vector {
		if entry.Sender == sender {
			state.Vector[i] = wire.Dedup{Sender: sender, Fence: fence, Pos: pos}
			return
		}
	}
	if len(state.Vector) >= mostSenders {
		// Fronts get a new name at each start: the oldest that is not a partition goes.
		if at := slices.IndexFunc(state.Vector, func(d wire.Dedup) bool { return strings.HasPrefix(d.Sender, "front/") }); at >= 0 {
			state.Vector = slices.Clone(slices.Delete(state.Vector, at, at+1))
		}
	}
	state.Vector = append(state.Vector, wire.Dedup{Sender: sender, Fence: fence, Pos: pos})
}
