package sim

import (
	"slices"
	"strings"

	"applequay/internal/connection/wire"
)

// worker is a simulated model worker, as the workers' interface says.
type worker struct {
	node
	born       string
	fence, seq int64
	items      map[string]*loaded
	// orderedAt is when the last order came, beforeAt the last of a lower fence.
	orderedAt, beforeAt int64
}

type loaded struct {
	sizeMb  int64
	base    string
	readyAt int64
}

func (w *World) addWorker(name string) {
	one := &worker{items: map[string]*loaded{}}
	one.node = node{world: w, name: name, addr: name + ":1", up: true}
	one.reborn()
	w.workers = append(w.workers, one)
	w.nodes[one.addr] = &one.node
	w.listed = append(w.listed, wire.Worker{Name: name, Addr: one.addr, Zone: "z0", Pool: "llm", RoomMb: w.Shape.RoomMb})
}

func (k *worker) reborn() {
	k.born = k.name + "/" + string(rune('a'+k.world.random.Intn(26))) + string(rune('a'+k.world.random.Intn(26))) + string(rune('a'+k.world.random.Intn(26)))
	k.fence, k.seq, k.items = 0, 0, map[string]*loaded{}
	k.orderedAt, k.beforeAt = k.world.now, k.world.now
	k.life++
	k.up = true
}

func (w *World) worker(name string) *worker {
	for _, one := range w.workers {
		if one.name == name {
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
	return ok && one.readyAt <= k.world.now
}

// order carries an exchange's order to a worker and the answer back.
func (e *exchange) order(order *wire.Order) {
	w := e.world
	until, may := e.core.May(e.clock(), order)
	k := w.worker(order.Worker)
	if !may || k == nil {
		return
	}
	sent := *order
	// As in the daemon, the order may wait in a line; it leaves only in time.
	life := e.life
	w.after(w.random.Int63n(3), func() {
		e.on(func() {
			if e.life != life || e.clock() >= until || w.cut[[2]string{e.addr, k.addr}] {
				return
			}
			w.after(1+w.random.Int63n(w.delay*2), func() {
				if !k.up {
					return
				}
				k.on(func() { k.take(e, &sent) })
			})
		})
	})
}

func (k *worker) take(e *exchange, order *wire.Order) {
	w := k.world
	why := k.obey(e, order)
	seen := &wire.Seen{Partition: order.Partition, Worker: k.name, Fence: k.fence, RoomMb: w.Shape.RoomMb, UsedMb: k.used(), Born: k.born, OrderSeq: k.seq, OrderOk: why == "", QuietMs: w.now - k.beforeAt}
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
	if !w.cut[[2]string{k.addr, e.addr}] && w.random.Intn(100) >= w.loss {
		w.after(1+w.random.Int63n(w.delay*2), func() {
			if e.up {
				e.on(func() { e.perform(e.core.Hear(e.clock(), "worker", seen)) })
			}
		})
	}
}

func (k *worker) obey(e *exchange, order *wire.Order) string {
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
	k.seq, k.orderedAt = order.Seq, w.now
	w.facts.ordered(w.now, k, e, order)
	w.note("%s takes %s %s from %s fence %d seq %d", k.name, order.Op, order.Item, e.name, order.Fence, order.Seq)
	if order.Op == "unload" {
		delete(k.items, order.Item)
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
	k.items[order.Item] = &loaded{sizeMb: order.SizeMb, base: order.Base, readyAt: w.now + took}
	w.facts.loaded(w.now, w.now+took, order.SizeMb)
	w.Counts.Loads++
	return ""
}

// list reads the platform's list, as the daemon does over HTTP.
func (e *exchange) list(mark int64) {
	w := e.world
	if w.cut[[2]string{e.addr, "platform"}] {
		return
	}
	life := e.life
	w.after(1+w.random.Int63n(5), func() {
		list := &wire.WorkerList{Workers: slices.Clone(w.listed)}
		slices.SortFunc(list.Workers, func(a, b wire.Worker) int { return strings.Compare(a.Name, b.Name) })
		w.after(1+w.random.Int63n(5), func() {
			if e.up && e.life == life {
				e.on(func() { e.perform(e.core.Platform(e.clock(), mark, list)) })
			}
		})
	})
}

// KillWorker restarts a worker empty, after a while.
//
//	world.KillWorker(2, 3000)
func (w *World) KillWorker(at int, ms int64) {
	k := w.workers[at]
	if !k.up {
		return
	}
	w.note("%s dies for %d", k.name, ms)
	k.up = false
	k.life++
	w.after(ms, k.reborn)
}

// Leave marks a worker as leaving in the platform's list.
//
//	world.Leave("w3", true)
func (w *World) Leave(name string, leaving bool) {
	w.note("%s leaving: %v", name, leaving)
	w.listed = slices.Clone(w.listed)
	for i := range w.listed {
		if w.listed[i].Name == name {
			w.listed[i].Leaving = leaving
		}
	}
	w.facts.leaves(w.now, name, leaving)
}
