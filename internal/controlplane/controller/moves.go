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
func (c *Controller) startMove(now int64, out *wire.Outputs, number int64, to string) {
	owned := c.mine(now, number)
	if owned == nil || c.moving[number] != nil {
		return
	}
	c.letGo(number)
	state := c.kept[number]
	state.Sealed = true
	out.Write(wire.KindSealRecord, &wire.SealRecord{Partition: number, Fence: state.Fence})
	c.moving[number] = &handing{to: to, fence: state.Fence, since: now}
	c.Moves++
	c.sendMove(now, out, number)
}

func (c *Controller) sendMove(now int64, out *wire.Outputs, number int64) {
	handed := c.moving[number]
	handed.sent = now
	out.After(handed.to, wire.KindHandover, &wire.Handover{Partition: number, Fence: handed.fence, State: wire.Encode(c.kept[number])})
}

// movesTick repeats what was not taken, and gives up on what takes too long.
func (c *Controller) movesTick(now int64, out *wire.Outputs) {
	for number := range c.boot.Partitions {
		handed := c.moving[number]
		if handed == nil {
			continue
		}
		_, held := c.holder.Mine(now, number)
		standing, _ := c.members.Standing(handed.to)
		switch {
		case !held, standing != wire.StandingWell, now-handed.since > c.boot.LeaseMs:
			delete(c.moving, number)
			c.giveBack(out, number)
		case now-handed.sent > c.boot.LeaseMs/8:
			c.sendMove(now, out, number)
		}
	}
	if !c.leaving && c.due(now, "balance", c.boot.LeaseMs) {
		c.balance(now, out)
	}
}

func (c *Controller) giveBack(out *wire.Outputs, numbers ...int64) {
	back := c.holder.Release(numbers)
	for _, voter := range c.proposer.Core().Voters {
		out.Send(voter.ID, wire.KindGrantBack, back)
	}
}

// balance moves one partition to the node that owns fewest, where the numbers
// differ by two or more and all have stood well for a while.
func (c *Controller) balance(now int64, out *wire.Outputs) {
	core := c.proposer.Core()
	if !core.Rereplicated || len(c.moving) > 0 || c.stalled || now-c.StartedMs < 4*c.boot.LeaseMs {
		return
	}
	load := map[string]int{}
	for _, owner := range c.view.Owners {
		load[owner.ID]++
	}
	target := ""
	for _, voter := range core.Voters {
		standing, since := c.members.Standing(voter.ID)
		if standing != wire.StandingWell || (voter.ID != c.boot.ID && now-since < 2*c.boot.LeaseMs) {
			return
		}
		if target == "" || load[voter.ID] < load[target] {
			target = voter.ID
		}
	}
	if target == "" {
		return
	}
	if number, ok := c.lightest(now, load[c.boot.ID]-load[target], len(core.Voters)); ok {
		c.startMove(now, out, number, target)
	}
}

// lightest is the partition to move to a node that owns so many fewer. One that
// orders no workers may always go. With the others, workers get no orders for a
// lease, so those go only to a node that lacks a whole share.
func (c *Controller) lightest(now int64, fewer, voters int) (int64, bool) {
	best, least := int64(0), -1
	for number := range c.boot.Partitions {
		owned := c.mine(now, number)
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
	share := int(c.boot.Partitions) / max(voters, 1)
	return best, fewer >= 2 && (least == 0 || (least > 0 && fewer >= share))
}

// handedOver takes a sealed state and says so once it lasts.
func (c *Controller) handedOver(from string, told *wire.Handover) wire.Outputs {
	var out wire.Outputs
	if !c.admitted() || c.leaving || c.stalled || told.Fence < c.view.Owners[told.Partition].Fence {
		return out
	}
	if kept := c.handed[told.Partition]; kept == nil || kept.Fence != told.Fence {
		state := &wire.PartitionState{}
		if state.Unmarshal(told.State) != nil {
			return out
		}
		c.handed[told.Partition] = state
		out.Write(wire.KindHandover, told)
	}
	out.After(from, wire.KindHandoverTaken, &wire.HandoverTaken{Partition: told.Partition, Fence: told.Fence})
	return out
}

func (c *Controller) handoverTaken(now int64, from string, told *wire.HandoverTaken) wire.Outputs {
	var out wire.Outputs
	handed := c.moving[told.Partition]
	if handed == nil || handed.to != from || handed.fence != told.Fence {
		return out
	}
	delete(c.moving, told.Partition)
	c.promised[told.Partition] = promise{to: from, until: now + 2*c.boot.LeaseMs}
	c.giveBack(&out, told.Partition)
	return out
}

// wishMoved says who should own a partition by a move; false if by none.
func (c *Controller) wishMoved(now, number int64) (string, bool) {
	if given, ok := c.promised[number]; ok && now < given.until && c.view.Owners[number].ID == c.boot.ID {
		return given.to, true
	}
	if kept := c.handed[number]; kept != nil && kept.Fence == c.view.Owners[number].Fence && kept.Owner == c.view.Owners[number].ID {
		return c.boot.ID, true
	}
	return "", false
}

// source is the sealed state that may go on under the next fence, if the
// register still names its owner and fence.
func (c *Controller) source(number int64, owner wire.Owner) *wire.PartitionState {
	for _, state := range []*wire.PartitionState{c.kept[number], c.handed[number]} {
		if state != nil && state.Sealed && state.Owner == owner.ID && state.Fence == owner.Fence {
			return state
		}
	}
	return nil
}

// adoptState begins a partition under a new fence, from a sealed state or empty.
func (c *Controller) adoptState(number, fence int64, owner string, from *wire.PartitionState) {
	if from == nil {
		c.kept[number] = partition.NewState(number, owner, fence)
	} else {
		c.kept[number] = partition.Inherit(from, owner, fence)
	}
	delete(c.handed, number)
	c.took[number] = true
}

// Leave begins to hand over all partitions, so that the next owners go on where
// this one stops. Moving tells how many are still on their way.
//
//	out := core.Leave(now)
func (c *Controller) Leave(now int64) wire.Outputs {
	var out wire.Outputs
	c.leaving = true
	c.members.Leave()
	var others []string
	for _, voter := range c.proposer.Core().Voters {
		if standing, _ := c.members.Standing(voter.ID); voter.ID != c.boot.ID && standing == wire.StandingWell {
			others = append(others, voter.ID)
		}
	}
	slices.Sort(others)
	turn := 0
	for number := range c.boot.Partitions {
		if len(others) > 0 && c.mine(now, number) != nil {
			c.startMove(now, &out, number, others[turn%len(others)])
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
func (c *Controller) Needed() bool {
	core := c.proposer.Core()
	switch {
	case len(c.moving) > 0:
		return true
	case !c.founded():
		return false
	case voterOf(core.Voters, c.boot.ID):
		return len(core.Voters) > leastVoters || len(core.Joining) > 0 || len(c.newcomers(core)) > 0
	}
	return core.Epoch == c.outSince && !core.Rereplicated
}

// Gone stops all turns that are left and gives their grants back.
//
//	out := core.Gone(now)
func (c *Controller) Gone(now int64) wire.Outputs {
	var out wire.Outputs
	c.leaving = true
	c.moving = map[int64]*handing{}
	c.release(&out)
	out.Add(c.members.Tick(now))
	return out
}
