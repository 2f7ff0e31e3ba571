package partition

import (
	"slices"

	"applequay/internal/connection/wire"
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

// makeWay finds room: what is least weighted and longest unused goes first.
// What came lately, what an opening still needs and models of adapters that
// stay are kept.
func (p *Partition) makeWay(now int64, e *effects, worker *wire.WorkerState, need int64, asked wire.Resident) bool {
	short := booked(worker) + need - worker.RoomMb
	if short <= 0 {
		return true
	}
	order := make([]int, 0, len(worker.Residents))
	for at, kept := range worker.Residents {
		idle := now-kept.UsedMs >= p.limits.IdleMs
		open := kept.UntilMs > now && kept.Weight >= asked.Weight
		if kept.State == residentReady && kept.Item != asked.Base && now-kept.SinceMs >= p.limits.KeepMs && !open && (idle || kept.Weight < asked.Weight) {
			order = append(order, at)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		one, other := worker.Residents[a], worker.Residents[b]
		if one.Weight != other.Weight && (now-one.UsedMs < p.limits.IdleMs || now-other.UsedMs < p.limits.IdleMs) {
			return int(one.Weight - other.Weight)
		}
		return int(one.UsedMs - other.UsedMs)
	})
	going := map[int]bool{}
	for _, at := range order {
		if short <= 0 {
			break
		}
		needed := false
		for other, kept := range worker.Residents {
			needed = needed || (kept.Base == worker.Residents[at].Item && kept.State != residentLeaving && !going[other])
		}
		if !needed {
			going[at] = true
			short -= worker.Residents[at].SizeMb
		}
	}
	if short > 0 {
		return false
	}
	for _, at := range order {
		if going[at] {
			p.sendOff(now, e, worker, at)
		}
	}
	return true
}

// sendOff orders an unload, after the fronts had time to hear of it.
func (p *Partition) sendOff(now int64, e *effects, worker *wire.WorkerState, at int) {
	kept := &worker.Residents[at]
	kept.State, kept.SinceMs = residentLeaving, now
	p.order(e, worker, wire.Task{Op: "unload", Item: kept.Item, Base: kept.Base, SizeMb: kept.SizeMb, NotBeforeMs: now + p.limits.NoticeMs})
	p.tell(e, worker.Name, *kept, wire.VerdictGone, 0)
}
