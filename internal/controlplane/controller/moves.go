package controller

import (
	"slices"

	"applequay/internal/controlplane/partition"
	"applequay/internal/transport/wire"
)

// A planned move hands a partition over with its state. The owner seals the
// state, which lasts before anything else is done: a sealed state never takes
// turns again under its fence. It sends the state to the next owner, which
// writes it down and says so; only then the grant is given back. The next owner
// claims as ever, and if the register still names the sealed fence it takes the
// state up under the next one. If the move fails, the old owner does the same.

// handing is a move under way, at its old owner.
type handing struct {
	to          string
	fence       int64
	since, sent int64
}

// promise is a partition given away: not to be claimed back for a while.
type promise struct {
	to    string
	until int64
}

// startMove seals a partition and begins to hand it to another node.
func (f *Controller) startMove(now int64, out *wire.Outputs, number int64, to string) {
	owned := f.mine(now, number)
	if owned == nil || f.moving[number] != nil {
		return
	}
	f.letGo(number)
	state := f.kept[number]
	state.Sealed = true
	out.Write(wire.KindSealRecord, &wire.SealRecord{Partition: number, Fence: state.Fence})
	f.moving[number] = &handing{to: to, fence: state.Fence, since: now}
	f.Moves++
	f.sendMove(now, out, number)
}

func (f *Controller) sendMove(now int64, out *wire.Outputs, number int64) {
	handed := f.moving[number]
	handed.sent = now
	out.After(handed.to, wire.KindHandover, &wire.Handover{Partition: number, Fence: handed.fence, State: wire.Encode(f.kept[number])})
}

// movesTick repeats what was not taken, and gives up on what takes too long.
func (f *Controller) movesTick(now int64, out *wire.Outputs) {
	for number := range f.boot.Partitions {
		handed := f.moving[number]
		if handed == nil {
			continue
		}
		_, held := f.holder.Mine(now, number)
		standing, _ := f.members.Standing(handed.to)
		switch {
		case !held, standing != wire.StandingWell, now-handed.since > f.boot.LeaseMs:
			delete(f.moving, number)
			f.giveBack(out, number)
		case now-handed.sent > f.boot.LeaseMs/8:
			f.sendMove(now, out, number)
		}
	}
	if !f.leaving && f.due(now, "balance", f.boot.LeaseMs) {
		f.balance(now, out)
	}
}

func (f *Controller) giveBack(out *wire.Outputs, numbers ...int64) {
	back := f.holder.Release(numbers)
	for _, voter := range f.proposer.Core().Voters {
		out.Send(voter.ID, wire.KindGrantBack, back)
	}
}

// balance moves one partition to the node that owns fewest, where the numbers
// differ by two or more and all have stood well for a while.
func (f *Controller) balance(now int64, out *wire.Outputs) {
	core := f.proposer.Core()
	if !core.Rereplicated || len(f.moving) > 0 || f.stalled || now-f.StartedMs < 4*f.boot.LeaseMs {
		return
	}
	load := map[string]int{}
	for _, owner := range f.view.Owners {
		load[owner.ID]++
	}
	target := ""
	for _, voter := range core.Voters {
		standing, since := f.members.Standing(voter.ID)
		if standing != wire.StandingWell || (voter.ID != f.boot.ID && now-since < 2*f.boot.LeaseMs) {
			return
		}
		if target == "" || load[voter.ID] < load[target] {
			target = voter.ID
		}
	}
	if target == "" {
		return
	}
	if number, ok := f.lightest(now, load[f.boot.ID]-load[target], len(core.Voters)); ok {
		f.startMove(now, out, number, target)
	}
}

// lightest is the partition to move to a node that owns so many fewer. One that
// orders no workers may always go. With the others, workers get no orders for a
// lease, so those go only to a node that lacks a whole share.
func (f *Controller) lightest(now int64, fewer, voters int) (int64, bool) {
	best, least := int64(0), -1
	for number := range f.boot.Partitions {
		owned := f.mine(now, number)
		if owned == nil {
			continue
		}
		workers := 0
		for _, worker := range owned.State().Workers {
			if !worker.Left {
				workers++
			}
		}
		if least < 0 || workers < least {
			best, least = number, workers
		}
	}
	share := int(f.boot.Partitions) / max(voters, 1)
	return best, fewer >= 2 && (least == 0 || (least > 0 && fewer >= share))
}

// handedOver takes a sealed state and says so once it lasts.
func (f *Controller) handedOver(from string, told *wire.Handover) wire.Outputs {
	var out wire.Outputs
	if !f.admitted() || f.leaving || f.stalled || told.Fence < f.view.Owners[told.Partition].Fence {
		return out
	}
	if kept := f.handed[told.Partition]; kept == nil || kept.Fence != told.Fence {
		state := &wire.PartitionState{}
		if state.Unmarshal(told.State) != nil {
			return out
		}
		f.handed[told.Partition] = state
		out.Write(wire.KindHandover, told)
	}
	out.After(from, wire.KindHandoverTaken, &wire.HandoverTaken{Partition: told.Partition, Fence: told.Fence})
	return out
}

func (f *Controller) handoverTaken(now int64, from string, told *wire.HandoverTaken) wire.Outputs {
	var out wire.Outputs
	handed := f.moving[told.Partition]
	if handed == nil || handed.to != from || handed.fence != told.Fence {
		return out
	}
	delete(f.moving, told.Partition)
	f.promised[told.Partition] = promise{to: from, until: now + 2*f.boot.LeaseMs}
	f.giveBack(&out, told.Partition)
	return out
}

// wishMoved says who should own a partition by a move; false if by none.
func (f *Controller) wishMoved(now, number int64) (string, bool) {
	if given, ok := f.promised[number]; ok && now < given.until && f.view.Owners[number].ID == f.boot.ID {
		return given.to, true
	}
	if kept := f.handed[number]; kept != nil && kept.Fence == f.view.Owners[number].Fence && kept.Owner == f.view.Owners[number].ID {
		return f.boot.ID, true
	}
	return "", false
}

// source is the sealed state that may go on under the next fence, if the
// register still names its owner and fence.
func (f *Controller) source(number int64, owner wire.Owner) *wire.PartitionState {
	for _, state := range []*wire.PartitionState{f.kept[number], f.handed[number]} {
		if state != nil && state.Sealed && state.Owner == owner.ID && state.Fence == owner.Fence {
			return state
		}
	}
	return nil
}

// adoptState begins a partition under a new fence, from a sealed state or empty.
func (f *Controller) adoptState(number, fence int64, owner string, from *wire.PartitionState) {
	if from == nil {
		f.kept[number] = partition.NewState(number, owner, fence)
	} else {
		f.kept[number] = partition.Inherit(from, owner, fence)
	}
	delete(f.handed, number)
	f.took[number] = true
}

// Leave begins to hand over all partitions, so that the next owners go on where
// this one stops. Moving tells how many are still on their way.
//
//	out := core.Leave(now)
func (f *Controller) Leave(now int64) wire.Outputs {
	var out wire.Outputs
	f.leaving = true
	f.members.Leave()
	var others []string
	for _, voter := range f.proposer.Core().Voters {
		if standing, _ := f.members.Standing(voter.ID); voter.ID != f.boot.ID && standing == wire.StandingWell {
			others = append(others, voter.ID)
		}
	}
	slices.Sort(others)
	turn := 0
	for number := range f.boot.Partitions {
		if len(others) > 0 && f.mine(now, number) != nil {
			f.startMove(now, &out, number, others[turn%len(others)])
			turn++
		}
	}
	return out
}

// Needed tells whether a node that leaves should stay: partitions are on their way,
// or its vote is still its own, though the set can do without it or a successor
// waits. Nobody may count on a vote that nobody keeps, and the registers must be
// with the others: the set without this node is whole.
//
//	if !core.Needed() { ... }
func (f *Controller) Needed() bool {
	core := f.proposer.Core()
	switch {
	case len(f.moving) > 0:
		return true
	case !f.founded():
		return false
	case voterOf(core.Voters, f.boot.ID):
		return len(core.Voters) > leastVoters || len(core.Joining) > 0 || len(f.newcomers(core)) > 0
	}
	return core.Epoch == f.outSince && !core.Rereplicated
}

// Gone stops all turns that are left and gives their grants back.
//
//	out := core.Gone(now)
func (f *Controller) Gone(now int64) wire.Outputs {
	var out wire.Outputs
	f.leaving = true
	f.moving = map[int64]*handing{}
	f.release(&out)
	out.Add(f.members.Tick(now))
	return out
}
