package simulation

import (
	"slices"

	"applequay/internal/transport/wire"
)

// worker is a simulated model worker, as the workers' interface says.
type worker struct {
	node
	born       string
	fence, seq int64
	items      map[string]*loaded
	// orderedAt is when the last order came, beforeAt the last of a lower fence.
	orderedAt, beforeAt int64
	// Of single workers: orders taken, until when one is under way, and what was
	// shown when.
	taken, busyTo int64
	past          []glimpse
}

type loaded struct {
	sizeMb  int64
	base    string
	readyAt int64
}

func (w *World) addWorker(name string) {
	one := &worker{items: map[string]*loaded{}}
	one.node = w.newNode(name, name+":1")
	one.Up = true
	one.reborn()
	w.workers = append(w.workers, one)
	w.Add(&one.Node)
	w.listed = append(w.listed, wire.Worker{Name: name, Addr: one.Addr, Zone: "z0", Pool: "llm", RoomMb: w.Shape.RoomMb})
}

func (k *worker) reborn() {
	k.born = k.Name + "/" + string(rune('a'+k.world.Random.Intn(26))) + string(rune('a'+k.world.Random.Intn(26))) + string(rune('a'+k.world.Random.Intn(26)))
	k.fence, k.seq, k.items = 0, 0, map[string]*loaded{}
	k.orderedAt, k.beforeAt = k.world.NowMs, k.world.NowMs
	k.taken, k.busyTo, k.past = 0, 0, nil
	k.Life++
	k.Up = true
}

func (w *World) worker(name string) *worker {
	for _, one := range w.workers {
		if one.Name == name {
			return one
		}
	}
	return nil
}

func (k *worker) used() int64 {
	var sum int64
	for _, one := range k.items {
		sum += one.sizeMb
	}
	return sum
}

func (k *worker) ready(item string) bool {
	one, ok := k.items[item]
	return ok && one.readyAt <= k.world.NowMs
}

// order carries a controller's order to a worker and the answer back.
func (e *controllerNode) order(order *wire.Order) {
	w := e.world
	until, may := e.core.May(e.Clock(), order)
	k := w.worker(order.Worker)
	if !may || k == nil {
		return
	}
	sent := *order
	// As in the daemon, the order may wait in a line; it leaves only in time.
	life := e.Life
	w.After(w.Random.Int63n(3), func() {
		e.On(func() {
			if e.Life != life || e.Clock() >= until || w.Cuts[[2]string{e.Addr, k.Addr}] {
				return
			}
			w.After(1+w.Random.Int63n(w.DelayMs*2), func() {
				if !k.Up {
					return
				}
				k.On(func() { k.take(e, &sent) })
			})
		})
	})
}

func (k *worker) take(e *controllerNode, order *wire.Order) {
	w := k.world
	if w.Shape.Single {
		k.takeSingle(e, order)
		return
	}
	why := k.obey(e, order)
	seen := &wire.Seen{Partition: order.Partition, Worker: k.Name, Fence: k.fence, RoomMb: w.Shape.RoomMb, UsedMb: k.used(), Born: k.born, OrderSeq: k.seq, OrderOk: why == "", QuietMs: w.NowMs - k.beforeAt}
	if why != "" {
		seen.OrderSeq = order.Seq
	}
	if w.mute {
		seen.QuietMs = 0
	}
	names := []string{}
	for name := range k.items {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		seen.Loaded = append(seen.Loaded, wire.Loaded{Item: name, Ready: k.ready(name), SizeMb: k.items[name].sizeMb})
	}
	k.tell(e, seen)
}

func (k *worker) tell(e *controllerNode, seen *wire.Seen) {
	w := k.world
	if !w.Cuts[[2]string{k.Addr, e.Addr}] && w.Random.Intn(100) >= w.Loss {
		w.After(1+w.Random.Int63n(w.DelayMs*2), func() {
			if e.Up {
				e.On(func() { e.perform(e.core.Hear(e.Clock(), "worker", seen)) })
			}
		})
	}
}

func (k *worker) obey(e *controllerNode, order *wire.Order) string {
	w := k.world
	if order.Fence < k.fence {
		return "fence"
	}
	if order.Fence > k.fence {
		k.fence, k.seq, k.beforeAt = order.Fence, 0, k.orderedAt
	}
	if order.Op == "look" || order.Seq <= k.seq {
		return ""
	}
	k.seq, k.orderedAt = order.Seq, w.NowMs
	w.facts.ordered(w.NowMs, k, e, order)
	w.Note("%s takes %s %s from %s fence %d seq %d", k.Name, order.Op, order.Item, e.Name, order.Fence, order.Seq)
	if order.Op == "unload" {
		delete(k.items, order.Item)
		for name, one := range k.items {
			if one.base == order.Item {
				delete(k.items, name)
			}
		}
		return ""
	}
	if _, there := k.items[order.Item]; there {
		return ""
	}
	if k.used()+order.SizeMb > w.Shape.RoomMb {
		return "room"
	}
	if order.Base != "" && !k.ready(order.Base) {
		return "base"
	}
	took := order.SizeMb * 1000 / max(order.MbPerS, 1)
	k.items[order.Item] = &loaded{sizeMb: order.SizeMb, base: order.Base, readyAt: w.NowMs + took}
	w.facts.loaded(w.NowMs, w.NowMs+took, order.SizeMb)
	w.Counts.Loads++
	return ""
}

// KillWorker restarts a worker empty, after a while.
//
//	world.KillWorker(2, 3000)
func (w *World) KillWorker(at int, ms int64) {
	k := w.workers[at]
	if !k.Up {
		return
	}
	w.Note("%s dies for %d", k.Name, ms)
	k.Up = false
	k.Life++
	w.After(ms, k.reborn)
}

// Leave marks a worker as leaving in the platform's list.
//
//	world.Leave("w3", true)
func (w *World) Leave(name string, leaving bool) {
	w.Note("%s leaving: %v", name, leaving)
	w.listed = slices.Clone(w.listed)
	for i := range w.listed {
		if w.listed[i].Name == name {
			w.listed[i].Leaving = leaving
		}
	}
	w.facts.leaves(w.NowMs, name, leaving)
}
