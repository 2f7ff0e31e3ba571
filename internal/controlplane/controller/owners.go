package controller

import (
	"fmt"
	"hash/fnv"
	"slices"
	"strconv"

	"applequay/internal/controlplane/lease"
	"applequay/internal/controlplane/partition"
	"applequay/internal/controlplane/register"
	"applequay/internal/transport/wire"
)

// numbers is from how many the first number of a life's lease rounds is drawn.
const numbers = 1 << 31

// wish says who should own a partition: its owner while that stands well, else
// the least laden of the others by rendezvous hash. A suspect one that lives on
// renews its grants, and whoever claims meanwhile is refused.
func (c *Controller) wish(now int64) map[int64]string {
	alive := []string{}
	for _, voter := range c.proposer.Core().Voters {
		if standing, _ := c.members.Standing(voter.ID); standing == wire.StandingWell {
			alive = append(alive, voter.ID)
		}
	}
	out, load := map[int64]string{}, map[string]int64{}
	limit := (c.boot.Partitions + int64(len(alive)) - 1) / int64(max(len(alive), 1))
	var rest []int64
	for number := range c.boot.Partitions {
		if id, moved := c.wishMoved(now, number); moved {
			out[number] = id
			load[id]++
			continue
		}
		owner, known := c.ownerOf(number)
		stuck := c.unheld[number] > 0 && now-c.unheld[number] > 2*c.boot.LeaseMs
		if known && slices.Contains(alive, owner.ID) && !stuck {
			out[number] = owner.ID
			load[owner.ID]++
			continue
		}
		rest = append(rest, number)
	}
	for _, number := range rest {
		best, bestScore := "", uint64(0)
		for _, id := range alive {
			sum := fnv.New64a()
			_, _ = fmt.Fprintf(sum, "%s|%d", id, number)
			score := sum.Sum64() * 0x9e3779b97f4a7c15 >> 1
			if load[id] < limit && (best == "" || score > bestScore) {
				best, bestScore = id, score
			}
		}
		out[number] = best
		load[best]++
	}
	return out
}

func (c *Controller) ownersTick(now int64, out *wire.Outputs) {
	if c.founded() && c.admitted() && !c.leaving && !c.stalled {
		wishes := c.wish(now)
		for number := range c.boot.Partitions {
			_, held := c.holder.Mine(now, number)
			if id, _ := c.grantor.Holder(now, number); id != "" || held {
				c.unheld[number] = 0
			} else if c.unheld[number] == 0 {
				c.unheld[number] = now
			}
			switch mine := wishes[number] == c.boot.ID; {
			case mine:
				c.holder.Claim(now, number)
			case !held && c.holder.Claims(number) && c.owned[number] == nil:
				c.holder.Drop(number)
			}
		}
	}
	c.view.Demands.Sum(now, c.view.Policy)
	moves, more := c.holder.Tick(now, c.proposer.Core().Voters, c.boot.Addr)
	for i := range more.Sends {
		if asked, is := more.Sends[i].Body.(*wire.GrantAsk); is {
			asked.Epoch = c.proposer.Core().Epoch
		}
	}
	out.Add(more)
	c.moves(now, out, moves)
	for number := range c.boot.Partitions {
		if owned := c.mine(now, number); owned != nil {
			out.Add(owned.Tick(now))
		}
	}
}

// regained is how many changes of the set it takes to lose a vote and get one again.
const regained = 3

// leaseRequested votes on grants. Who goes by a set older than this node knows may
// count others than those who count now, and gets none. Nor does anybody from a
// node that may have got its vote since: it must keep quiet first.
func (c *Controller) leaseRequested(now int64, from string, asked *wire.GrantAsk) wire.Outputs {
	var out wire.Outputs
	core := c.proposer.Core()
	switch {
	case asked.Epoch < core.Epoch:
		out.Send(from, wire.KindNews, &wire.News{Topics: []wire.Topic{register.CoreTopic(core)}})
	case voterOf(core.Voters, c.boot.ID) && asked.Epoch < core.Epoch+regained:
		out.Send(from, wire.KindGrantTold, c.grantor.Ask(now, from, asked))
	case asked.Epoch > core.Epoch:
		c.askSet(&out, from)
	}
	return out
}

func (c *Controller) moves(now int64, out *wire.Outputs, moves []lease.Move) {
	for _, move := range moves {
		switch move.Change {
		case lease.Reserved:
			c.settleFence(now, out, move.Partition)
		case lease.Held:
			c.take(now, move)
		case lease.Lost:
			c.letGo(move.Partition)
		}
	}
}

func (c *Controller) letGo(number int64) {
	if owned := c.owned[number]; owned != nil {
		c.kept[number] = owned.State()
		c.events += owned.Steps
		delete(c.owned, number)
	}
}

// settleFence reads the ownership register: where it still names this node and
// the fence of the state kept here, that state goes on; else the fence rises
// and the state starts empty.
func (c *Controller) settleFence(now int64, out *wire.Outputs, number int64) {
	key := ownerPrefix + strconv.FormatInt(number, 10)
	call := c.then(func(now int64, read register.Outcome) wire.Outputs {
		var out wire.Outputs
		var owner wire.Owner
		if read.Fate != register.FateDone || (read.Has && owner.Unmarshal(read.Value.Body) != nil) {
			c.holder.Drop(number)
			return out
		}
		c.letGo(number)
		kept := c.kept[number]
		if kept != nil && owner.ID == c.boot.ID && kept.Owner == c.boot.ID && owner.Fence == kept.Fence && !kept.Sealed {
			c.learn(now, &out, key, read.Value)
			// It is asked for at once by those who started with this node.
			topic := wire.Topic{Name: key, Term: owner.Fence, Body: read.Value.Body}
			c.tellVoters(&out, topic)
			c.push(&out, topic, true)
			c.holder.Settled(number, owner.Fence)
			return out
		}
		next, from := wire.Owner{Partition: number, ID: c.boot.ID, Addr: c.boot.Addr, Fence: owner.Fence + 1}, c.source(number, owner)
		write := c.then(func(now int64, wrote register.Outcome) wire.Outputs {
			var done wire.Outputs
			if wrote.Fate != register.FateDone {
				c.holder.Drop(number)
				return done
			}
			c.learn(now, &done, key, wrote.Value)
			record := &wire.AdoptRecord{Partition: number, Owner: c.boot.ID, Fence: next.Fence}
			if from != nil {
				record.From = from.Fence
			}
			c.adoptState(number, next.Fence, c.boot.ID, from)
			done.Write(wire.KindAdoptRecord, record)
			c.holder.Settled(number, next.Fence)
			return done
		})
		out.Add(c.proposer.Change(now, write, key, read.Value.Version, 0, wire.Encode(&next), fmt.Sprintf("%s#%d.%x", c.boot.ID, next.Fence, c.random.Int63())))
		return out
	})
	out.Add(c.proposer.Read(now, call, key, wire.Ballot{}, nil))
}

// take starts the turns on a partition.
func (c *Controller) take(now int64, move lease.Move) {
	state := c.kept[move.Partition]
	if state == nil || state.Fence != move.Fence {
		c.holder.Drop(move.Partition)
		return
	}
	// Only under a fence that this node had before it started did nobody give
	// turns since it started.
	quiet := c.StartedMs
	if c.took[move.Partition] {
		quiet = now
	}
	c.took[move.Partition] = true
	c.owned[move.Partition] = partition.New(now, state, c.view, partition.LimitsFor(c.boot.LeaseMs, c.boot.PollMs), c.boot.ID, quiet)
}

// May tells whether an order may still leave, and until when: grants can run
// out while the journal syncs.
//
//	if until, ok := core.May(now, order); ok { ... }
func (c *Controller) May(now int64, order *wire.Order) (int64, bool) {
	fence, ok := c.holder.Mine(now, order.Partition)
	if owned := c.owned[order.Partition]; ok && owned != nil {
		ok = owned.Leaves(now, order)
	}
	return c.holder.Until(order.Partition), ok && fence == order.Fence
}

// Leaves tells whether a message may still leave: what a partition says to
// another is for the time of its owner's lease, which can run out while the
// journal syncs or the process is frozen.
//
//	if core.Leaves(now, send) { ... }
func (c *Controller) Leaves(now int64, send wire.Send) bool {
	post, is := send.Body.(*wire.Post)
	if !is {
		return true
	}
	number, of := partition.Sender(post.Sender)
	if !of {
		return true
	}
	fence, held := c.holder.Mine(now, number)
	return held && fence == post.SenderFence
}
