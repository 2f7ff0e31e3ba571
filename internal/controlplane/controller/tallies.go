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
func (c *Controller) tallied(now int64, body wire.Record) {
	switch told := body.(type) {
	case *wire.Tally:
		c.view.Demands.Note(now, told)
		c.tallies[told.Front] = *told
	case *wire.Tallies:
		c.view.Demands.NoteAll(now, told)
	}
}

// talliesTick passes on what fronts told here.
func (c *Controller) talliesTick(now int64, out *wire.Outputs) {
	if len(c.tallies) == 0 || !c.due(now, "tallies", c.boot.ProbeMs/talliesPerProbe) {
		return
	}
	told := &wire.Tallies{}
	for _, front := range slices.Sorted(maps.Keys(c.tallies)) {
		told.Tallies = append(told.Tallies, c.tallies[front])
	}
	clear(c.tallies)
	for _, member := range c.members.Alive("controller") {
		if member.ID != c.boot.ID {
			out.Send(member.ID, wire.KindTallies, told)
		}
	}
}
