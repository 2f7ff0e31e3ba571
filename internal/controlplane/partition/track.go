package partition

import (
	"slices"

	"applequay/internal/transport/wire"
)

// track is what an owner notes of a worker that takes one order at a time and
// counts those it took. It is lost with the process: a look shows it again.
type track struct {
	single bool
	busy   bool
	// taken is how many orders it took, as far as known; takenMs when that was
	// last an answer to an order, lookMs when it last showed what it holds.
	taken, takenMs, lookMs int64
	// turnedMs is when it last took no order because another was under way.
	turnedMs int64
	// lightMs is when a light load that it took last should be done; nought where
	// it took something else since.
	lightMs int64
	// took are the tasks that it took.
	took map[int64]bool
}

func (p *Partition) track(worker string) *track {
	one := p.tracks[worker]
	if one == nil {
		one = &track{took: map[int64]bool{}}
		p.tracks[worker] = one
	}
	return one
}

// stale tells whether a look shows less than the worker is known to have taken.
// It is believed again after a while, should counts be other than thought.
func (p *Partition) stale(now int64, seen *wire.Seen) bool {
	one := p.track(seen.Worker)
	return seen.Single && seen.Taken < one.taken && now-one.takenMs < p.limits.DarkMs
}

// looks notes a look at a worker.
func (p *Partition) looks(now int64, seen *wire.Seen) {
	one := p.track(seen.Worker)
	one.single, one.busy, one.taken, one.lookMs = seen.Single, seen.Busy, seen.Taken, now
	for id := range one.took {
		if !slices.ContainsFunc(p.state.Tasks, func(t wire.Task) bool { return t.ID == id }) {
			delete(one.took, id)
		}
	}
}

// answered takes the answer to one order, which shows nothing of what the
// worker holds.
func (p *Partition) answered(now int64, seen *wire.Seen) wire.Outputs {
	var out wire.Outputs
	one := p.track(seen.Worker)
	p.heard[seen.Worker] = now
	delete(p.silent, seen.Worker)
	at := slices.IndexFunc(p.state.Tasks, func(t wire.Task) bool { return t.Worker == seen.Worker && t.Seq == seen.OrderSeq })
	if at < 0 || seen.Fence != p.state.Fence || seen.Born != p.state.Workers[seen.Worker].Born {
		return out
	}
	task := p.state.Tasks[at]
	switch {
	case seen.OrderOk:
		one.took[task.ID], one.busy, one.takenMs = true, true, now
		one.taken, one.lightMs = max(one.taken, seen.Taken), 0
		if p.lightLoad(task) {
			one.lightMs = now + p.lightMs(task.Item)
		}
	case seen.Busy:
		// It was not taken and never will be: it waits for a look.
		one.turnedMs = now
		delete(p.sentAt, task.ID)
		delete(p.left, task.ID)
	default:
		buffered := wire.Buffered{Key: WorkerKey(seen.Worker), Kind: int64(wire.KindSeen), Body: wire.Encode(seen)}
		p.log(&out, wire.KindTaskCompleted, &wire.TaskCompleted{Ids: []int64{task.ID}, Key: buffered.Key, Kind: buffered.Kind, Body: buffered.Body})
		p.flush(now, &out)
		p.publish(&out)
	}
	return out
}

// refusedOrder gives up what a worker will not load.
func (p *Partition) refusedOrder(e *effects, worker *wire.WorkerState, seen *wire.Seen) {
	worker.Residents = slices.DeleteFunc(worker.Residents, func(kept wire.Resident) bool {
		if kept.State != residentLoading || kept.Seq != seen.OrderSeq {
			return false
		}
		p.permitBack(e, worker, kept, false)
		p.tell(e, worker.Name, kept, wire.VerdictRefused, p.limits.RetryMs)
		return true
	})
}

// under tells whether a worker has an order under way, or one that it may have
// taken.
func (p *Partition) under(worker string) bool {
	if one := p.tracks[worker]; one != nil && one.busy {
		return true
	}
	return p.unanswered(worker, func(wire.Task) bool { return false })
}

// unanswered tells whether an order left of which it is not known that it is done,
// beside some.
func (p *Partition) unanswered(worker string, but func(t wire.Task) bool) bool {
	return slices.ContainsFunc(p.state.Tasks, func(t wire.Task) bool { return t.Worker == worker && !but(t) && p.sentAt[t.ID] > 0 })
}

// mayHand tells whether a worker that takes one order at a time may be handed
// this one: none other is under way or unanswered, and since it last took or
// turned one away it showed what it holds.
func (p *Partition) mayHand(now int64, task wire.Task) bool {
	one := p.track(task.Worker)
	sent := p.sentAt[task.ID]
	if one.took[task.ID] {
		return false
	}
	if sent == 0 && p.lightLoad(task) && p.chains(now, one) {
		return !p.unanswered(task.Worker, func(t wire.Task) bool { return one.took[t.ID] && p.lightLoad(t) })
	}
	if one.busy || one.lookMs <= one.turnedMs || one.lookMs <= one.takenMs || one.lookMs <= sent {
		return false
	}
	return !p.unanswered(task.Worker, func(t wire.Task) bool { return t.ID == task.ID })
}

// vanished lists orders that a worker took and that came to nothing: it is at
// rest, a while has passed, and what was to be loaded is not there.
func (p *Partition) vanished(now int64, seen *wire.Seen) []int64 {
	var ids []int64
	one := p.track(seen.Worker)
	if !seen.Single || seen.Busy {
		return nil
	}
	for _, task := range p.state.Tasks {
		there := slices.ContainsFunc(seen.Loaded, func(l wire.Loaded) bool { return l.Item == task.Item })
		if task.Worker == seen.Worker && one.took[task.ID] && now-p.sentAt[task.ID] > p.limits.DarkMs && there == (task.Op == "unload") {
			ids = append(ids, task.ID)
		}
	}
	return ids
}
