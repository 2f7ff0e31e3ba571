package partition

import (
	"slices"

	"applequay/internal/transport/wire"
)

// Seen takes what a poll of a worker showed. Only a look that changes
// something becomes a TaskCompleted event.
//
//	out := owned.Seen(now, &wire.Seen{Worker: "w3", RoomMb: 24000})
func (p *Partition) Seen(now int64, seen *wire.Seen) wire.Outputs {
	var out wire.Outputs
	if seen.Fence > p.state.Fence {
		return out
	}
	if seen.Bare {
		return p.answered(now, seen)
	}
	if !seen.Dark && !seen.Left {
		p.heard[seen.Worker] = now
		delete(p.silent, seen.Worker)
		if seen.Born != p.state.Workers[seen.Worker].Born {
			p.acked[seen.Worker] = 0
			delete(p.tracks, seen.Worker)
		}
		if p.stale(now, seen) {
			return out
		}
		p.looks(now, seen)
		if seen.Fence == p.state.Fence {
			p.acked[seen.Worker] = max(p.acked[seen.Worker], seen.OrderSeq)
		}
		if _, looked := p.looked[seen.Worker]; !looked {
			// A worker that says for how long no older owner has ordered it saves
			// the new one that part of the wait.
			p.looked[seen.Worker] = now
			if seen.Fence == p.state.Fence {
				p.looked[seen.Worker] -= min(max(seen.QuietMs, 0), p.limits.LeaseMs)
			}
		}
	}
	key := WorkerKey(seen.Worker)
	buffered := wire.Buffered{Key: key, Kind: int64(wire.KindSeen), Body: wire.Encode(seen)}
	ids := append(p.completed(seen), p.vanished(now, seen)...)
	if e := p.handle(now, key, []wire.Buffered{buffered}); len(ids) == 0 && p.idle(e) {
		return out
	}
	p.log(&out, wire.KindTaskCompleted, &wire.TaskCompleted{Ids: ids, Key: key, Kind: buffered.Kind, Body: buffered.Body})
	p.flush(now, &out)
	p.publish(&out)
	return out
}

// completed lists the tasks that a worker's loaded set shows to be done, or
// that can no longer be.
func (p *Partition) completed(seen *wire.Seen) []int64 {
	var ids []int64
	restarted := p.state.Workers[seen.Worker].Born != seen.Born
	for _, task := range p.state.Tasks {
		if task.Worker != seen.Worker {
			continue
		}
		at := slices.IndexFunc(seen.Loaded, func(l wire.Loaded) bool { return l.Item == task.Item })
		loaded := at >= 0 && seen.Loaded[at].Ready
		refused := !seen.OrderOk && seen.OrderSeq == task.Seq
		if seen.Left || seen.Dark || refused || (restarted && at < 0) || (task.Op == "load" && loaded) || (task.Op == "unload" && at < 0) {
			ids = append(ids, task.ID)
		}
	}
	return ids
}

// saw reconciles what the key holds with what the worker shows.
func (p *Partition) saw(now int64, e *effects, worker *wire.WorkerState, seen *wire.Seen) {
	if seen.Bare {
		p.refusedOrder(e, worker, seen)
		return
	}
	if seen.Left || seen.Dark {
		for _, kept := range worker.Residents {
			p.lost(e, worker, kept)
		}
		worker.Residents, worker.Left, worker.Dark, worker.Known = nil, seen.Left, seen.Dark, false
		return
	}
	restarted := worker.Born != seen.Born
	worker.Left, worker.Dark, worker.Known = false, false, true
	worker.RoomMb, worker.Born = seen.RoomMb, seen.Born
	if worker.RoomMb == 0 {
		worker.RoomMb = p.poolOf(worker.Name).RoomMb
	}
	if restarted {
		worker.Had = nil
	}
	if p.waited(now, worker.Name) {
		worker.Opened = p.state.Fence
	}
	pending := slices.DeleteFunc(slices.Clone(worker.Residents), func(r wire.Resident) bool { return r.State != residentPending })
	worker.Residents = slices.DeleteFunc(worker.Residents, func(r wire.Resident) bool { return r.State == residentPending })
	stay := worker.Residents[:0:0]
	for _, kept := range worker.Residents {
		at := slices.IndexFunc(seen.Loaded, func(l wire.Loaded) bool { return l.Item == kept.Item })
		if next, ok := p.compare(now, e, worker, kept, at, seen, restarted); ok {
			stay = append(stay, next)
		}
	}
	worker.Residents = stay
	var known int64
	for _, loaded := range seen.Loaded {
		loaded.SizeMb = p.sizeOf(loaded)
		known += loaded.SizeMb
		p.had(worker, loaded)
		if resident(worker, loaded.Item) < 0 {
			p.adopt(now, e, worker, loaded)
		}
	}
	worker.OtherMb = max(seen.UsedMb-known, 0)
	for _, asked := range pending {
		p.askedHome(now, e, worker, &wire.HomeAsk{Item: asked.Item, Base: asked.Base, SizeMb: asked.SizeMb, BaseSizeMb: p.view.Policy.Items[asked.Base].SizeMb, Weight: asked.Weight, UntilMs: max(asked.UntilMs-now, 0), Ask: asked.Ask, Worth: asked.Worth, Extra: asked.Extra})
	}
}

// compare works out what becomes of one resident.
func (p *Partition) compare(now int64, e *effects, worker *wire.WorkerState, kept wire.Resident, at int, seen *wire.Seen, restarted bool) (wire.Resident, bool) {
	ready := at >= 0 && seen.Loaded[at].Ready
	refused := !seen.OrderOk && kept.Seq > 0 && seen.OrderSeq == kept.Seq
	switch {
	case kept.State == residentLoading && ready:
		p.permitBack(e, worker, kept, false)
		kept.State, kept.SinceMs, kept.UsedMs = residentReady, now, now
		p.tell(e, worker.Name, kept, wire.VerdictKept, 0)
	case kept.State == residentLoading && refused:
		p.permitBack(e, worker, kept, false)
		p.tell(e, worker.Name, kept, wire.VerdictRefused, p.limits.RetryMs)
		return kept, false
	case kept.State == residentLoading && at < 0 && seen.Busy && !restarted:
		// It is being loaded, though the look does not show it.
	case kept.State == residentLoading && at < 0 && kept.Seq > 0 && (restarted || !p.ordered(worker.Name, kept.Seq)):
		p.permitBack(e, worker, kept, true)
		kept.State = residentQueued
	case kept.State == residentReady && at < 0, kept.State == residentLoading && at < 0 && kept.Seq == 0:
		p.tell(e, worker.Name, kept, wire.VerdictGone, 0)
		return kept, false
	case kept.State == residentLeaving && at < 0:
		return kept, false
	case kept.State == residentLeaving && (restarted || !p.goes(worker.Name, kept)):
		kept.State = residentReady
		p.tell(e, worker.Name, kept, wire.VerdictKept, 0)
	case kept.State == residentReady && !ready:
		kept.State, kept.Turn = residentLoading, -1
	case (kept.State == residentQueued || kept.State == residentAsked) && ready:
		kept.State = residentReady
		p.tell(e, worker.Name, kept, wire.VerdictKept, 0)
	}
	return kept, true
}

// goes tells whether T holds the order by which an item goes, itself or with its
// model.
func (p *Partition) goes(worker string, kept wire.Resident) bool {
	return slices.ContainsFunc(p.state.Tasks, func(t wire.Task) bool {
		return t.Worker == worker && t.Op == "unload" && (t.Item == kept.Item || t.Item == kept.Base)
	})
}

// ordered tells whether T holds the order of a load.
func (p *Partition) ordered(worker string, seq int64) bool {
	return slices.ContainsFunc(p.state.Tasks, func(t wire.Task) bool { return t.Worker == worker && t.Seq == seq })
}

// adopt takes in what a worker holds that nobody here ordered: it was loaded
// under an owner before this one.
func (p *Partition) adopt(now int64, e *effects, worker *wire.WorkerState, loaded wire.Loaded) {
	kept := wire.Resident{Item: loaded.Item, Base: p.view.Policy.Items[loaded.Item].Base, SizeMb: loaded.SizeMb, State: residentLoading, Weight: 1, UsedMs: now, SinceMs: now, Turn: -1}
	if loaded.Ready {
		kept.State = residentReady
	}
	worker.Residents = append(worker.Residents, kept)
	p.tell(e, worker.Name, kept, verdictOf(kept), 0)
}

func (p *Partition) lost(e *effects, worker *wire.WorkerState, kept wire.Resident) {
	p.permitBack(e, worker, kept, true)
	if kept.State != residentLeaving {
		p.tell(e, worker.Name, kept, wire.VerdictGone, 0)
	}
}

// permitBack returns the turn of a load; unknown says that the load may still
// be running.
func (p *Partition) permitBack(e *effects, worker *wire.WorkerState, kept wire.Resident, unknown bool) {
	if kept.State != residentLoading || kept.Turn < 0 {
		return
	}
	p.say(e, wire.KindPermitBack, StoreKey, &wire.PermitBack{Worker: worker.Name, Turn: kept.Permit, Ask: kept.Turn, Unknown: unknown})
}
