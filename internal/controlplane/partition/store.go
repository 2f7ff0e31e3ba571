package partition

import (
	"cmp"
	"slices"

	"applequay/internal/transport/wire"
)

// stepStore is the step of the weight store's key: it owns a fixed number of
// turns. They are paced at the store's rate shared by their number, or, where
// the policy says how many loads may begin, all together at that.
func (p *Partition) stepStore(now int64, e *effects, messages []wire.Buffered) {
	store := p.cloneStore()
	p.setTurns(now, &store)
	for _, message := range messages {
		body, err := wire.Decode(wire.Kind(message.Kind), message.Body)
		if err != nil {
			continue
		}
		switch told := body.(type) {
		case *wire.PermitAsk:
			same := func(a wire.PermitAsk) bool { return a.Worker == told.Worker && a.Ask == told.Ask }
			held := func(t wire.Turn) bool { return t.Busy && t.Worker == told.Worker && t.Ask == told.Ask }
			if at := slices.IndexFunc(store.Turns, held); at >= 0 {
				p.say(e, wire.KindPermitGiven, WorkerKey(told.Worker), &wire.PermitGiven{Worker: told.Worker, Item: told.Item, Turn: int64(at), Ask: told.Ask})
			} else if at := slices.IndexFunc(store.Queue, same); at >= 0 {
				// It is asked for more by now.
				store.Queue[at].Weight = told.Weight
			} else {
				store.Queue = append(store.Queue, *told)
			}
		case *wire.PermitBack:
			p.takeBack(now, &store, told)
		}
	}
	p.giveTurns(now, e, &store)
	e.step.Stores = []wire.StoreState{store}
}

func (p *Partition) cloneStore() wire.StoreState {
	store := p.state.Store
	store.Turns, store.Queue = slices.Clone(store.Turns), slices.Clone(store.Queue)
	return store
}

// setTurns follows the policy's number of turns. New ones, and all of them
// while what went before is unknown, wait a whole period.
func (p *Partition) setTurns(now int64, store *wire.StoreState) {
	wish := int(p.turns())
	fresh := len(store.Turns) == 0
	for len(store.Turns) < wish {
		turn := wire.Turn{FreeMs: now}
		period := p.period("", p.view.Policy.LargestMb())
		switch {
		case !fresh:
			turn.FreeMs = now + period
		case !p.first():
			// An order may leave for half a lease yet under a permit of the owner
			// before, and its load then takes its whole period.
			turn.FreeMs = p.since + max(p.limits.LeaseMs, period+p.limits.LeaseMs/2)
			if p.gapUs() > 0 {
				// Here the pace bounds what begins, and a period is twice a load.
				turn.FreeMs = p.since + max(p.limits.LeaseMs, period)
			}
		}
		store.Turns = append(store.Turns, turn)
	}
	for len(store.Turns) > wish && !store.Turns[len(store.Turns)-1].Busy {
		store.Turns = store.Turns[:len(store.Turns)-1]
	}
}

func (p *Partition) takeBack(now int64, store *wire.StoreState, told *wire.PermitBack) {
	if told.Turn < 0 || told.Turn >= int64(len(store.Turns)) {
		return
	}
	turn := &store.Turns[told.Turn]
	if !turn.Busy || turn.Worker != told.Worker || turn.Ask != told.Ask {
		return
	}
	turn.Busy = false
	if told.Unknown {
		turn.FreeMs = max(turn.FreeMs, now+p.period(turn.Item, turn.SizeMb))
	}
}

func (p *Partition) giveTurns(now int64, e *effects, store *wire.StoreState) {
	if p.view.Policy.Version == 0 {
		return
	}
	slices.SortStableFunc(store.Queue, func(a, b wire.PermitAsk) int { return cmp.Compare(b.Weight, a.Weight) })
	for at := range store.Turns {
		turn := &store.Turns[at]
		if turn.Busy || turn.FreeMs > now || len(store.Queue) == 0 || at >= int(p.turns()) || !p.mayBegin(now, store) {
			continue
		}
		asked := store.Queue[0]
		store.Queue = slices.Clone(store.Queue[1:])
		*turn = wire.Turn{Worker: asked.Worker, Item: asked.Item, Ask: asked.Ask, Busy: true, SizeMb: asked.SizeMb, FreeMs: now}
		if p.gapUs() == 0 {
			turn.FreeMs = now + p.view.Policy.Store.PaceMs(asked.SizeMb)
		}
		p.begins(now, store)
		p.say(e, wire.KindPermitGiven, WorkerKey(asked.Worker), &wire.PermitGiven{Worker: asked.Worker, Item: asked.Item, Turn: int64(at), Ask: asked.Ask})
	}
}

// forgetAskers drops what workers of a partition asked before its owner under
// this fence; turns they had are unknown and wait a whole period. What the new
// owner itself asked already, before its fence was heard of here, stays.
func (p *Partition) forgetAskers(now int64, e *effects, partition, fence int64) {
	store := p.cloneStore()
	old := func(worker string, ask int64) bool {
		return Of(WorkerKey(worker), p.view.Count) == partition && ask&fenceBits != fence&fenceBits
	}
	store.Queue = slices.DeleteFunc(store.Queue, func(a wire.PermitAsk) bool { return old(a.Worker, a.Ask) })
	for at := range store.Turns {
		if turn := &store.Turns[at]; turn.Busy && old(turn.Worker, turn.Ask) {
			turn.Busy = false
			turn.FreeMs = now + p.period(turn.Item, turn.SizeMb)
		}
	}
	e.step.Stores = []wire.StoreState{store}
}
