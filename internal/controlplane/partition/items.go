package partition

import (
	"slices"

	"applequay/internal/transport/wire"
)

// States of a home, as the item's key sees it.
const (
	homeAsked = iota
	homeComing
	homeKept
)

func (p *Partition) wanted(now int64, item wire.ItemState) bool {
	return p.waitedFor(now, item) || (p.view.Demands.Of(item.Name).worth() >= leastWorth/4 && p.roomAnyway(item.Name))
}

// roomAnyway tells whether a worker has free room for an item: what nobody
// waits for comes back only there, since it would push out what is as rare.
func (p *Partition) roomAnyway(name string) bool {
	need := p.view.Policy.NeedMb(name)
	return p.anyRoom(func(worker string, room wire.WorkerNews) bool {
		return room.RoomMb-room.UsedMb >= need && p.able(name, p.view.Workers[worker])
	})
}

// anyRoom tells whether something holds for any worker that was looked at.
func (p *Partition) anyRoom(holds func(worker string, room wire.WorkerNews) bool) bool {
	for worker, room := range p.view.Rooms {
		if holds(worker, room) {
			return true
		}
	}
	return false
}

// waitedFor tells whether an item is not only worth having, but asked for now.
func (p *Partition) waitedFor(now int64, item wire.ItemState) bool {
	return item.OpenMs > now || (item.WantedMs > 0 && now-item.WantedMs < p.limits.WantMs) || p.demanded(now, item.Name)
}

// demanded tells whether clients ask for an item now.
func (p *Partition) demanded(now int64, name string) bool {
	asked := p.view.Demands.Of(name)
	return asked.LastMs > 0 && now-asked.LastMs < p.limits.IdleMs
}

// lacks tells whether an item has fewer homes than it should have, or one that
// was asked for and is not there yet.
func (p *Partition) lacks(now int64, item wire.ItemState) bool {
	return p.wanted(now, item) && now >= item.RetryMs && (len(item.Homes) < p.wish(now, item) ||
		slices.ContainsFunc(item.Homes, func(h wire.HomeState) bool { return h.State != homeKept && now-h.SinceMs >= p.limits.LeaseMs/4 }))
}

// stepItem is the step of a model's or an adapter's key: it chooses workers.
func (p *Partition) stepItem(now int64, e *effects, name string, messages []wire.Buffered) {
	item := p.state.Items[name]
	item.Name, item.Homes = name, slices.Clone(item.Homes)
	for _, message := range messages {
		body, err := wire.Decode(wire.Kind(message.Kind), message.Body)
		if err != nil {
			continue
		}
		switch told := body.(type) {
		case *wire.Want:
			if !p.wanted(now, item) {
				item.Weight, item.Copies = 0, 0
			}
			item.Weight = max(item.Weight, told.Weight)
			if told.Opening {
				item.OpenMs, item.Copies = now+told.UntilMs, max(item.Copies, told.Copies)
				p.askAgain(now, e, &item, 0)
			} else {
				item.WantedMs, item.Held = now, told.Held
			}
		case *wire.HomeTold:
			p.heardHome(now, e, &item, told)
		}
	}
	p.noteLack(now, item)
	p.place(now, e, &item)
	e.step.Items = append(e.step.Items, item)
}

// place asks for as many homes as the item should have, all at once.
func (p *Partition) place(now int64, e *effects, item *wire.ItemState) {
	if _, known := p.view.Policy.Items[item.Name]; !known || !p.wanted(now, *item) || now < item.RetryMs {
		return
	}
	again := p.limits.LeaseMs
	if p.view.Demands.Known() {
		again /= 4 // what it is worth changes
	}
	p.askAgain(now, e, item, again)
	wish := p.wish(now, *item)
	for len(item.Homes) < wish {
		chosenWorker := p.chooseWorker(now, *item)
		if chosenWorker == "" {
			item.RetryMs = now + p.limits.RetryMs/2
			return
		}
		item.NextAsk++
		home := wire.HomeState{Worker: chosenWorker, State: homeAsked, Ask: p.askName(item.NextAsk), SinceMs: now}
		item.Homes = append(item.Homes, home)
		p.askHome(now, e, item.Name, *item, home)
	}
}

// growTimes is how many times its homes that are there an item may have at once.
const growTimes = 2

// firstCopies is how many homes an item that stands nowhere may get at once.
const firstCopies = 3

// wish is how many homes an item should have.
func (p *Partition) wish(now int64, item wire.ItemState) int {
	wish, kept := 1, 0
	for _, home := range item.Homes {
		if home.State == homeKept {
			kept++
		}
	}
	if item.OpenMs > now {
		wish = max(wish, int(item.Copies))
	}
	if kept == len(item.Homes) && now-item.WantedMs < p.limits.WantMs {
		wish = max(wish, min(kept+1, 1+int(item.Held/p.limits.HeldPerCopy)))
	}
	if kept == 0 {
		// What stands nowhere and many wait for comes to several workers at once.
		wish = max(wish, min(int(p.copies(item.Name)), firstCopies))
	} else {
		// Demand for copies that are still to come shows as a queue at those that are
		// there: the number grows by steps.
		wish = max(wish, min(int(p.copies(item.Name)), growTimes*kept+1))
		if kept == len(item.Homes) && wish <= kept && p.spare(item.Name, kept) {
			wish = kept + 1
		}
	}
	if wish <= max(len(item.Homes), 1) {
		return wish
	}
	return min(wish, int(p.candidates(item.Name)))
}

// spare tells whether a busy model may have one more copy because a worker has
// room for it anyway.
func (p *Partition) spare(name string, kept int) bool {
	known := p.view.Policy.Items[name]
	slots := p.view.Policy.Pools[known.Pool].Slots
	if known.Base != "" || slots == 0 || p.view.Demands.Of(name).Live*spareShare < slots*int64(kept) {
		return false
	}
	return p.anyRoom(func(worker string, room wire.WorkerNews) bool {
		return room.RoomMb-room.UsedMb >= known.SizeMb && p.able(name, p.view.Workers[worker]) && !holds(room, name)
	})
}

// askAgain repeats what was asked for as long as it is wanted, so that workers'
// keys can tell what is waited for from what is not any more. With no age it
// repeats all.
func (p *Partition) askAgain(now int64, e *effects, item *wire.ItemState, age int64) {
	for at := range item.Homes {
		home := &item.Homes[at]
		if age == 0 || (home.State != homeKept && now-home.SinceMs >= age) {
			home.SinceMs = now
			p.askHome(now, e, item.Name, *item, *home)
		}
	}
}

// askHome asks a worker's key for a home; how long an opening still lasts is
// told as a span, since clocks differ.
func (p *Partition) askHome(now int64, e *effects, name string, item wire.ItemState, home wire.HomeState) {
	known, ok := p.view.Policy.Items[name]
	if !ok {
		return
	}
	worth, extra := p.askedWorth(now, item, home)
	p.say(e, wire.KindHomeAsk, WorkerKey(home.Worker), &wire.HomeAsk{
		Item: name, Base: known.Base, SizeMb: known.SizeMb, BaseSizeMb: p.view.Policy.Items[known.Base].SizeMb,
		Weight: max(item.Weight, p.view.Demands.Of(name).Weight, 1), UntilMs: max(item.OpenMs-now, 0), Ask: home.Ask, Worth: worth, Extra: extra,
	})
}

// mostRefusals is how many workers are asked in a row: all, or only those that
// fit best where what they hold can be weighed.
func (p *Partition) mostRefusals(name string) int64 {
	if p.view.Demands.Known() {
		return min(p.candidates(name), 3)
	}
	return p.candidates(name)
}

func (p *Partition) candidates(name string) int64 {
	var count int64
	for _, worker := range p.view.Workers {
		if p.able(name, worker) {
			count++
		}
	}
	return max(count, 1)
}

func (p *Partition) able(name string, worker wire.Worker) bool {
	room, known := p.view.Rooms[worker.Name]
	return known && !room.Dark && !room.Leaving && !worker.Leaving &&
		worker.Pool == p.view.Policy.Items[name].Pool && room.RoomMb >= p.view.Policy.NeedMb(name)
}
