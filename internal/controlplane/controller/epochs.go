package controller

import (
	"applequay/internal/controlplane/distribution"
	"applequay/internal/controlplane/register"
	"applequay/internal/transport/wire"
)

// No node is bound to a core set by its epoch's number alone: before it answers
// under a newer one it knows, durably, the set itself. So whoever turns an older
// proposer away can tell it the set, should the coordinator that made it be gone.

// epochOf is the epoch of the set that a proposer goes by.
func epochOf(body wire.Record) int64 {
	switch asked := body.(type) {
	case *wire.Prepare:
		return asked.Epoch
	case *wire.Accept:
		return asked.Epoch
	case *wire.Query:
		return asked.Epoch
	case *wire.KeysAsk:
		return asked.Epoch
	}
	return 0
}

// askSet asks a node that goes by a newer set for that set.
func (c *Controller) askSet(out *wire.Outputs, from string) {
	out.Send(from, wire.KindSubscribe, c.board.Asks(distribution.ControlService))
}

// tellSet tells a new set to those of it who had no vote before: all others hear
// of it as of any value that was chosen.
func (c *Controller) tellSet(out *wire.Outputs, before wire.CoreSet) {
	core := c.proposer.Core()
	for _, list := range [][]wire.Voter{core.Voters, core.Joining} {
		for _, voter := range list {
			if voter.ID != c.boot.ID && !voterOf(before.Voters, voter.ID) {
				out.Send(voter.ID, wire.KindNews, &wire.News{Topics: []wire.Topic{register.CoreTopic(core)}})
			}
		}
	}
}

// admitted tells whether this node's identity is in the core set, or on its way
// in: only then does it vote or keep copies.
func (c *Controller) admitted() bool {
	core := c.proposer.Core()
	return voterOf(core.Voters, c.boot.ID) || voterOf(core.Joining, c.boot.ID)
}
