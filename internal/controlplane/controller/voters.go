package controller

import (
	"cmp"
	"slices"

	"applequay/internal/transport/wire"
)

// Bounds of the set: more machines than the most only replace those that go;
// fewer voters than the least are left only to make way for a newcomer.
const (
	mostVoters  = 9
	leastVoters = 3
)

// workRounds is how many rounds a change of the set and the copying after it take,
// with what waits for the same disks.
const workRounds = 4

// deputyMs is how long each next coordinator waits for those before it, and goneMs
// how long a vote stays with one that does not stand and that nobody replaces:
// all is over before the next machine may go.
func (c *Controller) deputyMs() int64 {
	return max(c.boot.CatchUpMs/5, workRounds*c.proposer.RoundMs())
}

func (c *Controller) goneMs() int64 { return c.boot.CatchUpMs / 8 }

// heardLately tells whether a voter spoke here itself so lately that it keeps its
// place: that it is gone may be the word of one who was cut off from it.
func (c *Controller) heardLately(now int64, id string) bool {
	last, heard := c.coordinator.heard[id]
	return heard && now-last < c.boot.CatchUpMs/4
}

// heardMs is how long another may take to be heard of.
func (c *Controller) heardMs() int64 { return c.boot.CatchUpMs / 2 }

// stands tells how a voter stands, and for how long it has. One of whom nothing
// was heard yet stands well until it had the time to be heard of.
func (c *Controller) stands(now int64, id string) (wire.Standing, int64) {
	standing, since := c.members.Standing(id)
	forMs := now - max(since, c.StartedMs)
	if _, known := c.members.Addr(id); !known && forMs < c.heardMs() {
		return wire.StandingWell, forMs
	}
	return standing, forMs
}

// newcomers are the controllers that stand well without a vote, those first that
// were not given up lately.
func (c *Controller) newcomers(core wire.CoreSet) []wire.Voter {
	var out []wire.Voter
	for _, member := range c.members.Alive("controller") {
		if wire.Standing(member.Standing) == wire.StandingWell && !voterOf(core.Voters, member.ID) {
			out = append(out, wire.Voter{ID: member.ID, Name: member.Name, Addr: member.Addr})
		}
	}
	slices.SortStableFunc(out, func(a, b wire.Voter) int { return cmp.Compare(c.coordinator.failed[a.ID], c.coordinator.failed[b.ID]) })
	return out
}

// nextCore is the core set that should come after this one, if any should: all
// controllers that stand have votes. Where a newcomer waits, who does not stand
// goes first, which leaves majorities small; else only who is gone for good.
func (c *Controller) nextCore(now int64, core wire.CoreSet) (wire.CoreSet, bool) {
	newcomers := c.newcomers(core)
	if len(core.Joining) > 0 {
		// A newcomer that goes, or that cannot be given its copies while another waits,
		// makes way; and so does one while somebody else is to go: it would be needed for
		// a majority as soon as it had its vote.
		joiner := core.Joining[0].ID
		standing, _ := c.stands(now, joiner)
		stuck := c.coordinator.failed[joiner] > 0 && len(newcomers) > 0 && newcomers[0].ID != joiner
		return coreOf(core.Epoch+1, core.Voters), standing != wire.StandingWell || stuck || c.leaver(now, core, newcomers) >= 0
	}
	if !core.Rereplicated {
		return core, false
	}
	if at := c.leaver(now, core, newcomers); at >= 0 {
		return coreOf(core.Epoch+1, slices.Delete(slices.Clone(core.Voters), at, at+1)), true
	}
	if len(newcomers) > 0 && len(core.Voters) < mostVoters && c.mayGrow(now, core) {
		next := coreOf(core.Epoch+1, core.Voters)
		next.Joining = newcomers[:1]
		return next, true
	}
	return core, false
}

// leaver picks the voter to be taken out, -1 for none.
func (c *Controller) leaver(now int64, core wire.CoreSet, newcomers []wire.Voter) int {
	if !c.mayShrink(now, core) {
		return -1
	}
	worst, worstAt := wire.StandingWell, -1
	waits := slices.ContainsFunc(newcomers, func(n wire.Voter) bool { return c.coordinator.failed[n.ID] == 0 })
	for at, voter := range core.Voters {
		standing, forMs := c.stands(now, voter.ID)
		gone := standing == wire.StandingLeaving || forMs >= c.goneMs()
		reborn := slices.ContainsFunc(newcomers, func(n wire.Voter) bool { return n.Name == voter.Name })
		switch {
		case standing == wire.StandingWell || voter.ID == c.boot.ID:
		case reborn:
			return at
		case standing != wire.StandingLeaving && c.heardLately(now, voter.ID):
		case standing == wire.StandingLeaving && len(core.Voters) <= leastVoters:
			// It stays until its successor has a vote, or it is gone.
		case standing > worst && (waits || (gone && len(core.Voters) > leastVoters)):
			worst, worstAt = standing, at
		}
	}
	return worstAt
}

// mayGrow: a newcomer gets a vote only where the set that it comes into has a
// majority of voters that stand and had their time to catch up. Until then such a
// machine counts as lost, and so does one that is down: both may go, or go again,
// and leave their votes behind.
func (c *Controller) mayGrow(now int64, core wire.CoreSet) bool {
	return len(c.settledVoters(now, core)) >= min((len(core.Voters)+1)/2+1, len(core.Voters))
}

// settledVoters are those that stand and had their time to catch up; where all
// started together nobody is older than the others.
func (c *Controller) settledVoters(now int64, core wire.CoreSet) map[string]bool {
	oldest := int64(0)
	for _, voter := range core.Voters {
		age, _ := c.ageMs(now, voter.ID)
		oldest = max(oldest, age)
	}
	settled := map[string]bool{}
	for _, voter := range core.Voters {
		standing, _ := c.stands(now, voter.ID)
		age, known := c.ageMs(now, voter.ID)
		ripe := age >= c.boot.CatchUpMs || oldest-age <= c.togetherMs()
		if !known {
			at, lately := c.coordinator.admitted[voter.ID]
			ripe = !lately || now-at >= c.boot.CatchUpMs
		}
		if ripe && (standing == wire.StandingWell || standing == wire.StandingLeaving) {
			settled[voter.ID] = true
		}
	}
	return settled
}

// togetherMs is how far apart the starts of machines are that start together.
func (c *Controller) togetherMs() int64 { return c.boot.CatchUpMs / 4 }

// ageMs is how long a process has been up; false if it did not say yet.
func (c *Controller) ageMs(now int64, id string) (int64, bool) {
	if id == c.boot.ID {
		return now - c.StartedMs, true
	}
	return c.members.AgeMs(now, id)
}

// sized is how many voters there were before a set, and when that set was whole: a
// grant given under the one before lasts for a lease from then at most.
type sized struct {
	voters, epoch, at int64
	whole             bool
}

// grantedMs is how long what a node granted lasts, with what its holder's clock may
// be off.
func (c *Controller) grantedMs() int64 { return c.boot.LeaseMs/2 + c.boot.LeaseMs/16 }

// noteAdmitted remembers when voters were seen to come into the set. Of one that came
// lately and has not said yet how long it has been up, it isn't known that it had
// its time to catch up; of the others, nothing was heard since this node started.
func (c *Controller) noteAdmitted(now int64, core, next wire.CoreSet) {
	admitted := map[string]int64{}
	for _, voter := range next.Voters {
		switch at, seen := c.coordinator.admitted[voter.ID]; {
		case seen:
			admitted[voter.ID] = at
		case core.Epoch > 0 && !voterOf(core.Voters, voter.ID):
			admitted[voter.ID] = now
		}
	}
	c.coordinator.admitted = admitted
}

// mayShrink: within one lease the set loses no more than one voter of all it had.
// Majorities before and after then meet, so that a grant given by the one is
// known to the other; who is newly admitted grants nothing for a lease.
func (c *Controller) mayShrink(now int64, core wire.CoreSet) bool {
	if now-c.StartedMs < c.grantedMs() {
		return false
	}
	most := int64(len(core.Voters))
	for _, before := range c.coordinator.sizes {
		if !before.whole || now-before.at <= c.grantedMs() {
			most = max(most, before.voters)
		}
	}
	return int64(len(core.Voters)) >= most
}

// noteSize remembers for a lease how many voters there were. Of sets that were
// missed in between nothing is known.
func (c *Controller) noteSize(now int64, core, next wire.CoreSet) {
	sizes := c.coordinator.sizes
	for at := range sizes {
		if one := &sizes[at]; !one.whole && (next.Epoch > one.epoch || next.Rereplicated) {
			one.whole, one.at = true, now
		}
	}
	missed := core.Epoch > 0 && next.Epoch > core.Epoch+1
	if len(core.Voters) == len(next.Voters) && !missed {
		return
	}
	before := sized{voters: int64(len(core.Voters)), epoch: next.Epoch, at: now, whole: next.Rereplicated}
	if missed {
		before.voters = mostVoters + 1
	}
	c.coordinator.sizes = append(slices.DeleteFunc(sizes, func(s sized) bool { return s.whole && now-s.at > c.grantedMs() }), before)
}
