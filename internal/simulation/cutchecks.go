package simulation

import (
	"fmt"
	"slices"

	"applequay/internal/controlplane/register"
	"applequay/internal/transport/wire"
)

// votersStand notes machines that were neither cut off nor went, and have lost
// their votes as some machine knows it.
func (t *cutting) votersStand() {
	for _, seen := range t.w.cores {
		core := seen.core.Page(seen.Clock()).Core
		for at, e := range t.w.cores {
			if t.off(at) || core.Epoch == 0 {
				continue
			}
			if !voterOf(core.Voters, e.ID) && len(t.lost) < 5 {
				t.lost = append(t.lost, fmt.Sprintf("%d: %s, which stands, has no seat in epoch %d as %s knows it", t.w.NowMs, e.Name, core.Epoch, seen.Name))
			}
		}
	}
}

func voterOf(voters []wire.Voter, id string) bool {
	return slices.ContainsFunc(voters, func(voter wire.Voter) bool { return voter.ID == id })
}

// CutBreaches checks a run of CutOff for what it is about: a front that starts
// while it reaches only machines cut off takes up no policy older than one
// acknowledged before; those machines answer no write and no read; they order no
// worker under a lease that ran out; no machine of the majority loses its vote; and
// at the end all are in the set again.
//
//	breaches := world.CutBreaches()
func (w *World) CutBreaches() []string {
	t := w.cut
	breaches := append(w.Breaches(), t.lost...)
	breach := func(format string, args ...any) { breaches = append(breaches, fmt.Sprintf(format, args...)) }
	for _, one := range w.facts.force {
		for _, op := range w.facts.ops {
			acked := op.Kind == "set" && op.Answered && op.Fate == register.FateDone
			if acked && one.At >= cutFronts && one.At < cutTo && op.Ended < cutFronts && one.Version < op.Version && (one.Front == "l1" || one.Front == "l99") {
				breach("%d: %s took up mark %d after its start, though %d was acknowledged at %d", one.At, one.Front, one.Version, op.Version, op.Ended)
			}
		}
	}
	acked := 0
	for _, op := range w.facts.ops {
		if op.Kind == "set" && op.Answered && op.Fate == register.FateDone && op.Began >= cutFrom && op.Ended < cutTo {
			acked++
		}
	}
	set := w.cores[0].core.Page(w.cores[0].Clock()).Core
	for _, e := range w.cores {
		if core := e.core.Page(e.Clock()).Core; core.Epoch != set.Epoch || !core.Rereplicated || !voterOf(core.Voters, e.ID) {
			breach("%s is not back: it knows of epoch %d, swept %v, of %d machines", e.Name, core.Epoch, core.Rereplicated, len(core.Voters))
		}
	}
	if acked < 8 {
		breach("only %d writes were acknowledged while the cut lasted", acked)
	}
	for _, one := range w.facts.orders {
		for _, at := range t.side {
			if 2*(len(t.side)+len(t.crossed)) > len(w.cores) {
				break // those cut off became the majority
			}
			if one.Owner == w.cores[at].ID && one.At > cutFrom+w.Shape.LeaseMs/2+4*w.DelayMs && one.At < cutTo {
				breach("%d: %s, cut off since %d, ordered %s", one.At, w.cores[at].Name, cutFrom, one.Worker)
			}
		}
	}
	return breaches
}
