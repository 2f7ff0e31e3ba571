package controller

import "applequay/internal/transport/wire"

const (
	// followerReads is how many times as long as the first controller's the
	// others' time between two reads of the worker list is.
	followerReads = 4
	// listShare is the part of the list's rate, in a hundred, that all controllers
	// together plan to use; the rest is left for reads that begin again.
	listShare = 75
)

// ListCalls notes how many calls the last whole read of the worker list took,
// one for each page. The time between reads follows it.
//
//	core.ListCalls(3)
func (c *Controller) ListCalls(calls int64) { c.listCalls = max(calls, 1) }

// listEveryMs is how long the first controller waits between two reads of the
// worker list: PollMs, or longer where the list's rate (ListPerS, for all nodes
// together) does not allow that many calls.
func (c *Controller) listEveryMs() int64 {
	if c.boot.ListPerS <= 0 {
		return c.boot.PollMs
	}
	controllers := int64(len(c.proposer.Core().Voters))
	// In the time of one read of the first controller, the others together begin
	// a quarter of a read each.
	quarters := followerReads + max(controllers-1, 0)
	calls := max(c.listCalls, 1) * quarters
	least := calls * 1000 * 100 / (followerReads * c.boot.ListPerS * listShare)
	return max(c.boot.PollMs, least)
}

// platformTick asks for the platform's worker list to be read. The lowest
// controller that stands asks most often; others too, should it be deaf.
func (c *Controller) platformTick(now int64, out *wire.Outputs) {
	if !c.founded() {
		return
	}
	every := c.listEveryMs()
	for _, voter := range c.proposer.Core().Voters {
		if standing, _ := c.members.Standing(voter.ID); standing == wire.StandingWell && voter.ID < c.boot.ID {
			every = followerReads * c.listEveryMs()
			break
		}
	}
	if c.due(now, "platform", every) {
		out.Send("platform", wire.KindOrder, &wire.Order{Op: "list", Seq: c.versions[DirectoryKey]})
	}
}
