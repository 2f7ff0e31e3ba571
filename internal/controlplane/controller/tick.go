package controller

import (
	"fmt"

	"applequay/internal/controlplane/register"
	"applequay/internal/transport/wire"
)

// Tick does all that time brings. WallMs is the clock on the wall, used only
// for the moments of openings.
//
//	out := core.Tick(now, time.Now().UnixMilli())
func (c *Controller) Tick(now, wallMs int64) wire.Outputs {
	var out wire.Outputs
	c.members.Clock(now, wallMs)
	c.view.WallMs = c.members.Wall(now)
	c.foundTick(now, &out)
	c.members.Tell(c.sums())
	out.Add(c.members.Tick(now))
	c.peersTick(now, &out)
	out.Add(c.proposer.Tick(now))
	c.readRepairTick(now, &out)
	c.coordinatorTick(now, &out)
	c.ownersTick(now, &out)
	c.movesTick(now, &out)
	c.newsTick(now, &out)
	c.talliesTick(now, &out)
	c.confirmTick(now, &out)
	c.recallTick(now, &out)
	c.platformTick(now, &out)
	c.rolloutTick(now, &out)
	if c.due(now, "owned", c.boot.ProbeMs) {
		c.members.Set("owned", c.ownedFact(now))
	}
	return c.settle(now, out)
}

// due tells whether a timer has run out, and starts it anew.
func (c *Controller) due(now int64, name string, everyMs int64) bool {
	if last, ok := c.timers[name]; ok && now-last < everyMs {
		return false
	}
	c.timers[name] = now
	return true
}

// newsTick fetches from another controller what this one missed.
func (c *Controller) newsTick(now int64, out *wire.Outputs) {
	voters := c.proposer.Core().Voters
	if len(voters) < 2 || !c.due(now, "news", c.often(now, c.boot.LeaseMs/4)) {
		return
	}
	if voter := voters[c.random.Intn(len(voters))]; voter.ID != c.boot.ID {
		out.Send(voter.ID, wire.KindSubscribe, c.board.Asks(""))
	}
}

// Platform takes the platform's worker list, read when the list kept had the
// version given; a change since then makes the write stale.
//
//	out := core.Platform(now, 4, list)
func (c *Controller) Platform(now, version int64, list *wire.WorkerList) wire.Outputs {
	var out wire.Outputs
	if !c.believed(list) {
		return out
	}
	c.heed(list)
	if version != c.versions[DirectoryKey] || sameWorkers(list, &c.listed) {
		return out
	}
	withRosters(list, &c.listed, version, c.members.Wall(now))
	body := wire.Encode(list)
	call := c.then(func(now int64, outcome register.Outcome) wire.Outputs {
		var done wire.Outputs
		if outcome.Has {
			c.learn(now, &done, DirectoryKey, outcome.Value)
		}
		return done
	})
	out.Add(c.proposer.Change(now, call, DirectoryKey, version, 0, body, c.writeName()))
	return c.settle(now, out)
}

// heed stops orders to workers that are leaving as soon as this node reads so;
// it does not wait for the register, which slow disks may hold up, and a list
// that was read before and written later does not undo it.
func (c *Controller) heed(list *wire.WorkerList) {
	c.leavers = map[string]bool{}
	for _, worker := range list.Workers {
		c.leavers[worker.Name] = worker.Leaving
	}
	c.viewWorkers()
}

// viewWorkers shows the partitions the list kept in the register, and what was
// read since of workers that leave.
func (c *Controller) viewWorkers() {
	next := map[string]wire.Worker{}
	for _, worker := range c.listed.Workers {
		worker.Leaving = worker.Leaving || c.leavers[worker.Name]
		next[worker.Name] = worker
	}
	c.view.Workers = next
}

func (c *Controller) writeName() string { return fmt.Sprintf("%s#%x", c.boot.ID, c.random.Int63()) }

// Change runs an operator's compare-and-set; the outcome answers the call.
//
//	out := core.Change(now, call, register.Write{Key: controller.PolicyKey, Expected: 7, Body: body})
func (c *Controller) Change(now, call int64, asked register.Write) wire.Outputs {
	if !c.members.Majority(c.proposer.Core().Voters) {
		return register.Hopeless(call, asked.Key)
	}
	if asked.Name == "" {
		asked.Name = c.writeName()
	}
	return c.settle(now, c.proposer.Write(now, call, asked))
}

// Read runs a read at a majority; the outcome answers the call.
//
//	out := core.Read(now, call, controller.PolicyKey)
func (c *Controller) Read(now, call int64, key string) wire.Outputs {
	if !c.members.Majority(c.proposer.Core().Voters) {
		return register.Hopeless(call, key)
	}
	ballot, held := c.acceptor.Accepted(key)
	return c.settle(now, c.proposer.Read(now, call, key, ballot, held))
}

// Learnt tells this machine what an operator's call found, at once.
//
//	out := core.Learnt(now, controller.PolicyKey, value)
func (c *Controller) Learnt(now int64, key string, value wire.Value) wire.Outputs {
	var out wire.Outputs
	c.learn(now, &out, key, value)
	return out
}

// StallMs is how long a batch may take to become durable before this node lets
// its grants go.
//
//	if now-began > core.StallMs() { ... }
func (c *Controller) StallMs() int64 { return c.boot.LeaseMs / 2 }

// Stall lets all grants go while the journal is stalled.
//
//	out := core.Stall(now, true)
func (c *Controller) Stall(_ int64, stalled bool) wire.Outputs {
	var out wire.Outputs
	c.stalled = stalled
	if stalled {
		c.release(&out)
	}
	return out
}

func (c *Controller) release(out *wire.Outputs) {
	var numbers []int64
	for number := range c.boot.Partitions {
		if c.holder.Claims(number) {
			numbers = append(numbers, number)
		}
		c.letGo(number)
	}
	c.giveBack(out, numbers...)
}
