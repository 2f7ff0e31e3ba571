package partition

import (
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"strings"

	qt "github.com/frankban/quicktest"

	"applequay/internal/configuration"
	"applequay/internal/transport/wire"
)

// Sizes of the test's pool: a worker has room for three models, and two places
// for adapters.
const (
	testRoomMb, testModelMb, testSlots = 220, 70, 2
	testLoadMs                         = 1500
)

// single is a worker that takes one order at a time, counts them, and shows what
// it held some time ago.
type single struct {
	name         string
	fence, taken int64
	busyTo       int64
	held         map[string]bool
	had          map[string]bool
	past         []shown
}

type shown struct {
	at, taken int64
	busy      bool
	held      []string
}

// pool is one partition that owns every key, and workers of that kind.
type pool struct {
	c       *qt.C
	random  *rand.Rand
	view    *View
	p       *Partition
	now     int64
	units   map[string]*single
	later   []timed
	lossPct int
	begun   []int64
	orders  int
	handed  []*wire.Order
	pos     int64
	asked   map[string]wire.Demand
	writes  []wire.Write
}

type timed struct {
	at int64
	do func()
}

func newPool(c *qt.C, seed int64, models, workers int, fence int64) *pool {
	table := configuration.Empty()
	table.Version = 1
	table.Store = configuration.Store{MbPerS: 1000, Turns: 3, LoadsPer1000S: 2000}
	table.Pools = map[string]configuration.Pool{"llm": {Name: "llm", Slots: 16, RoomMb: testRoomMb, AdapterSlots: testSlots}}
	for i := range models {
		name := fmt.Sprintf("m%d", i)
		table.Items[name] = configuration.Item{Name: name, Pool: "llm", SizeMb: testModelMb, LoadMs: testLoadMs}
		for j := range 3 {
			adapter := fmt.Sprintf("%s/a%d", name, j)
			table.Items[adapter] = configuration.Item{Name: adapter, Base: name, Pool: "llm", SizeMb: 1, LoadMs: 30, Light: true}
		}
	}
	w := &pool{c: c, random: rand.New(rand.NewSource(seed)), now: 1000, units: map[string]*single{}, asked: map[string]wire.Demand{},
		view: &View{Policy: table, Count: 1, Owners: map[int64]wire.Owner{}, Rooms: map[string]wire.WorkerNews{}, Workers: map[string]wire.Worker{}}}
	for i := range workers {
		name := fmt.Sprintf("w%d", i)
		w.view.Workers[name] = wire.Worker{Name: name, Addr: name + ":1", Pool: "llm"}
		w.units[name] = &single{name: name, held: map[string]bool{}, had: map[string]bool{}}
	}
	w.p = New(w.now, NewState(0, "c1", fence), w.view, LimitsFor(3200, 500), "c1", w.now)
	return w
}

func (w *pool) after(ms int64, do func()) { w.later = append(w.later, timed{w.now + ms, do}) }

// do takes a step's outputs: writes last at once, orders and answers travel.
func (w *pool) do(out wire.Outputs) {
	w.writes = append(w.writes, out.Writes...)
	for _, send := range append(out.Sends, out.Then...) {
		switch body := send.Body.(type) {
		case *wire.Order:
			order := *body
			w.after(1+w.random.Int63n(20), func() { w.arrive(&order) })
		case *wire.News:
			for _, topic := range body.Topics {
				var room wire.WorkerNews
				if strings.HasPrefix(topic.Name, "homes/") && room.Unmarshal(topic.Body) == nil {
					w.view.Rooms[room.Worker] = room
				}
			}
		}
	}
}

func (w *pool) lost() bool { return w.random.Intn(100) < w.lossPct }

func (w *pool) arrive(order *wire.Order) {
	unit := w.units[order.Worker]
	if unit == nil || w.lost() {
		return
	}
	seen := &wire.Seen{Worker: unit.name, Born: unit.name, Fence: order.Fence, OrderOk: true, Single: true}
	if order.Op == "look" {
		lag := w.random.Int63n(300)
		for _, one := range unit.past {
			if one.at <= w.now-lag {
				seen.Busy, seen.Taken, seen.Loaded = one.busy, one.taken, nil
				for _, item := range one.held {
					seen.Loaded = append(seen.Loaded, wire.Loaded{Item: item, Ready: true})
				}
			}
		}
	} else {
		w.orders++
		seen.Bare, seen.OrderSeq, seen.Taken = true, order.Seq, order.Taken
		switch {
		case order.Fence < unit.fence:
			seen.OrderOk = false
		case w.now < unit.busyTo || order.Taken != unit.taken:
			seen.OrderOk, seen.Busy = false, true
		case (order.Op == "load") == unit.held[order.Item]:
		default:
			seen.Taken++
			w.obey(unit, order)
		}
		unit.fence = max(unit.fence, order.Fence)
	}
	if !w.lost() {
		w.after(1+w.random.Int63n(20), func() { w.do(w.p.Seen(w.now, seen)) })
	}
}

// obey begins an order, and notes what the rules forbid.
func (w *pool) obey(unit *single, order *wire.Order) {
	unit.taken++
	took := int64(20)
	if order.Op == "load" {
		var usedMb, slots int64
		for item := range unit.held {
			usedMb += w.view.Policy.Items[item].SizeMb
			if strings.Contains(item, "/") {
				slots++
			}
		}
		if order.Base != "" {
			slots++
			w.c.Check(unit.held[order.Base], qt.IsTrue, qt.Commentf("%d: %s has no model for %s", w.now, unit.name, order.Item))
		}
		w.c.Check(usedMb+order.SizeMb <= testRoomMb && slots <= w.view.Policy.Pools["llm"].AdapterSlots, qt.IsTrue, qt.Commentf("%d: %s falls over %s", w.now, unit.name, order.Item))
		if order.Base == "" {
			took = testLoadMs
			if !unit.had[order.Item] {
				w.begun = append(w.begun, w.now)
			}
		}
	}
	item := order.Item
	unit.busyTo = w.now + took
	w.after(took, func() {
		if order.Op == "load" {
			unit.held[item], unit.had[item] = true, true
			return
		}
		delete(unit.held, item)
		for other := range unit.held {
			if strings.HasPrefix(other, item+"/") {
				delete(unit.held, other)
			}
		}
	})
}

// tick runs to a moment: clients' demand is told, what is held is wanted.
func (w *pool) tick(to int64) {
	for ; w.now < to; w.now += 10 {
		due := w.later
		w.later = nil
		for _, one := range due {
			if one.at <= w.now {
				one.do()
			} else {
				w.later = append(w.later, one)
			}
		}
		// After what is due, so that none seems at rest without what it just loaded.
		for _, unit := range w.units {
			unit.past = append(unit.past, shown{w.now, unit.taken, w.now < unit.busyTo, slices.Sorted(maps.Keys(unit.held))})
			unit.past = unit.past[max(len(unit.past)-50, 0):]
		}
		if w.now%400 == 0 {
			told := &wire.Tally{Front: "l1"}
			for _, item := range slices.Sorted(maps.Keys(w.asked)) {
				told.Demands = append(told.Demands, w.asked[item])
			}
			w.view.Demands.Note(w.now, told)
		}
		if w.now%800 == 0 {
			w.wants()
		}
		if w.now%30 == 0 {
			w.view.WallMs = w.now
			w.view.Demands.Sum(w.now, w.view.Policy)
			w.do(w.p.Tick(w.now))
		}
	}
}

func (w *pool) wants() {
	for _, item := range slices.Sorted(maps.Keys(w.asked)) {
		if len(w.homes(item)) == 0 {
			w.pos++
			w.do(w.p.Post(w.now, "l1", &wire.Post{Sender: "front/l1", SenderFence: 1, Fence: w.p.state.Fence, Pos: w.pos, Kind: int64(wire.KindWant), Key: ItemKey(item),
				Body: wire.Encode(&wire.Want{Item: item, Held: 1, Weight: 1})}))
		}
	}
}

// homes are the workers that really hold an item.
func (w *pool) homes(item string) []string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(w.units)) {
		if w.units[name].held[item] {
			out = append(out, name)
		}
	}
	return out
}

// noPlaces leaves the workers no places for adapters, so none is loaded ahead.
func (w *pool) noPlaces() {
	w.view.Policy.Pools["llm"] = configuration.Pool{Name: "llm", Slots: 16, RoomMb: testRoomMb}
}

func (w *pool) ask(item string, rate, live int64) {
	w.asked[item] = wire.Demand{Item: item, Rate: rate, Live: live, Weight: 1}
}
