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

func (f *Controller) coordinatorTick(now int64, out *wire.Outputs) {
	core := f.proposer.Core()
	if !f.founded() || f.leaving || !voterOf(core.Voters, f.boot.ID) || !f.due(now, "coordinator", f.boot.ProbeMs/4) {
		return
	}
	s := &f.coordinator
	if !f.members.Majority(core.Voters) {
		s.aloneAt = now
	}
	// What was asked for now might pass at the heal, by what this node thought of
	// the others while it was cut off from them; it first hears how they stand.
	if s.aloneAt > 0 && now-s.aloneAt < f.heardMs() {
		return
	}
	next, change := f.nextCore(now, core)
	if core.Epoch != s.epoch || core.Rereplicated != s.rereplicated || (!change && core.Rereplicated) {
		// What was under way for the set before is of no use.
		s.busy = s.busy && core.Epoch == s.epoch
		s.epoch, s.rereplicated, s.since, s.tries = core.Epoch, core.Rereplicated, now, 0
	}
	rank := int64(0)
	for _, voter := range core.Voters {
		if standing, _ := f.members.Standing(voter.ID); standing == wire.StandingWell && voter.ID < f.boot.ID {
			rank++
		}
	}
	switch {
	case now-s.since < rank*f.deputyMs()<<s.tries:
	case change && (!s.busy || (len(core.Joining) > 0 && s.gaveUp != core.Epoch)):
		if len(core.Joining) > 0 {
			s.gaveUp = core.Epoch
		}
		f.changeCore(now, out, next)
	case !s.busy && !core.Rereplicated:
		f.rereplicate(now, out, core)
	}
}

func (f *Controller) changeCore(now int64, out *wire.Outputs, next wire.CoreSet) {
	turn, before := f.begin(), f.proposer.Core()
	call := f.then(func(now int64, outcome register.Outcome) wire.Outputs {
		var out wire.Outputs
		if f.end(turn) && outcome.Fate == register.FateUnknown {
			f.triedInVain(now)
		}
		if outcome.Has {
			f.learn(now, &out, register.CoreKey, outcome.Value)
			f.tellSet(&out, before)
			delete(f.timers, "coordinator")
		}
		return out
	})
	name := fmt.Sprintf("%s#%d.%x", f.boot.ID, next.Epoch, f.random.Int63())
	out.Add(f.proposer.Change(now, call, register.CoreKey, f.coreVersion, 0, wire.Encode(&next), name))
}

// begin starts a piece of work on the set; one that was under way is given up.
func (f *Controller) begin() int64 {
	f.coordinator.turn++
	f.coordinator.busy = true
	return f.coordinator.turn
}

func (f *Controller) end(turn int64) bool {
	if turn != f.coordinator.turn {
		return false
	}
	f.coordinator.busy = false
	return true
}

// mostDoublings bounds how often the time that deputies wait is doubled.
const mostDoublings = 4

// triedInVain notes an attempt of which nobody knows what became: where all disks
// are slow, two coordinators would else turn each other away without end.
func (f *Controller) triedInVain(now int64) {
	f.coordinator.since = now
	f.coordinator.tries = min(f.coordinator.tries+1, mostDoublings)
}

// rereplicate writes every register again under this epoch; only when all are
// through does a newcomer count, and only then may the set change again.
func (f *Controller) rereplicate(now int64, out *wire.Outputs, core wire.CoreSet) {
	turn := f.begin()
	call := f.then(func(now int64, outcome register.Outcome) wire.Outputs {
		var out wire.Outputs
		if outcome.Fate != register.FateDone || len(outcome.Keys) == 0 {
			f.rereplicationFailed(now, turn, core)
			return out
		}
		left := len(outcome.Keys)
		for _, key := range outcome.Keys {
			mended := f.then(func(now int64, outcome register.Outcome) wire.Outputs {
				var done wire.Outputs
				if outcome.Fate != register.FateDone {
					f.rereplicationFailed(now, turn, core)
					return done
				}
				f.rereplicated++
				if left--; left == 0 && f.end(turn) && f.proposer.Core().Epoch == core.Epoch {
					f.changeCore(now, &done, f.rereplicatedCore(now, core))
				}
				return done
			})
			out.Add(f.proposer.Mend(now, mended, key))
		}
		return out
	})
	out.Add(f.proposer.Keys(now, call, f.settledVoters(now, core)))
}

func (f *Controller) rereplicationFailed(now, turn int64, core wire.CoreSet) {
	if !f.end(turn) {
		return
	}
	f.triedInVain(now)
	if len(core.Joining) > 0 {
		f.coordinator.failed[core.Joining[0].ID] = now
	}
}

// rereplicatedCore is the set that comes once all registers are through: a newcomer
// gets its vote, or the set is whole and may change again.
func (f *Controller) rereplicatedCore(now int64, core wire.CoreSet) wire.CoreSet {
	if len(core.Joining) > 0 {
		return coreOf(core.Epoch+1, append(slices.Clone(core.Voters), core.Joining...))
	}
	next := coreOf(core.Epoch, core.Voters)
	next.Rereplicated = true
	next, _ = f.nextCore(now, next)
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
