package partition

import (
	"cmp"
	"maps"
	"slices"

	"applequay/internal/transport/wire"
)

// polls looks at each worker whose key is here. A look carries the fence, so
// from its answer on the worker refuses orders of earlier owners.
func (p *Partition) polls(now int64, out *wire.Outputs) {
	for _, name := range sorted(p.view.Workers) {
		worker := p.view.Workers[name]
		if Of(WorkerKey(name), p.view.Count) != p.state.Partition || !p.view.Policy.TakesModels(worker.Pool) {
			continue
		}
		if kept, ok := p.state.Workers[name]; worker.Leaving {
			if ok && !kept.Left {
				out.Add(p.Seen(now, &wire.Seen{Worker: name, Left: true, OrderOk: true}))
			}
			continue
		}
		if last, ok := p.polled[name]; ok && now-last < p.pause(now, name, last) {
			continue
		}
		if now-p.silentSince(now, name) > p.limits.DarkMs {
			if !p.state.Workers[name].Dark {
				out.Add(p.Seen(now, &wire.Seen{Worker: name, Dark: true, OrderOk: true}))
			}
		}
		p.polled[name] = now
		// A look tells nothing that is not durable: the fence is the register's.
		// So a slow disk does not make workers seem dark.
		out.Send(orderTo, wire.KindOrder, &wire.Order{Partition: p.state.Partition, Worker: name, Addr: worker.Addr, Fence: p.state.Fence, Op: "look"})
	}
	for _, name := range sorted(p.state.Workers) {
		if _, listed := p.view.Workers[name]; !listed && !p.state.Workers[name].Left {
			out.Add(p.Seen(now, &wire.Seen{Worker: name, Left: true, OrderOk: true}))
		}
	}
}

// silentSince is since when a worker may have been dark: since it was heard last,
// or since the first look without an answer, where looks are few.
func (p *Partition) silentSince(now int64, name string) int64 {
	if _, ok := p.silent[name]; !ok {
		p.silent[name] = now
	}
	if p.track(name).single {
		return p.silent[name]
	}
	return cmp.Or(p.heard[name], p.since)
}

// pause is how long to wait after a look at a worker. Its turn of the store is
// held until a load is seen to be done, so it is looked at just then, and often
// for a while; a worker at rest is looked at seldom.
func (p *Partition) pause(now int64, name string, last int64) int64 {
	at := p.track(name)
	for _, task := range p.state.Tasks {
		sent := p.sentAt[task.ID]
		if task.Worker != name || sent == 0 || (task.Op != "load" && !at.single) {
			continue
		}
		done := sent + task.SizeMb*1000/max(task.MbPerS, 1)
		if at.single {
			done = sent + p.tookMs(at, task)
		}
		if now >= done && last < done {
			return 0
		}
		if now >= done && at.single {
			return p.limits.PollMs / 4
		}
		if now >= done && now < done+4*p.limits.PollMs {
			return p.limits.PollMs / 8
		}
		return p.limits.PollMs
	}
	switch {
	case at.busy, at.single && at.lookMs <= max(at.turnedMs, at.takenMs):
		return p.limits.PollMs / 4
	case p.heard[name] >= last && p.state.Workers[name].Known && p.quietWorker(name):
		if at.single {
			return 4 * p.limits.PollMs
		}
		return 2 * p.limits.PollMs
	}
	return p.limits.PollMs
}

// tookMs is how long at least an order will take that a worker has taken.
func (p *Partition) tookMs(at *track, task wire.Task) int64 {
	if task.Op != "load" || !at.took[task.ID] {
		return p.limits.PollMs / 4
	}
	for _, kept := range p.state.Workers[task.Worker].Residents {
		if kept.Item == task.Item && kept.Turn >= 0 {
			return p.view.Policy.Items[task.Item].LoadMs * 7 / 8
		}
	}
	return p.limits.PollMs / 4
}

// quietWorker tells whether nothing is on its way to or from a worker.
func (p *Partition) quietWorker(name string) bool {
	return !slices.ContainsFunc(p.state.Workers[name].Residents, func(r wire.Resident) bool { return r.State != residentReady })
}

// orderTo is the receiver of orders: the daemon hands them to the worker.
const orderTo = "worker"

// waited tells whether an owner before this one is a whole lease away from a
// worker: the worker was looked at under this fence so long ago, or no other
// owner can have been. The wait is over for good once it was noted in the
// worker's state, so a restart in the middle of it begins it again.
func (p *Partition) waited(now int64, name string) bool {
	looked, ok := p.looked[name]
	return p.first() || p.state.Workers[name].Opened == p.state.Fence || (ok && now >= looked+p.limits.LeaseMs)
}

// mayOrder tells whether a turn on a worker may be taken.
func (p *Partition) mayOrder(now int64, name string) bool {
	_, looked := p.looked[name]
	worker := p.state.Workers[name]
	return looked && worker.Known && !worker.Dark && !worker.Left && p.waited(now, name)
}

// dispatch sends the orders in T, one worker's in their order; an order that
// shows no effect is sent again.
func (p *Partition) dispatch(now int64, out *wire.Outputs) {
	for _, task := range p.state.Tasks {
		worker, listed := p.view.Workers[task.Worker]
		if !listed || worker.Leaving || now < task.NotBeforeMs || !p.mayOrder(now, task.Worker) || (p.sentAt[task.ID] > 0 && now-p.sentAt[task.ID] < 2*p.limits.PollMs) {
			continue
		}
		if at := p.track(task.Worker); (at.single && !p.mayHand(now, task)) || (!at.single && p.waits(task)) {
			continue
		}
		if p.overrun(task) {
			// One that did not arrive gives its permit back as one that never left.
			delete(p.sentAt, task.ID)
			continue
		}
		p.sentAt[task.ID] = now
		out.After(orderTo, wire.KindOrder, &wire.Order{Partition: p.state.Partition, Worker: task.Worker, Addr: worker.Addr, Fence: p.state.Fence,
			Seq: task.Seq, Op: task.Op, Item: task.Item, Base: task.Base, SizeMb: task.SizeMb, MbPerS: task.MbPerS, LoadMs: p.view.Policy.Items[task.Item].LoadMs, Taken: p.track(task.Worker).taken})
	}
}

// mostSent is how many sendings of tasks that are done are remembered at most.
const mostSent = 64

// forgetSent drops what was noted of the orders of tasks that are done. What was
// noted of the others stays: an order that left is never taken for one that did
// not.
func (p *Partition) forgetSent() {
	if len(p.sentAt)+len(p.left) <= 2*(len(p.state.Tasks)+mostSent) {
		return
	}
	open := map[int64]bool{}
	for _, task := range p.state.Tasks {
		open[task.ID] = true
	}
	maps.DeleteFunc(p.sentAt, func(id, _ int64) bool { return !open[id] })
	maps.DeleteFunc(p.left, func(id int64, _ bool) bool { return !open[id] })
}

// Leaves tells whether an order may leave now that the journal has let it go. A
// load leaves for the first time within half a lease of its permit, or not at
// all: its permit then goes back (see expire).
//
//	if owned.Leaves(now, order) { ... }
func (p *Partition) Leaves(now int64, order *wire.Order) bool {
	if order.Op != "load" {
		return true
	}
	at := slices.IndexFunc(p.state.Tasks, func(t wire.Task) bool { return t.Worker == order.Worker && t.Seq == order.Seq })
	if at < 0 {
		return false
	}
	task := p.state.Tasks[at]
	late := slices.ContainsFunc(p.state.Workers[task.Worker].Residents, func(r wire.Resident) bool {
		return r.State == residentLoading && r.Seq == task.Seq && r.Turn >= 0 && now-r.SinceMs > p.limits.LeaseMs/2
	})
	if late && !p.left[task.ID] {
		delete(p.sentAt, task.ID)
		return false
	}
	p.left[task.ID] = true
	return true
}

// waits tells whether an order must let another go first: the worker takes
// them in their order, and refuses one older than the last it took.
func (p *Partition) waits(task wire.Task) bool {
	return p.acked[task.Worker] >= task.Seq || slices.ContainsFunc(p.state.Tasks, func(other wire.Task) bool {
		return other.Worker == task.Worker && other.Seq < task.Seq && p.acked[task.Worker] < other.Seq
	})
}
