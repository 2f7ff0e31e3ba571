package partition

import (
	"slices"

	"applequay/internal/transport/wire"
)

// changing tells whether a model of a worker is making way or on its way. What makes
// way earlier than the load in its place can begin serves nobody meanwhile, so a
// worker changes one model at a time.
func changing(worker *wire.WorkerState) bool {
	return slices.ContainsFunc(worker.Residents, func(kept wire.Resident) bool {
		return kept.Base == "" && kept.State != residentReady && kept.State != residentPending
	})
}

// yields tells whether something that only waits to be loaded gives its room to
// what many more wait for.
func (p *Partition) yields(now int64, kept, asked wire.Resident) bool {
	// What was ever ordered may be on its way all the same.
	waits := kept.Seq == 0 && (kept.State == residentQueued || kept.State == residentAsked)
	return waits && p.view.Demands.Known() && kept.UntilMs <= now && kept.Item != asked.Base && rank(asked) >= yieldTimes*rank(kept)
}

// yieldTimes is how many times more must wait for what takes another's room.
const yieldTimes = 2

// callOff drops what gave up its room before it was ordered.
func (p *Partition) callOff(e *effects, worker *wire.WorkerState, going map[int]bool) {
	stay := worker.Residents[:0:0]
	for at, kept := range worker.Residents {
		if going[at] && (kept.State == residentQueued || kept.State == residentAsked) {
			p.tell(e, worker.Name, kept, wire.VerdictGone, 0)
			continue
		}
		stay = append(stay, kept)
	}
	worker.Residents = stay
}
