package controller

import (
	"fmt"
	"slices"

	"applequay/internal/controlplane/register"
	"applequay/internal/transport/wire"
)

// coordinator changes the core set, one member at a time. Any admitted controller may
// do it; the lowest one that stands does, and the others in turn where nothing
// comes of it. The register settles races.
type coordinator struct {
	busy         bool
	turn         int64 // tells the work under way from what was given up
	since        int64 // since when the set needs a change and got none
	epoch        int64
	rereplicated bool
	// tries is how many attempts for this epoch came to nothing: each makes the
	// next deputies wait longer, so that one attempt ends before another turns it away.
	tries int
	// gaveUp is the epoch whose newcomer was given up, failed is when a newcomer
	// could not be given its copies.
	gaveUp int64
	failed map[string]int64
	// aloneAt is when this node last saw no majority of the set stand.
	aloneAt int64
	// heard is when this node itself last heard from each voter.
	heard map[string]int64
	// admitted is when voters were seen to come into the set.
	admitted map[string]int64
	// sizes are how many voters there were lately.
	sizes []sized
}

func (c *Controller) coordinatorTick(now int64, out *wire.Outputs) {
	core := c.proposer.Core()
	if !c.founded() || c.leaving || !voterOf(core.Voters, c.boot.ID) || !c.due(now, "coordinator", c.boot.ProbeMs/4) {
		return
	}
	s := &c.coordinator
	if !c.members.Majority(core.Voters) {
		s.aloneAt = now
	}
	// What was asked for now might pass at the heal, by what this node thought of
	// the others while it was cut off from them; it first hears how they stand.
	if s.aloneAt > 0 && now-s.aloneAt < c.heardMs() {
		return
	}
	next, change := c.nextCore(now, core)
	if core.Epoch != s.epoch || core.Rereplicated != s.rereplicated || (!change && core.Rereplicated) {
		// What was under way for the set before is of no use.
		s.busy = s.busy && core.Epoch == s.epoch
		s.epoch, s.rereplicated, s.since, s.tries = core.Epoch, core.Rereplicated, now, 0
	}
	rank := int64(0)
	for _, voter := range core.Voters {
		if standing, _ := c.members.Standing(voter.ID); standing == wire.StandingWell && voter.ID < c.boot.ID {
			rank++
		}
	}
	switch {
	case now-s.since < rank*c.deputyMs()<<s.tries:
	case change && (!s.busy || (len(core.Joining) > 0 && s.gaveUp != core.Epoch)):
		if len(core.Joining) > 0 {
			s.gaveUp = core.Epoch
		}
		c.changeCore(now, out, next)
	case !s.busy && !core.Rereplicated:
		c.rereplicate(now, out, core)
	}
}

func (c *Controller) changeCore(now int64, out *wire.Outputs, next wire.CoreSet) {
	turn, before := c.begin(), c.proposer.Core()
	call := c.then(func(now int64, outcome register.Outcome) wire.Outputs {
		var out wire.Outputs
		if c.end(turn) && outcome.Fate == register.FateUnknown {
			c.triedInVain(now)
		}
		if outcome.Has {
			c.learn(now, &out, register.CoreKey, outcome.Value)
			c.tellSet(&out, before)
			delete(c.timers, "coordinator")
		}
		return out
	})
	name := fmt.Sprintf("%s#%d.%x", c.boot.ID, next.Epoch, c.random.Int63())
	out.Add(c.proposer.Change(now, call, register.CoreKey, c.coreVersion, 0, wire.Encode(&next), name))
}

// begin starts a piece of work on the set; one that was under way is given up.
func (c *Controller) begin() int64 {
	c.coordinator.turn++
	c.coordinator.busy = true
	return c.coordinator.turn
}

func (c *Controller) end(turn int64) bool {
	if turn != c.coordinator.turn {
		return false
	}
	c.coordinator.busy = false
	return true
}

// mostDoublings bounds how often the time that deputies wait is doubled.
const mostDoublings = 4

// triedInVain notes an attempt of which nobody knows what became: where all disks
// are slow, two coordinators would else turn each other away without end.
func (c *Controller) triedInVain(now int64) {
	c.coordinator.since = now
	c.coordinator.tries = min(c.coordinator.tries+1, mostDoublings)
}

// rereplicate writes every register again under this epoch; only when all are
// through does a newcomer count, and only then may the set change again.
func (c *Controller) rereplicate(now int64, out *wire.Outputs, core wire.CoreSet) {
	turn := c.begin()
	call := c.then(func(now int64, outcome register.Outcome) wire.Outputs {
		var out wire.Outputs
		if outcome.Fate != register.FateDone || len(outcome.Keys) == 0 {
			c.rereplicationFailed(now, turn, core)
			return out
		}
		left := len(outcome.Keys)
		for _, key := range outcome.Keys {
			mended := c.then(func(now int64, outcome register.Outcome) wire.Outputs {
				var done wire.Outputs
				if outcome.Fate != register.FateDone {
					c.rereplicationFailed(now, turn, core)
					return done
				}
				c.rereplicated++
				if left--; left == 0 && c.end(turn) && c.proposer.Core().Epoch == core.Epoch {
					c.changeCore(now, &done, c.rereplicatedCore(now, core))
				}
				return done
			})
			out.Add(c.proposer.Mend(now, mended, key))
		}
		return out
	})
	out.Add(c.proposer.Keys(now, call, c.settledVoters(now, core)))
}

func (c *Controller) rereplicationFailed(now, turn int64, core wire.CoreSet) {
	if !c.end(turn) {
		return
	}
	c.triedInVain(now)
	if len(core.Joining) > 0 {
		c.coordinator.failed[core.Joining[0].ID] = now
	}
}

// rereplicatedCore is the set that comes once all registers are through: a newcomer
// gets its vote, or the set is whole and may change again.
func (c *Controller) rereplicatedCore(now int64, core wire.CoreSet) wire.CoreSet {
	if len(core.Joining) > 0 {
		return coreOf(core.Epoch+1, append(slices.Clone(core.Voters), core.Joining...))
	}
	next := coreOf(core.Epoch, core.Voters)
	next.Rereplicated = true
	next, _ = c.nextCore(now, next)
	return next
}

func coreOf(epoch int64, voters []wire.Voter) wire.CoreSet {
	return wire.CoreSet{Epoch: epoch, Size: int64(len(voters)), Voters: voters}
}

func voterOf(voters []wire.Voter, id string) bool {
	for _, voter := range voters {
		if voter.ID == id {
			return true
		}
	}
	return false
}
