package controller

import (
	"applequay/internal/controlplane/partition"
	"applequay/internal/transport/wire"
)

func (f *Controller) replay(snapshot *wire.Snapshot, writes []wire.Write) {
	for i := range snapshot.Registers {
		f.acceptor.Replay(&snapshot.Registers[i])
	}
	for i := range snapshot.Partitions {
		state := snapshot.Partitions[i]
		f.kept[state.Partition] = &state
	}
	for i := range snapshot.Handed {
		state := snapshot.Handed[i]
		f.handed[state.Partition] = &state
	}
	for _, write := range writes {
		body, err := wire.Decode(write.Kind, write.Body)
		if err != nil {
			panic(err)
		}
		switch record := body.(type) {
		case *wire.AcceptorRecord:
			f.acceptor.Replay(record)
		case *wire.AdoptRecord:
			var from *wire.PartitionState
			if record.From > 0 {
				from = f.source(record.Partition, f.sealedOwner(record))
			}
			f.adoptState(record.Partition, record.Fence, record.Owner, from)
			f.took[record.Partition] = false
		case *wire.SealRecord:
			if state := f.kept[record.Partition]; state != nil && state.Fence == record.Fence {
				state.Sealed = true
			}
		case *wire.Handover:
			state := &wire.PartitionState{}
			if err := state.Unmarshal(record.State); err != nil {
				panic(err)
			}
			f.handed[record.Partition] = state
		case *wire.Event:
			state := f.kept[record.Partition]
			event, err := wire.Decode(wire.Kind(record.Kind), record.Body)
			if err != nil {
				panic(err)
			}
			if state != nil && state.Fence == record.Fence {
				partition.Apply(state, wire.Kind(record.Kind), event)
				f.Recoveries++
			}
		}
	}
}

// Snapshot is the whole durable state, for a checkpoint.
//
//	body := wire.Encode(core.Snapshot())
func (f *Controller) Snapshot() *wire.Snapshot {
	snapshot := &wire.Snapshot{Registers: f.acceptor.Snapshot()}
	for number := range f.boot.Partitions {
		if owned := f.owned[number]; owned != nil {
			snapshot.Partitions = append(snapshot.Partitions, *owned.State())
		} else if kept := f.kept[number]; kept != nil {
			snapshot.Partitions = append(snapshot.Partitions, *kept)
		}
		if handed := f.handed[number]; handed != nil {
			snapshot.Handed = append(snapshot.Handed, *handed)
		}
	}
	return snapshot
}

// sealedOwner names the owner of the sealed state that a record took up.
func (f *Controller) sealedOwner(record *wire.AdoptRecord) wire.Owner {
	for _, state := range []*wire.PartitionState{f.kept[record.Partition], f.handed[record.Partition]} {
		if state != nil && state.Sealed && state.Fence == record.From {
			return wire.Owner{ID: state.Owner, Fence: state.Fence}
		}
	}
	return wire.Owner{}
}
