package controller

import (
	"maps"
	"slices"

	"applequay/internal/transport/wire"
)

// Fronts tell one controller what their callers ask for; it tells the others, all of
// one span together. So their number does not grow with fronts times controllers.

// talliesPerProbe is how often between two probes what fronts told is passed on.
const talliesPerProbe = 2

// tallied takes what a front tells, and keeps it for the other controllers, or what
// another controller passes on.
func (f *Controller) tallied(now int64, body wire.Record) {
	switch told := body.(type) {
	case *wire.Tally:
		f.view.Demands.Note(now, told)
		f.tallies[told.Front] = *told
	case *wire.Tallies:
		f.view.Demands.NoteAll(now, told)
	}
}

// talliesTick passes on what fronts told here.
func (f *Controller) talliesTick(now int64, out *wire.Outputs) {
	if len(f.tallies) == 0 || !f.due(now, "tallies", f.boot.ProbeMs/talliesPerProbe) {
		return
	}
	told := &wire.Tallies{}
	for _, front := range slices.Sorted(maps.Keys(f.tallies)) {
		told.Tallies = append(told.Tallies, f.tallies[front])
	}
	clear(f.tallies)
	for _, member := range f.members.Alive("controller") {
		if member.ID != f.boot.ID {
			out.Send(member.ID, wire.KindTallies, told)
		}
	}
}
