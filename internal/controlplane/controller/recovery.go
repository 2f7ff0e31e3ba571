package controller

import (
	"applequay/internal/controlplane/partition"
	"applequay/internal/transport/wire"
)

func (c *Controller) replay(snapshot *wire.Snapshot, writes []wire.Write) {
	for i := range snapshot.Registers {
		c.acceptor.Replay(&snapshot.Registers[i])
	}
	for i := range snapshot.Partitions {
		state := snapshot.Partitions[i]
		c.kept[state.Partition] = &state
	}
	for i := range snapshot.Handed {
		state := snapshot.Handed[i]
		c.handed[state.Partition] = &state
	}
	for _, write := range writes {
		body, err := wire.Decode(write.Kind, write.Body)
		if err != nil {
			panic(err)
		}
		switch record := body.(type) {
		case *wire.AcceptorRecord:
			c.acceptor.Replay(record)
		case *wire.AdoptRecord:
			var from *wire.PartitionState
			if record.From > 0 {
				from = c.source(record.Partition, c.sealedOwner(record))
			}
			c.adoptState(record.Partition, record.Fence, record.Owner, from)
			c.took[record.Partition] = false
		case *wire.SealRecord:
			if state := c.kept[record.Partition]; state != nil && state.Fence == record.Fence {
				state.Sealed = true
			}
		case *wire.Handover:
			state := &wire.PartitionState{}
			if err := state.Unmarshal(record.State); err != nil {
				panic(err)
			}
			c.handed[record.Partition] = state
		case *wire.Event:
			state := c.kept[record.Partition]
			event, err := wire.Decode(wire.Kind(record.Kind), record.Body)
			if err != nil {
				panic(err)
			}
			if state != nil && state.Fence == record.Fence {
				partition.Apply(state, wire.Kind(record.Kind), event)
				c.Recoveries++
			}
		}
	}
}

// Snapshot is the whole durable state, for a checkpoint.
//
//	body := wire.Encode(core.Snapshot())
func (c *Controller) Snapshot() *wire.Snapshot {
	snapshot := &wire.Snapshot{Registers: c.acceptor.Snapshot()}
	for number := range c.boot.Partitions {
		if owned := c.owned[number]; owned != nil {
			snapshot.Partitions = append(snapshot.Partitions, *owned.State())
		} else if kept := c.kept[number]; kept != nil {
			snapshot.Partitions = append(snapshot.Partitions, *kept)
		}
		if handed := c.handed[number]; handed != nil {
			snapshot.Handed = append(snapshot.Handed, *handed)
		}
	}
	return snapshot
}

// sealedOwner names the owner of the sealed state that a record took up.
func (c *Controller) sealedOwner(record *wire.AdoptRecord) wire.Owner {
	for _, state := range []*wire.PartitionState{c.kept[record.Partition], c.handed[record.Partition]} {
		if state != nil && state.Sealed && state.Fence == record.From {
			return wire.Owner{ID: state.Owner, Fence: state.Fence}
		}
	}
	return wire.Owner{}
}
