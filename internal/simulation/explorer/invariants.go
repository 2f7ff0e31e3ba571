package explorer

import (
	"fmt"

	"applequay/internal/controlplane/controller"
	"applequay/internal/controlplane/register"
)

// Invariant is one thing that must hold in every world of every history.
type Invariant struct {
	Name  string
	Check func(w *World) string
}

// Invariants lists all that must hold.
//
//	for _, one := range explorer.Invariants() { ... }
func Invariants() []Invariant {
	return []Invariant{
		{"one value per version", oneValuePerVersion},
		{"reads are fresh", readsAreFresh},
		{"no order taken is refused", noOrderTakenIsRefused},
		{"refused orders have no effect", refusedOrdersHaveNoEffect},
		{"one of two orders on one base", oneOfTwoOrdersOnOneBase},
		{"acknowledged versions are held", acknowledgedVersionsAreHeld},
		{"no vote before copies", noVoteBeforeCopies},
		{"majorities meet", majoritiesMeet},
		{"all founders found", allFoundersFound},
		{"one holder per lease", oneHolderPerLease},
		{"fences rise", fencesRise},
		{"one log per partition", oneLogPerPartition},
		{"messages are taken once", messagesAreTakenOnce},
		{"an order number names one order", anOrderNumberNamesOneOrder},
		{"turns are a lease apart", turnsAreALeaseApart},
		{"permits are not exceeded", permitsAreNotExceeded},
	}
}

// oneValuePerVersion: each version of a register has one value, each named write
// takes effect as one version, and each epoch has one core set.
func oneValuePerVersion(w *World) string { return w.facts.clash }

// readsAreFresh: no call sees a version older than one that was known before the
// call began, and what an acknowledged write got is above all that was known.
func readsAreFresh(w *World) string {
	for _, op := range w.facts.ops {
		if !op.known() {
			continue
		}
		for _, before := range w.facts.ops {
			if !before.known() || before.Ended >= op.Began || before.Name == op.Name && op.Name != "" {
				continue
			}
			if op.Version < before.Version && !w.facts.repeated(op) {
				return fmt.Sprintf("%s %s at %s saw version %d after %d was known", op.Kind, op.Name, op.Node, op.Version, before.Version)
			}
		}
	}
	return ""
}

// repeated tells whether a write was sent before this call too: it is
// acknowledged again with the version that it got.
func (f *facts) repeated(op *Op) bool {
	for _, other := range f.ops {
		if other != op && op.Name != "" && other.Name == op.Name && other.Began < op.Began {
			return true
		}
	}
	return false
}

// noOrderTakenIsRefused: a write that is in effect, or was, is never answered
// as overtaken.
func noOrderTakenIsRefused(w *World) string {
	for _, op := range w.facts.ops {
		if version, taken := w.facts.names[controller.PolicyKey+"/"+register.Digest(op.Name)]; op.Kind == "write" && op.Answered && op.Fate == register.FateStale && taken {
			return fmt.Sprintf("%s was refused at %s and took effect as version %d", op.Name, op.Node, version)
		}
	}
	return ""
}

// refusedOrdersHaveNoEffect: a write of which all calls were answered as
// certainly not done is never seen.
func refusedOrdersHaveNoEffect(w *World) string {
	open := map[string]bool{}
	for _, op := range w.facts.ops {
		refused := op.Answered && (op.Fate == register.FateNone || op.Fate == register.FateStale)
		open[op.Name] = open[op.Name] || !refused
	}
	for _, op := range w.facts.ops {
		if version, taken := w.facts.names[controller.PolicyKey+"/"+register.Digest(op.Name)]; op.Kind == "write" && !open[op.Name] && taken {
			return fmt.Sprintf("%s was answered as not done at %s and took effect as version %d", op.Name, op.Node, version)
		}
	}
	return ""
}

// oneOfTwoOrdersOnOneBase: of different writes that expect one version at most
// one is acknowledged, and with the version after it.
func oneOfTwoOrdersOnOneBase(w *World) string {
	byBase := map[int64]string{}
	for _, op := range w.facts.ops {
		if op.Kind != "write" || !op.Answered || op.Fate != register.FateDone || op.Expected < 0 {
			continue
		}
		if other, ok := byBase[op.Expected]; ok && other != op.Name {
			return fmt.Sprintf("%s and %s were both acknowledged on version %d", other, op.Name, op.Expected)
		}
		if op.Version != op.Expected+1 {
			return fmt.Sprintf("%s expected version %d and was acknowledged as %d", op.Name, op.Expected, op.Version)
		}
		byBase[op.Expected] = op.Name
	}
	return ""
}

// acknowledgedVersionsAreHeld: in the newest core set, those that lack an
// acknowledged version, or have lost it, are less than a majority.
func acknowledgedVersionsAreHeld(w *World) string {
	voters := w.facts.newest.Voters
	for key, version := range w.facts.acked {
		lack := 0
		for _, voter := range voters {
			if m := w.byID(voter.ID); m != nil && m.disk.copies[key].value.Version < version {
				lack++
			}
		}
		if lack > len(voters)/2 {
			return fmt.Sprintf("version %d of %s was acknowledged, and %d of %d seats lack it", version, key, lack, len(voters))
		}
	}
	return ""
}

// noVoteBeforeCopies: who gets a vote has a copy of all that was acknowledged
// before it began to join.
func noVoteBeforeCopies(w *World) string { return w.facts.bare }

// majoritiesMeet: every majority of a core set meets every majority of the next.
func majoritiesMeet(w *World) string {
	for epoch, core := range w.facts.cores {
		next, ok := w.facts.cores[epoch+1]
		if !ok {
			continue
		}
		both := len(core.Voters)
		for _, voter := range next.Voters {
			if !admitted(core.Voters, voter.ID) {
				both++
			}
		}
		if len(core.Voters)/2+1+len(next.Voters)/2+1 <= both {
			return fmt.Sprintf("epochs %d and %d: %s, then %s", epoch, epoch+1, names(core), names(next))
		}
	}
	return ""
}

// allFoundersFound: the first core set has a seat for every founder, so that one
// of them may go as soon as something is acknowledged.
func allFoundersFound(w *World) string {
	first, founded := w.facts.cores[1]
	if founded && w.model.Unfounded && len(first.Voters) < w.model.Admitted {
		return fmt.Sprintf("the first core set is %s, of %d founders", names(first), w.model.Admitted)
	}
	return ""
}

// oneHolderPerLease: no two machines hold one lease at the same moment.
func oneHolderPerLease(w *World) string {
	holder := map[int64]string{}
	for _, m := range w.machines {
		for _, hold := range m.owned {
			if other, ok := holder[hold.Partition]; ok {
				return fmt.Sprintf("lease %d is held by %s and %s at %d", hold.Partition, other, m.id, w.now)
			}
			holder[hold.Partition] = m.id
		}
	}
	return ""
}

// leasesAreHeld: when all faults are over, each lease has a holder. It is no
// invariant of what comes before.
func leasesAreHeld(w *World) string {
	held := map[int64]bool{}
	for _, m := range w.machines {
		for _, hold := range m.owned {
			held[hold.Partition] = true
		}
	}
	for number := range w.model.Partitions {
		if !held[number] {
			return fmt.Sprintf("lease %d has no holder, all faults being over", number)
		}
	}
	return ""
}

// fencesRise: who holds a lease does so under a fence above all under which
// another held it; nobody goes on under an old one.
func fencesRise(w *World) string {
	for _, m := range w.machines {
		for _, hold := range m.owned {
			last := w.facts.fences[hold.Partition]
			if hold.Fence < last.Fence || (hold.Fence == last.Fence && last.ID != m.id) {
				return fmt.Sprintf("%s holds lease %d under fence %d, %s held it under %d", m.id, hold.Partition, hold.Fence, last.ID, last.Fence)
			}
			last.ID, last.Fence = m.id, hold.Fence
			w.facts.fences[hold.Partition] = last
		}
	}
	return ""
}
