package partition

import (
	"slices"

	"applequay/internal/transport/wire"
)

// lightTimes is how many times its usual span a light load is given before the
// next order; lightPart of a poll is what one takes where no span is known.
const (
	lightTimes = 3
	lightPart  = 16
)

func (p *Partition) lightLoad(task wire.Task) bool {
	return task.Op == "load" && p.view.Policy.Items[task.Item].Light
}

// lightMs is how long after a light load was taken the next order may leave.
func (p *Partition) lightMs(item string) int64 {
	return max(lightTimes*p.view.Policy.Items[item].LoadMs, p.limits.PollMs/lightPart)
}

// chains tells whether a worker may be handed a light load without a look at it:
// the last that it took was one too, and should be done. How many orders it took
// is known from its answer; one that is still busy turns the next away, and then
// a look decides.
func (p *Partition) chains(now int64, one *track) bool {
	return one.lightMs > 0 && now >= one.lightMs && one.turnedMs < one.takenMs
}

// lightOnly tells whether all that is asked for or under way at a worker are
// light loads: others may join them, each handed over in its turn.
func (p *Partition) lightOnly(now int64, worker *wire.WorkerState) bool {
	light := func(item string) bool { return p.view.Policy.Items[item].Light }
	return !slices.ContainsFunc(worker.Residents, func(r wire.Resident) bool {
		return (r.State == residentAsked || r.State == residentLoading) && !light(r.Item)
	}) && !slices.ContainsFunc(p.state.Tasks, func(t wire.Task) bool {
		return t.Worker == worker.Name && (t.Op == "load" && !light(t.Item) || t.Op != "load" && t.NotBeforeMs <= now)
	})
}

// spareSlots is how many of a worker's places for adapters are kept for what is
// asked for: one in so many, and one at least.
const spareSlots = 4

// prefill loads adapters of the models that a worker holds ahead of requests for
// them, into places that are free: those that stand on fewest workers first, each
// worker beginning with those of which it is the first choice.
func (p *Partition) prefill(now int64, e *effects, worker *wire.WorkerState) {
	slots := p.poolOf(worker.Name).AdapterSlots
	left := slots - (slots+spareSlots-1)/spareSlots - places(worker, func(int64) bool { return false })
	free := worker.RoomMb - booked(worker)
	for _, one := range p.lackingAdapters(now, worker) {
		size := p.view.Policy.Items[one].SizeMb
		if left <= 0 {
			return
		}
		if size > free || p.blocks(worker.Name, free, size) {
			continue
		}
		left, free = left-1, free-size
		kept := wire.Resident{Item: one, Base: p.view.Policy.Items[one].Base, SizeMb: size, State: residentQueued, UsedMs: now, SinceMs: now, UntilMs: now}
		worker.Residents = append(worker.Residents, kept)
		p.tell(e, worker.Name, kept, wire.VerdictComing, 0)
	}
}

// blocks tells whether so little would be left free that a model does not fit
// any more that fits now.
func (p *Partition) blocks(worker string, free, size int64) bool {
	for _, item := range p.view.Policy.Items {
		if item.Base == "" && item.Pool == p.view.Workers[worker].Pool && item.SizeMb <= free && item.SizeMb > free-size {
			return true
		}
	}
	return false
}

// fills begins loads ahead at a worker that is at rest and has all it was asked
// for, once in a while.
func (p *Partition) fills(now int64, out *wire.Outputs, name string) {
	worker := p.state.Workers[name]
	if !p.track(name).single || p.poolOf(name).AdapterSlots == 0 || now-p.filledMs[name] < p.limits.PollMs ||
		!p.mayOrder(now, name) || !p.quietWorker(name) || p.under(name) {
		return
	}
	p.filledMs[name] = now
	e := &effects{}
	worker.Residents = slices.Clone(worker.Residents)
	p.prefill(now, e, &worker)
	if len(e.step.Out) > 0 {
		e.step.Workers = append(e.step.Workers, worker)
		p.logSaid(out, workerPrefix+name, e)
	}
}
