package simulation

import (
	"slices"
	"strings"

	"applequay/internal/transport/wire"
)

// glimpse is what a single worker showed at a moment.
type glimpse struct {
	at, taken int64
	busy      bool
	loaded    []wire.Loaded
}

// lagMs is how old at most is what a single worker shows.
const lagMs = 300

// takeSingle carries out one order at a time, if its count is right. A look does
// not raise the fence; no order is put in a line.
func (k *worker) takeSingle(e *controllerNode, order *wire.Order) {
	w := k.world
	seen := &wire.Seen{Partition: order.Partition, Worker: k.Name, Fence: order.Fence, RoomMb: w.Shape.RoomMb, Born: k.born, OrderOk: true, Single: true}
	if order.Op == "look" {
		k.glance(seen, w.NowMs-w.Random.Int63n(lagMs))
		k.tell(e, seen)
		return
	}
	tried := *order
	tried.Op = "try"
	w.facts.ordered(w.NowMs, k, e, &tried)
	seen.Bare, seen.OrderSeq, seen.Taken = true, order.Seq, order.Taken
	_, there := k.items[order.Item]
	switch {
	case order.Fence < k.fence:
		seen.OrderOk = false
	case w.NowMs < k.busyTo || order.Taken != k.taken:
		seen.OrderOk, seen.Busy = false, true
	case there == (order.Op == "load"):
	default:
		if order.Base != "" && !k.ready(order.Base) {
			seen.OrderOk = false
			break
		}
		k.note()
		k.taken++
		seen.Taken++
		order.Seq = k.taken
		k.seq = 0
		why := k.obey(e, order)
		k.busyTo = w.NowMs + 20
		if one := k.items[order.Item]; why == "" && one != nil {
			k.busyTo = one.readyAt
		}
		k.note()
		w.At(k.busyTo, k.note)
	}
	k.fence = max(k.fence, order.Fence)
	k.tell(e, seen)
}

// note remembers what the worker shows now.
func (k *worker) note() {
	now := glimpse{at: k.world.NowMs, taken: k.taken, busy: k.world.NowMs < k.busyTo}
	for name, one := range k.items {
		if k.ready(name) {
			now.loaded = append(now.loaded, wire.Loaded{Item: name, Ready: true, SizeMb: one.sizeMb})
		}
	}
	slices.SortFunc(now.loaded, func(a, b wire.Loaded) int { return strings.Compare(a.Item, b.Item) })
	k.past = append(k.past, now)
	k.past = k.past[max(len(k.past)-20, 0):]
}

// glance shows what was last noted at a moment or before.
func (k *worker) glance(seen *wire.Seen, at int64) {
	for _, one := range k.past {
		if one.at <= at {
			seen.Taken, seen.Busy, seen.Loaded = one.taken, one.busy, one.loaded
		}
	}
}

// list reads the platform's list, as the daemon does over HTTP.
func (e *controllerNode) list(version int64) {
	w := e.world
	if w.Cuts[[2]string{e.Addr, "platform"}] {
		return
	}
	life := e.Life
	w.After(1+w.Random.Int63n(5), func() {
		list := &wire.WorkerList{Workers: slices.Clone(w.listed)}
		slices.SortFunc(list.Workers, func(a, b wire.Worker) int { return strings.Compare(a.Name, b.Name) })
		w.After(1+w.Random.Int63n(5), func() {
			if e.Up && e.Life == life {
				e.On(func() { e.perform(e.core.Platform(e.Clock(), version, list)) })
			}
		})
	})
}
