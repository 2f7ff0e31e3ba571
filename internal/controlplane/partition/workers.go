package partition

import (
	"cmp"
	"slices"

	"applequay/internal/transport/wire"
)

// States of what a worker has or will have. Pending ones came before the worker
// was first looked at. Queued ones wait for room, their
// model and a permit; asked ones wait for the permit's turn.
const (
	residentPending = iota
	residentQueued
	residentAsked
	residentLoading
	residentReady
	residentLeaving
)

func verdictOf(resident wire.Resident) wire.Verdict {
	if resident.State == residentReady {
		return wire.VerdictKept
	}
	return wire.VerdictComing
}

func (p *Partition) tell(e *effects, worker string, resident wire.Resident, verdict wire.Verdict, retryMs int64) {
	p.say(e, wire.KindHomeTold, ItemKey(resident.Item), &wire.HomeTold{Item: resident.Item, Worker: worker, Verdict: int64(verdict), Ask: resident.Ask, RetryMs: retryMs})
}

func (p *Partition) askPermit(e *effects, worker string, resident wire.Resident) {
	p.say(e, wire.KindPermitAsk, StoreKey, &wire.PermitAsk{Worker: worker, Item: resident.Item, SizeMb: resident.SizeMb, Weight: rank(resident), Ask: resident.Turn})
}

// stepWorker is the step of a worker's key, which alone orders that worker.
func (p *Partition) stepWorker(now int64, e *effects, name string, messages []wire.Buffered) {
	worker := p.state.Workers[name]
	worker.Name, worker.Residents = name, slices.Clone(worker.Residents)
	for _, message := range messages {
		body, err := wire.Decode(wire.Kind(message.Kind), message.Body)
		if err != nil {
			continue
		}
		switch told := body.(type) {
		case *wire.HomeAsk:
			p.askedHome(now, e, &worker, told)
		case *wire.PermitGiven:
			p.permitted(now, e, &worker, told)
		case *wire.Use:
			if at := resident(&worker, told.Item); at >= 0 {
				worker.Residents[at].UsedMs = now
				worker.Residents[at].Weight = told.Weight
			}
		case *wire.Seen:
			p.saw(now, e, &worker, told)
		}
	}
	p.expire(now, e, &worker)
	p.advance(now, e, &worker)
	e.step.Workers = append(e.step.Workers, worker)
}

func resident(worker *wire.WorkerState, item string) int {
	return slices.IndexFunc(worker.Residents, func(r wire.Resident) bool { return r.Item == item })
}

func (p *Partition) askedHome(now int64, e *effects, worker *wire.WorkerState, asked *wire.HomeAsk) {
	fresh := wire.Resident{Item: asked.Item, Base: asked.Base, SizeMb: asked.SizeMb, State: residentQueued, Weight: asked.Weight, UsedMs: now, SinceMs: now, UntilMs: now + asked.UntilMs, Ask: asked.Ask, Worth: asked.Worth, Extra: asked.Extra}
	base := resident(worker, asked.Base)
	if at := resident(worker, asked.Item); at >= 0 && worker.Residents[at].State == residentQueued && asked.Base != "" && base < 0 {
		// Its model went, so both are asked for anew.
		worker.Residents = slices.Delete(worker.Residents, at, at+1)
	}
	if at := resident(worker, asked.Item); at >= 0 && worker.Residents[at].State != residentLeaving {
		kept := &worker.Residents[at]
		if base >= 0 {
			worker.Residents[base].UsedMs = now
		}
		was := rank(*kept)
		kept.Worth, kept.Extra = asked.Worth, asked.Extra
		if kept.State == residentAsked && rank(*kept) >= 2*was {
			p.askPermit(e, worker.Name, *kept)
		}
		kept.Ask, kept.Weight, kept.UsedMs, kept.UntilMs = asked.Ask, max(kept.Weight, asked.Weight), now, max(kept.UntilMs, now+asked.UntilMs)
		p.tell(e, worker.Name, *kept, verdictOf(*kept), 0)
		return
	} else if at < 0 && !worker.Known && !worker.Left && !worker.Dark {
		fresh.State = residentPending
		worker.Residents = append(worker.Residents, fresh)
		return
	} else if at >= 0 || worker.Left || worker.Dark {
		p.tell(e, worker.Name, fresh, wire.VerdictRefused, p.limits.RetryMs)
		return
	}
	add := []wire.Resident{fresh}
	if asked.Base != "" && base < 0 {
		model := fresh
		model.Item, model.Base, model.SizeMb, model.Ask = asked.Base, "", asked.BaseSizeMb, 0
		add = []wire.Resident{model, fresh}
	} else if asked.Base != "" && worker.Residents[base].State == residentLeaving {
		p.tell(e, worker.Name, fresh, wire.VerdictRefused, p.limits.RetryMs)
		return
	}
	if !p.makeWay(now, e, worker, add) {
		if changing(worker) {
			p.tell(e, worker.Name, fresh, wire.VerdictBusy, 0)
			return
		}
		retry := p.limits.KeepMs
		if p.view.Demands.Known() {
			// Its worth rises while it waits.
			retry = p.limits.RetryMs
		}
		p.tell(e, worker.Name, fresh, wire.VerdictRefused, retry)
		return
	}
	worker.Residents = append(worker.Residents, add...)
	p.tell(e, worker.Name, fresh, wire.VerdictComing, 0)
}

func (p *Partition) order(e *effects, worker *wire.WorkerState, task wire.Task) {
	worker.Seq++
	task.ID = p.state.NextTask + int64(len(e.step.Tasks)) + 1
	task.Worker, task.Seq = worker.Name, worker.Seq
	e.step.Tasks = append(e.step.Tasks, task)
}

// wantedStill tells whether something not yet loaded is still waited for: items
// ask again for as long as it is.
func (p *Partition) wantedStill(now int64, kept wire.Resident) bool {
	return kept.UntilMs > now || now-kept.UsedMs <= 2*p.limits.LeaseMs
}

// expire gives back permits whose orders did not leave within half a lease. An
// order must not leave much later than its turn was given: a new owner of the
// store's key, which does not know of the turn, waits no longer than a lease.
func (p *Partition) expire(now int64, e *effects, worker *wire.WorkerState) {
	for _, task := range p.state.Tasks {
		if task.Worker != worker.Name || task.Op != "load" || p.sentAt[task.ID] > 0 || slices.Contains(e.step.Done, task.ID) {
			continue
		}
		at := slices.IndexFunc(worker.Residents, func(r wire.Resident) bool { return r.State == residentLoading && r.Seq == task.Seq })
		if at >= 0 && now-worker.Residents[at].SinceMs > p.limits.LeaseMs/2 {
			p.permitBack(e, worker, worker.Residents[at], p.left[task.ID])
			worker.Residents[at].State = residentQueued
			e.step.Done = append(e.step.Done, task.ID)
		}
	}
}

// advance asks for permits, heaviest first, for what has room and its model,
// once orders may be given at all: a turn is not to be held while this waits.
// What nobody waits for any more goes without having been loaded.
func (p *Partition) advance(now int64, e *effects, worker *wire.WorkerState) {
	if worker.Left || worker.Dark || !worker.Known || !p.waited(now, worker.Name) {
		return
	}
	worker.Residents = slices.DeleteFunc(worker.Residents, func(kept wire.Resident) bool {
		gone := kept.State == residentQueued && !p.wantedStill(now, kept)
		if gone {
			p.tell(e, worker.Name, kept, wire.VerdictGone, 0)
		}
		return gone
	})
	order := make([]int, 0, len(worker.Residents))
	for at, kept := range worker.Residents {
		if kept.State == residentQueued {
			order = append(order, at)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(rank(worker.Residents[b]), rank(worker.Residents[a])) })
	for _, at := range order {
		kept := &worker.Residents[at]
		if kept.Base != "" {
			base := resident(worker, kept.Base)
			if base < 0 || worker.Residents[base].State != residentReady {
				continue
			}
		}
		if !p.fits(worker, *kept) {
			continue
		}
		if p.track(worker.Name).single && !p.atRest(now, worker) && !(p.view.Policy.Items[kept.Item].Light && p.lightOnly(now, worker)) {
			return
		}
		if p.free(worker, *kept) {
			kept.Turn = -1
			p.load(now, e, worker, kept)
			continue
		}
		worker.NextAsk++
		kept.State, kept.Turn = residentAsked, p.askName(worker.NextAsk)
		p.askPermit(e, worker.Name, *kept)
	}
}

// fenceBits of an ask's name are those of the fence under which it was asked.
const fenceBits = 0xffff

func (p *Partition) askName(number int64) int64 { return number<<16 | p.state.Fence&fenceBits }

// permitted turns a permit into a load order, or gives it back.
func (p *Partition) permitted(now int64, e *effects, worker *wire.WorkerState, given *wire.PermitGiven) {
	at := slices.IndexFunc(worker.Residents, func(r wire.Resident) bool { return r.State == residentAsked && r.Turn == given.Ask })
	if at >= 0 && !p.wantedStill(now, worker.Residents[at]) {
		worker.Residents[at].State, at = residentQueued, -1
	}
	if at < 0 || worker.Left || worker.Dark {
		if !slices.ContainsFunc(worker.Residents, func(r wire.Resident) bool { return r.State == residentLoading && r.Turn == given.Ask }) {
			p.say(e, wire.KindPermitBack, StoreKey, &wire.PermitBack{Worker: worker.Name, Turn: given.Turn, Ask: given.Ask})
		}
		return
	}
	worker.Residents[at].Permit = given.Turn
	p.load(now, e, worker, &worker.Residents[at])
}

// load orders a load.
func (p *Partition) load(now int64, e *effects, worker *wire.WorkerState, kept *wire.Resident) {
	kept.State, kept.SinceMs, kept.Seq = residentLoading, now, worker.Seq+1
	store := p.view.Policy.Store
	p.order(e, worker, wire.Task{Op: "load", Item: kept.Item, Base: kept.Base, SizeMb: kept.SizeMb, MbPerS: max(store.MbPerS/max(store.Turns, 1), 1)})
}
