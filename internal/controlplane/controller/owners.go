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
func (f *Controller) wish(now int64) map[int64]string {
	alive := []string{}
	for _, voter := range f.proposer.Core().Voters {
		if standing, _ := f.members.Standing(voter.ID); standing == wire.StandingWell {
			alive = append(alive, voter.ID)
		}
	}
	out, load := map[int64]string{}, map[string]int64{}
	limit := (f.boot.Partitions + int64(len(alive)) - 1) / int64(max(len(alive), 1))
	var rest []int64
	for number := range f.boot.Partitions {
		if id, moved := f.wishMoved(now, number); moved {
			out[number] = id
			load[id]++
			continue
		}
		owner, known := f.ownerOf(number)
		stuck := f.unheld[number] > 0 && now-f.unheld[number] > 2*f.boot.LeaseMs
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

func (f *Controller) ownersTick(now int64, out *wire.Outputs) {
	if f.founded() && f.admitted() && !f.leaving && !f.stalled {
		wishes := f.wish(now)
		for number := range f.boot.Partitions {
			_, held := f.holder.Mine(now, number)
			if id, _ := f.grantor.Holder(now, number); id != "" || held {
				f.unheld[number] = 0
			} else if f.unheld[number] == 0 {
				f.unheld[number] = now
			}
			switch mine := wishes[number] == f.boot.ID; {
			case mine:
				f.holder.Claim(now, number)
			case !held && f.holder.Claims(number) && f.owned[number] == nil:
				f.holder.Drop(number)
			}
		}
	}
	f.view.Demands.Sum(now, f.view.Policy)
	moves, more := f.holder.Tick(now, f.proposer.Core().Voters, f.boot.Addr)
	for i := range more.Sends {
		if asked, is := more.Sends[i].Body.(*wire.GrantAsk); is {
			asked.Epoch = f.proposer.Core().Epoch
		}
	}
	out.Add(more)
	f.moves(now, out, moves)
	for number := range f.boot.Partitions {
		if owned := f.mine(now, number); owned != nil {
			out.Add(owned.Tick(now))
		}
	}
}

// regained is how many changes of the set it takes to lose a vote and get one again.
const regained = 3

// leaseRequested votes on grants. Who goes by a set older than this node knows may
// count others than those who count now, and gets none. Nor does anybody from a
// node that may have got its vote since: it must keep quiet first.
func (f *Controller) leaseRequested(now int64, from string, asked *wire.GrantAsk) wire.Outputs {
	var out wire.Outputs
	core := f.proposer.Core()
	switch {
	case asked.Epoch < core.Epoch:
		out.Send(from, wire.KindNews, &wire.News{Topics: []wire.Topic{register.CoreTopic(core)}})
	case voterOf(core.Voters, f.boot.ID) && asked.Epoch < core.Epoch+regained:
		out.Send(from, wire.KindGrantTold, f.grantor.Ask(now, from, asked))
	case asked.Epoch > core.Epoch:
		f.askSet(&out, from)
	}
	return out
}

func (f *Controller) moves(now int64, out *wire.Outputs, moves []lease.Move) {
	for _, move := range moves {
		switch move.Change {
		case lease.Reserved:
			f.settleFence(now, out, move.Partition)
		case lease.Held:
			f.take(now, move)
		case lease.Lost:
			f.letGo(move.Partition)
		}
	}
}

func (f *Controller) letGo(number int64) {
	if owned := f.owned[number]; owned != nil {
		f.kept[number] = owned.State()
		f.events += owned.Steps
		delete(f.owned, number)
	}
}

// settleFence reads the ownership register: where it still names this node and
// the fence of the state kept here, that state goes on; else the fence rises
// and the state starts empty.
func (f *Controller) settleFence(now int64, out *wire.Outputs, number int64) {
	key := ownerPrefix + strconv.FormatInt(number, 10)
	call := f.then(func(now int64, read register.Outcome) wire.Outputs {
		var out wire.Outputs
		var owner wire.Owner
		if read.Fate != register.FateDone || (read.Has && owner.Unmarshal(read.Value.Body) != nil) {
			f.holder.Drop(number)
			return out
		}
		f.letGo(number)
		kept := f.kept[number]
		if kept != nil && owner.ID == f.boot.ID && kept.Owner == f.boot.ID && owner.Fence == kept.Fence && !kept.Sealed {
			f.learn(now, &out, key, read.Value)
			// It is asked for at once by those who started with this node.
			topic := wire.Topic{Name: key, Term: owner.Fence, Body: read.Value.Body}
			f.tellVoters(&out, topic)
			f.push(&out, topic, true)
			f.holder.Settled(number, owner.Fence)
			return out
		}
		next, from := wire.Owner{Partition: number, ID: f.boot.ID, Addr: f.boot.Addr, Fence: owner.Fence + 1}, f.source(number, owner)
		write := f.then(func(now int64, wrote register.Outcome) wire.Outputs {
			var done wire.Outputs
			if wrote.Fate != register.FateDone {
				f.holder.Drop(number)
				return done
			}
			f.learn(now, &done, key, wrote.Value)
			record := &wire.AdoptRecord{Partition: number, Owner: f.boot.ID, Fence: next.Fence}
			if from != nil {
				record.From = from.Fence
			}
			f.adoptState(number, next.Fence, f.boot.ID, from)
			done.Write(wire.KindAdoptRecord, record)
			f.holder.Settled(number, next.Fence)
			return done
		})
		out.Add(f.proposer.Change(now, write, key, read.Value.Version, 0, wire.Encode(&next), fmt.Sprintf("%s#%d.%x", f.boot.ID, next.Fence, f.random.Int63())))
		return out
	})
	out.Add(f.proposer.Read(now, call, key, wire.Ballot{}, nil))
}

// take starts the turns on a partition.
func (f *Controller) take(now int64, move lease.Move) {
	state := f.kept[move.Partition]
	if state == nil || state.Fence != move.Fence {
		f.holder.Drop(move.Partition)
		return
	}
	// Only under a fence that this node had before it started did nobody give
	// turns since it started.
	quiet := f.StartedMs
	if f.took[move.Partition] {
		quiet = now
	}
	f.took[move.Partition] = true
	f.owned[move.Partition] = partition.New(now, state, f.view, partition.LimitsFor(f.boot.LeaseMs, f.boot.PollMs), f.boot.ID, quiet)
}

// May tells whether an order may still leave, and until when: grants can run
// out while the journal syncs.
//
//	if until, ok := core.May(now, order); ok { ... }
func (f *Controller) May(now int64, order *wire.Order) (int64, bool) {
	fence, ok := f.holder.Mine(now, order.Partition)
	if owned := f.owned[order.Partition]; ok && owned != nil {
		ok = owned.Leaves(now, order)
	}
	return f.holder.Until(order.Partition), ok && fence == order.Fence
}

// Leaves tells whether a message may still leave: what a partition says to
// another is for the time of its owner's lease, which can run out while the
// journal syncs or the process is frozen.
//
//	if core.Leaves(now, send) { ... }
func (f *Controller) Leaves(now int64, send wire.Send) bool {
	post, is := send.Body.(*wire.Post)
	if !is {
		return true
	}
	number, of := partition.Sender(post.Sender)
	if !of {
		return true
	}
	fence, held := f.holder.Mine(now, number)
	return held && fence == post.SenderFence
}
