package controller

import (
	"slices"

	"applequay/internal/transport/wire"
)

// candidate tells whether this machine may found the first core set though it is no
// seed: at the very first start, where all seeds answered that they have no vote. The
// lowest of the seeds then nominates one: the first that proposes itself, once only, and
// only in the life in which the system starts for the very first time. Nobody is
// nominated twice, and the seeds are those that all were told at that start, so that at
// most one set is founded, by that machine alone; the others join.
func (c *Controller) candidate() bool {
	if !c.boot.Bootstrap || len(c.boot.Core) > 0 || len(c.founding.seeds) == 0 || slices.Contains(c.founding.seeds, c.boot.Addr) || len(c.founders()) > 0 {
		return false
	}
	return !slices.ContainsFunc(c.founding.seeds, func(seed string) bool {
		told, answered := c.founding.told[seed]
		return !votelessSeed(told, answered)
	})
}

// takeNomination makes this machine the only founder if the lowest seed nominated it.
// It is nominated by its identity, which it loses with its disk.
func (c *Controller) takeNomination(out *wire.Outputs) {
	if !c.candidate() || c.founded() {
		return
	}
	if c.founding.told[slices.Min(c.founding.seeds)].Bound == c.boot.ID {
		out.Add(c.acceptor.Found([]string{c.boot.Addr}))
	}
}
