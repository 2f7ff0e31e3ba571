package explorer

import (
	"fmt"
	"slices"

	"applequay/internal/controlplane/partition"
	"applequay/internal/transport/wire"
)

// What the workers of a model are like: a load takes some twenty rounds at the
// rate of its turn, and the store has one turn, so that two loads at a time are
// one too many.
const (
	fleetItems  = 8
	fleetSizeMb = 50
	fleetRoomMb = 150
	storeTurns  = 1
	storeMbPerS = 100
	// wantEvery is how many rounds lie between two wants of a front, listEvery
	// between two reads of the worker list, in rounds.
	wantEvery = 6
	listEvery = 8
)

// fleetPolicy is the configuration that partitions place by.
func fleetPolicy() []byte {
	models := ""
	for item := range fleetItems {
		models += fmt.Sprintf(`{"name":"m%d","pool":"llm","size_mb":%d},`, item, fleetSizeMb)
	}
	return fmt.Appendf(nil, `{"store":{"mb_per_s":%d,"turns":%d},"kinds":[{"name":"k","weight":1}],"models":[%s],
		"services":[{"name":"drafts","type":"model","pool":"llm"}],"routes":[{"path":"/v1/draft","service":"drafts","kind":"k"}]}`, storeMbPerS, storeTurns, models[:len(models)-1])
}

// policyName is the write that makes the fleet's configuration.
const policyName = "policy"

// body is what a write makes of the register: its own name, or the fleet's
// configuration.
func (o *Op) body() []byte {
	if o.Name == policyName {
		return fleetPolicy()
	}
	return []byte(o.Name)
}

// fleet is what partitions have to do with beside each other: workers that take
// orders, the platform's list of them, and a front that wants items.
type fleet struct {
	workers []*worker
	orders  []sentOrder
	lists   []sentList
	wants   int
	sum     sum
}

// sentOrder is an order on its way to a worker; it counts only for the life that
// sent it, which hears what the worker shows then.
type sentOrder struct {
	from *machine
	life int
	body *wire.Order
}

type sentList struct {
	from *machine
	life int
	mark int64
}

// worker obeys the orders of the highest fence, in their order.
type worker struct {
	name       string
	fence, seq int64
	// items are when what was loaded is ready.
	items map[string]int64
}

func newFleet(count int) fleet {
	var f fleet
	for at := range count {
		f.workers = append(f.workers, &worker{name: fmt.Sprintf("w%d", at+1), items: map[string]int64{}})
	}
	return f
}

// list is what the platform says of the workers.
func (f *fleet) list() *wire.WorkerList {
	list := &wire.WorkerList{}
	for _, one := range f.workers {
		list.Workers = append(list.Workers, wire.Worker{Name: one.name, Addr: one.name + ":1", Zone: "z", Pool: "llm", RoomMb: fleetRoomMb})
	}
	return list
}

// sends takes what a machine sends to workers and to the platform. An order
// leaves only while its lease lasts.
func (f *fleet) sends(m *machine, send wire.Send) {
	asked, ok := send.Body.(*wire.Order)
	if len(f.workers) == 0 || !ok {
		return
	}
	if send.To == "platform" {
		f.lists = append(f.lists, sentList{m, m.lives, asked.Seq})
		return
	}
	if _, may := m.core.May(m.clock(), asked); may {
		f.orders = append(f.orders, sentOrder{m, m.lives, asked})
	}
}

// fleetRound delivers orders and lists, and has the front want something.
func (w *World) fleetRound() {
	if len(w.fleet.workers) == 0 {
		return
	}
	orders, lists := w.fleet.orders, w.fleet.lists
	w.fleet.orders, w.fleet.lists = nil, nil
	for _, one := range orders {
		seen := w.fleet.take(w, one)
		if one.from.hears(one.life) {
			one.from.remember("seen", wire.Encode(seen))
			one.from.perform(one.from.core.Hear(one.from.clock(), "worker", seen))
		}
	}
	for _, one := range lists {
		if one.from.hears(one.life) {
			one.from.remember("list", nil)
			one.from.perform(one.from.core.Platform(one.from.clock(), one.mark, w.fleet.list()))
		}
	}
	if w.rounds%wantEvery == 0 {
		w.want()
	}
}

// hears tells whether a machine still lives as it did, and runs.
func (m *machine) hears(life int) bool { return m.up && !m.frozen && m.lives == life }

// want has a front ask the owner of an item's key for a home.
func (w *World) want() {
	item := fmt.Sprintf("m%d", w.fleet.wants%fleetItems)
	key := partition.ItemKey(item)
	number := partition.Of(key, w.model.Partitions)
	for _, m := range w.machines {
		at := slices.IndexFunc(m.owned, func(hold wire.Hold) bool { return hold.Partition == number })
		if at < 0 || !m.up || m.frozen {
			continue
		}
		w.fleet.wants++
		w.fleet.sum = w.fleet.sum.number(uint64(w.fleet.wants))
		post := &wire.Post{Sender: fmt.Sprintf("front/%d", w.fleet.wants), SenderFence: 1, Partition: number, Fence: m.owned[at].Fence, Pos: 1, Kind: int64(wire.KindWant), Key: key, Body: wire.Encode(&wire.Want{Item: item, Held: 1, Weight: 1})}
		m.remember("post", wire.Encode(post))
		m.perform(m.core.Hear(m.clock(), "front", post))
		return
	}
}

// take has a worker obey an order, and returns what it shows then.
func (f *fleet) take(w *World, sent sentOrder) *wire.Seen {
	order := sent.body
	at := slices.IndexFunc(f.workers, func(one *worker) bool { return one.name == order.Worker })
	one := f.workers[at]
	ok := one.obeys(w, sent)
	f.sum = f.sum.word(one.name).number(uint64(one.fence)).number(uint64(one.seq)).number(uint64(w.now))
	seen := &wire.Seen{Partition: order.Partition, Worker: one.name, Fence: one.fence, RoomMb: fleetRoomMb, UsedMb: int64(len(one.items)) * fleetSizeMb, Born: one.name, OrderSeq: one.seq, OrderOk: ok}
	if !ok {
		seen.OrderSeq = order.Seq
	}
	for item := range fleetItems {
		name := fmt.Sprintf("m%d", item)
		if ready, there := one.items[name]; there {
			seen.Loaded = append(seen.Loaded, wire.Loaded{Item: name, Ready: ready <= w.now, SizeMb: fleetSizeMb})
		}
	}
	return seen
}

// obeys tells whether a worker takes an order: none of a lower fence, and each
// once.
func (k *worker) obeys(w *World, sent sentOrder) bool {
	order := sent.body
	if order.Fence < k.fence {
		return false
	}
	if order.Fence > k.fence {
		k.fence, k.seq = order.Fence, 0
	}
	if order.Op == "look" {
		return true
	}
	w.facts.ordered(w, sent)
	if order.Seq <= k.seq {
		return true
	}
	k.seq = order.Seq
	if order.Op == "unload" {
		delete(k.items, order.Item)
		return true
	}
	if _, there := k.items[order.Item]; !there {
		k.items[order.Item] = w.now + order.SizeMb*1000/max(order.MbPerS, 1)
		w.facts.loadBegins(w.now, k.items[order.Item])
	}
	return true
}
