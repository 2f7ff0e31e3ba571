package partition

import (
	"cmp"
	"slices"

	"applequay/internal/configuration"
	"applequay/internal/transport/wire"
)

// booked is the room spoken for: all but what is on its way out.
func booked(worker *wire.WorkerState) int64 {
	sum := worker.OtherMb
	for _, kept := range worker.Residents {
		if kept.State != residentLeaving && kept.State != residentPending {
			sum += kept.SizeMb
		}
	}
	return sum
}

// filled is the room that is taken, or will be by orders already let go.
func filled(worker *wire.WorkerState) int64 {
	sum := worker.OtherMb
	for _, kept := range worker.Residents {
		if kept.State != residentQueued && kept.State != residentPending {
			sum += kept.SizeMb
		}
	}
	return sum
}

// places counts the adapters of which so many places are taken: all but what is
// on its way out, or all for which an order was let go.
func places(worker *wire.WorkerState, out func(state int64) bool) int64 {
	var count int64
	for _, kept := range worker.Residents {
		if kept.Base != "" && kept.State != residentPending && !out(kept.State) {
			count++
		}
	}
	return count
}

func leaves(state int64) bool { return state == residentLeaving }
func queues(state int64) bool { return state == residentQueued }

func (p *Partition) poolOf(worker string) configuration.Pool {
	return p.view.Policy.Pools[p.view.Workers[worker].Pool]
}

// sizeOf is the size of what a worker shows: its own word, the policy's, or that
// of the largest item.
func (p *Partition) sizeOf(loaded wire.Loaded) int64 {
	if known, ok := p.view.Policy.Items[loaded.Item]; loaded.SizeMb == 0 && ok {
		return known.SizeMb
	}
	if loaded.SizeMb == 0 {
		return p.view.Policy.LargestMb()
	}
	return loaded.SizeMb
}

// fits tells whether a load may be ordered: what is loaded, under way or not yet
// seen to be gone leaves it room and a place.
func (p *Partition) fits(worker *wire.WorkerState, kept wire.Resident) bool {
	slots := p.poolOf(worker.Name).AdapterSlots
	if kept.Base != "" && slots > 0 && places(worker, queues) >= slots {
		return false
	}
	return filled(worker)+kept.SizeMb <= worker.RoomMb
}

// hardly is how many times more a further copy must be worth than the last home
// of what is idle for now.
const hardly = 4

// overrun tells whether a load must not leave after all: since it was decided the
// worker was seen to hold more, of an order given before a restart. It waits, and
// is given up after a while.
func (p *Partition) overrun(task wire.Task) bool {
	worker := p.state.Workers[task.Worker]
	if task.Op != "load" || worker.RoomMb == 0 {
		return false
	}
	slots := p.poolOf(task.Worker).AdapterSlots
	return filled(&worker) > worker.RoomMb || (slots > 0 && places(&worker, queues) > slots)
}

// makeWay finds room and places for what is asked for: what is worth least goes
// first, with its adapters. What came lately, what an opening still needs, the
// model of an adapter asked for and what is worth more stay.
func (p *Partition) makeWay(now int64, e *effects, worker *wire.WorkerState, add []wire.Resident) bool {
	asked := add[len(add)-1]
	short := booked(worker) - worker.RoomMb
	for _, one := range add {
		short += one.SizeMb
	}
	going := map[int]bool{}
	if slots := p.poolOf(worker.Name).AdapterSlots; asked.Base != "" && slots > 0 && places(worker, leaves) >= slots {
		at := p.idlestAdapter(now, worker)
		if at < 0 {
			return false
		}
		going[at] = true
		short -= worker.Residents[at].SizeMb
	}
	for _, at := range p.byWorth(now, worker, asked) {
		if short <= 0 {
			break
		}
		if going[at] || (worker.Residents[at].Base != "" && worker.Residents[at].SizeMb < short) {
			continue // adapters are let go for room only where one of them is enough
		}
		for other, kept := range worker.Residents {
			if (other == at || kept.Base == worker.Residents[at].Item) && kept.State != residentLeaving && !going[other] {
				going[other] = true
				short -= kept.SizeMb
			}
		}
	}
	if short > 0 {
		return false
	}
	for _, adapters := range []bool{false, true} {
		for at, kept := range worker.Residents {
			if going[at] && (kept.Base != "") == adapters && kept.State == residentReady {
				p.sendOff(now, e, worker, at)
			}
		}
	}
	p.callOff(e, worker, going)
	return true
}

// byWorth lists what may make way for what is asked for, worth least a MB first. While
// one model changes, only what waits to be loaded may give its room up.
func (p *Partition) byWorth(now int64, worker *wire.WorkerState, asked wire.Resident) []int {
	order, worths := []int{}, map[int]float64{}
	full := changing(worker)
	for at, kept := range worker.Residents {
		lost := p.stakeOf(now, worker.Name, kept.Item)
		worth := lost.worth
		open := kept.UntilMs > now && kept.Weight >= asked.Weight
		idle := now-p.usedMs(kept) >= p.limits.IdleMs && (worth == 0 || worth < asked.Worth)
		light := kept.Weight < asked.Weight && (worth == 0 || asked.UntilMs > now)
		less := worth > 0 && (worth < asked.Worth || p.presses(asked, lost))
		if lost.last && asked.Extra {
			// For a further copy the last home goes only if it is hardly used.
			less, idle = false, idle && worth*hardly <= asked.Worth
		}
		if p.yields(now, kept, asked) {
			order = append(order, at)
			worths[at] = 0
			continue
		}
		if full || kept.State != residentReady || kept.Item == asked.Base || p.fresh(now, kept) || open || !(idle || light || less) || p.adapterStays(now, worker, kept, asked) {
			continue
		}
		order = append(order, at)
		worths[at] = float64(worth) / float64(max(kept.SizeMb, 1))
	}
	slices.SortStableFunc(order, func(a, b int) int {
		one, other := worker.Residents[a], worker.Residents[b]
		if light := cmp.Compare(one.Weight, other.Weight); light != 0 && worths[a] == worths[b] && (now-p.usedMs(one) < p.limits.IdleMs || now-p.usedMs(other) < p.limits.IdleMs) {
			return light
		}
		return cmp.Or(cmp.Compare(worths[a], worths[b]), cmp.Compare(p.usedMs(one), p.usedMs(other)))
	})
	return order
}

// fresh tells whether something came too lately to make way: before it was used
// at all, or, while clients use it or nothing is known of them, for longer.
func (p *Partition) fresh(now int64, kept wire.Resident) bool {
	asked := p.view.Demands.Of(kept.Item)
	if p.view.Demands.Known() && asked.Live+asked.Held == 0 {
		return now-kept.SinceMs < p.limits.KeepMs/4
	}
	return now-kept.SinceMs < p.limits.KeepMs
}

// adapterStays tells whether an adapter of a model keeps the model from going:
// it is not there yet, came lately or is needed by an opening.
func (p *Partition) adapterStays(now int64, worker *wire.WorkerState, model, asked wire.Resident) bool {
	return slices.ContainsFunc(worker.Residents, func(kept wire.Resident) bool {
		return kept.Base == model.Item && kept.State != residentLeaving &&
			(kept.State == residentLoading || (kept.UntilMs > now && kept.Weight >= asked.Weight) || (kept.State == residentReady && p.fresh(now, kept)) || (kept.State != residentReady && !p.yields(now, kept, asked)))
	})
}

// idlestAdapter is the adapter that makes way for another: the longest unused of
// those without running requests.
func (p *Partition) idlestAdapter(now int64, worker *wire.WorkerState) int {
	best := -1
	before := func(one, other wire.Resident) bool {
		// What nobody asked for of late goes first.
		asked, others := p.view.Demands.Of(one.Item).worth() > 0, p.view.Demands.Of(other.Item).worth() > 0
		return (!asked && others) || (asked == others && p.usedMs(one) < p.usedMs(other))
	}
	for at, kept := range worker.Residents {
		busy := p.view.Demands.Of(kept.Item).Live > 0 && p.homes(now, kept.Item) <= 1
		if kept.Base == "" || kept.State != residentReady || busy || kept.UntilMs > now || now-kept.SinceMs < p.limits.PollMs {
			continue
		}
		if best < 0 || before(kept, worker.Residents[best]) {
			best = at
		}
	}
	return best
}

func (p *Partition) usedMs(kept wire.Resident) int64 {
	return max(kept.UsedMs, p.view.Demands.Of(kept.Item).LastMs)
}

// sendOff orders an unload, after the fronts had time to hear of it. Adapters go
// with their model, without an order of their own.
func (p *Partition) sendOff(now int64, e *effects, worker *wire.WorkerState, at int) {
	kept := &worker.Residents[at]
	kept.State, kept.SinceMs = residentLeaving, now
	base := resident(worker, kept.Base)
	if base < 0 || worker.Residents[base].State != residentLeaving {
		p.order(e, worker, wire.Task{Op: "unload", Item: kept.Item, Base: kept.Base, SizeMb: kept.SizeMb, NotBeforeMs: now + p.limits.NoticeMs})
	}
	p.tell(e, worker.Name, *kept, wire.VerdictGone, 0)
}
