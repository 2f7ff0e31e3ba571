package controller

import (
	"slices"

	"applequay/internal/transport/wire"
)

// candidate tells whether this machine may found the first core set though it is no
// seed: at the very first start, where all seeds answered that they have no vote. The
// lowest of the seeds then nominates one: the first that proposes itself, once only, and
// only in the life in which the system starts for the very first time. Nobody is
// nominated twice, so that at most one set is founded, by that machine alone; the others
// join.
func (f *Controller) candidate() bool {
	if !f.boot.Bootstrap || len(f.boot.Core) > 0 || len(f.boot.Seeds) == 0 || slices.Contains(f.boot.Seeds, f.boot.Addr) || len(f.founders()) > 0 {
		return false
	}
	return !slices.ContainsFunc(f.boot.Seeds, func(seed string) bool {
		told, answered := f.founding.told[seed]
		return !votelessSeed(told, answered)
	})
}

// takeNomination makes this machine the only founder if the lowest seed nominated it.
// It is nominated by its identity, which it loses with its disk.
func (f *Controller) takeNomination(out *wire.Outputs) {
	if !f.candidate() || f.founded() {
		return
	}
	if f.founding.told[slices.Min(f.boot.Seeds)].Bound == f.boot.ID {
		out.Add(f.acceptor.Found([]string{f.boot.Addr}))
	}
}
