// Package controller is a controller's control state in one pure machine: registers,
// grants, the partitions it owns, members and news.
package controller

import (
	"fmt"
	"math/rand"

	"applequay/internal/configuration"
	"applequay/internal/controlplane/distribution"
	"applequay/internal/controlplane/lease"
	"applequay/internal/controlplane/membership"
	"applequay/internal/controlplane/partition"
	"applequay/internal/controlplane/register"
	"applequay/internal/transport/wire"
)

// Keys of the registers, beside register.CoreKey.
const (
	PolicyKey    = "policy"
	DirectoryKey = "directory"
	ownerPrefix  = "owner/"
)

// LineageLen is how many writes a register remembers by name.
const LineageLen = 256

// Boot is what a controller is told at its start.
type Boot struct {
	ID, Name, Addr, Zone, Outward    string
	Born                             int64
	Core                             []string
	Seeds                            []string
	Partitions                       int64
	LeaseMs, PollMs, ProbeMs, CallMs int64
	// ListPerS bounds the calls a second to the worker list, of all nodes; 0: no bound.
	ListPerS int64
	// CatchUpMs is how long after its start a core machine must take part.
	CatchUpMs int64
	// Bootstrap says that the whole system starts for the very first time. The
	// seeds, who are named by the addresses at which other processes reach them,
	// then found the first core set, where Core names none.
	Bootstrap bool
	// Form is how operators write policies; the product's own where none is named.
	Form configuration.Form
}

// Controller is the control state of one controller.
type Controller struct {
	boot     Boot
	random   *rand.Rand
	acceptor *register.Acceptor
	proposer *register.Proposer
	// core is the newest core set that this machine took up.
	core         wire.CoreSet
	grantor      *lease.Grantor
	holder       *lease.Holder
	members      *membership.Members
	board        *distribution.Board
	view         *partition.View
	kept         map[int64]*wire.PartitionState
	owned        map[int64]*partition.Partition
	versions     map[string]int64
	tallies      map[string]wire.Tally // that fronts told, for the other controllers
	calls        map[int64]func(now int64, outcome register.Outcome) wire.Outputs
	nextCall     int64
	founding     founding
	coordinator  coordinator
	confirming   confirming
	timers       map[string]int64
	unheld       map[int64]int64
	took         map[int64]bool
	handed       map[int64]*wire.PartitionState
	moving       map[int64]*handing
	promised     map[int64]promise
	recalled     recalled
	Moves        int64
	listed       wire.WorkerList
	listCalls    int64 // calls of the last whole read of the worker list
	unbelieved   string
	rolling      *rolling
	leavers      map[string]bool
	leaving      bool
	outSince     int64 // the first set in which this node has no vote any more
	stalled      bool
	events       int64
	StartedMs    int64
	coreVersion  int64
	rereplicated int
	peers        peers
	Recoveries   int64
}

// New makes the control state from what the journal held.
//
//	core := controller.New(now, boot, random, snapshot, writes)
func New(now int64, boot Boot, random *rand.Rand, snapshot *wire.Snapshot, writes []wire.Write) *Controller {
	// Turns of two owners are a lease apart by what partitions wait; the grants
	// themselves may be shorter, so that a dead owner's end soon.
	leaseLimits := lease.LimitsFor(boot.LeaseMs / 2)
	leaseLimits.RenewMs = boot.LeaseMs / 8
	if boot.Form == nil {
		boot.Form = configuration.Native
	}
	if boot.CatchUpMs == 0 {
		boot.CatchUpMs = 4000
	}
	self := wire.Member{ID: boot.ID, Name: boot.Name, Role: "controller", Zone: boot.Zone, Addr: boot.Addr, Born: boot.Born, Outward: boot.Outward, Fact: map[string]string{"settings": SettingsFact(boot.Partitions, boot.LeaseMs, boot.ProbeMs)}}
	f := &Controller{
		boot: boot, random: random, StartedMs: now,
		acceptor: register.NewAcceptor(),
		proposer: register.NewProposer(fmt.Sprintf("%s/%x", boot.ID, random.Int63()), random, register.Limits{CallMs: boot.CallMs, RepairMs: boot.CatchUpMs, PhaseMs: boot.CallMs / 4, LineageLen: LineageLen}),
		grantor:  lease.NewGrantor(leaseLimits, now),
		holder:   lease.NewHolder(leaseLimits),
		members:  membership.New(self, membership.LimitsFor(boot.ProbeMs).Meeting("agent"), random, boot.Seeds),
		board:    distribution.NewBoard(),
		view:     &partition.View{Policy: configuration.Empty(), Workers: map[string]wire.Worker{}, Rooms: map[string]wire.WorkerNews{}, Owners: map[int64]wire.Owner{}, Count: boot.Partitions},
		kept:     map[int64]*wire.PartitionState{}, owned: map[int64]*partition.Partition{}, versions: map[string]int64{},
		calls: map[int64]func(int64, register.Outcome) wire.Outputs{}, timers: map[string]int64{}, unheld: map[int64]int64{}, took: map[int64]bool{},
		tallies: map[string]wire.Tally{}, handed: map[int64]*wire.PartitionState{}, moving: map[int64]*handing{}, promised: map[int64]promise{},
		founding: newFounding(boot.Seeds), coordinator: coordinator{failed: map[string]int64{}, heard: map[string]int64{}},
	}
	f.holder.NumberFrom(random.Int63n(numbers))
	f.replay(snapshot, writes)
	f.recallOwners()
	f.recallPeers()
	if core, ok := f.acceptor.Core(); ok {
		f.core = core
		f.proposer.Learn(core)
		f.SetSeeds(boot.Seeds)
	}
	return f
}

func (c *Controller) accepted(key string) []byte {
	_, value := c.acceptor.Accepted(key)
	return value
}

// Hear takes a message from another process, or what a worker showed.
//
//	out := core.Hear(now, "c2~51", body)
func (c *Controller) Hear(now int64, from string, body wire.Record) wire.Outputs {
	var out wire.Outputs
	if voterOf(c.proposer.Core().Voters, from) {
		c.coordinator.heard[from] = now
	}
	switch told := body.(type) {
	case *wire.Prepare, *wire.Accept, *wire.Query, *wire.KeysAsk:
		switch {
		case epochOf(body) > c.proposer.Core().Epoch:
			c.askSet(&out, from)
		case c.admitted():
			out = c.acceptor.Hear(from, body)
		}
		// A round that is turned away, perhaps of one who hears nobody, holds nobody up.
		if asked, is := body.(*wire.Prepare); is && from != c.boot.ID && c.acceptor.Promised(asked.Key) == asked.Ballot {
			out.Add(c.proposer.Sense(now, from, asked))
		}
	case *wire.Promise, *wire.Accepted, *wire.KeysTold:
		out = c.proposer.Hear(now, from, body)
		c.noticeCore(now, &out)
	case *wire.WriteAsk:
		if c.admitted() && !c.proposer.Knows(told.Key, told.Name) {
			asked := c.then(func(int64, register.Outcome) wire.Outputs { return wire.Outputs{} })
			out = c.proposer.Change(now, asked, told.Key, told.Expected, told.Next, told.Body, told.Name)
		}
	case *wire.Chosen:
		c.chosen(now, &out, told)
	case *wire.FoundAsk, *wire.FoundTold, *wire.Found:
		out = c.foundHeard(now, from, body)
	case *wire.Probe, *wire.ProbeAck, *wire.ProbeVia:
		c.members.Tell(c.sums())
		out = c.members.Hear(now, from, body)
	case *wire.GrantAsk:
		out = c.leaseRequested(now, from, told)
	case *wire.GrantTold:
		c.moves(now, &out, c.holder.Told(now, from, told, c.proposer.Core().Voters))
	case *wire.GrantBack:
		c.grantor.Back(now, from, told)
	case *wire.Post:
		if owned := c.mine(now, told.Partition); owned != nil {
			out = owned.Post(now, from, told)
		}
	case *wire.PostAck:
		out = c.acked(now, told)
	case *wire.Handover:
		out = c.handedOver(from, told)
	case *wire.HandoverTaken:
		out = c.handoverTaken(now, from, told)
	case *wire.Tally, *wire.Tallies:
		c.tallied(now, body)
	case *wire.Subscribe:
		c.tellSubscriber(&out, from, told)
	case *wire.News:
		c.heardNews(now, &out, from, told)
	case *wire.Seen:
		if owned := c.mine(now, told.Partition); owned != nil {
			out = owned.Seen(now, told)
		}
	}
	return c.settle(now, out)
}

// settle runs the continuations of calls that this machine made to itself.
func (c *Controller) settle(now int64, out wire.Outputs) wire.Outputs {
	for again := true; again; {
		again = false
		rest := out.Answers[:0:0]
		pending := out.Answers
		out.Answers = nil
		for _, answer := range pending {
			next, ok := c.calls[answer.Call]
			if !ok {
				rest = append(rest, answer)
				continue
			}
			delete(c.calls, answer.Call)
			out.Add(next(now, answer.Body.(register.Outcome)))
			again = true
		}
		out.Answers = append(rest, out.Answers...)
	}
	return out
}

// then notes what to do with a call's outcome; such calls have negative numbers.
func (c *Controller) then(next func(now int64, outcome register.Outcome) wire.Outputs) int64 {
	c.nextCall--
	c.calls[c.nextCall] = next
	return c.nextCall
}

func (c *Controller) acked(now int64, ack *wire.PostAck) wire.Outputs {
	var out wire.Outputs
	if number, is := partition.Sender(ack.Sender); is {
		if owned := c.mine(now, number); owned != nil {
			out = owned.Acked(now, ack)
		}
	}
	return out
}

// mine returns a partition if a turn may be taken on it now.
func (c *Controller) mine(now, number int64) *partition.Partition {
	if _, ok := c.holder.Mine(now, number); !ok {
		return nil
	}
	return c.owned[number]
}
