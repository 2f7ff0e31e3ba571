package simulation

import (
	"fmt"
	"math/rand"
	"slices"
	"strings"

	"applequay/internal/configuration"
	"applequay/internal/controlplane/agent"
	"applequay/internal/controlplane/distribution"
	"applequay/internal/controlplane/idempotency"
	"applequay/internal/controlplane/register"
	"applequay/internal/transport/wire"
)

// front is a front machine: the real agent, and a proxy that holds
// requests and notes what it hears.
type front struct {
	node
	zone    string
	seeds   []string
	late    bool // came into a world that was cut
	line    *agent.Agent
	board   node
	answers map[int64]func(register.Outcome)
	nextAsk int64
	heard   *distribution.Board
	version int64
	rooms   map[string]wire.WorkerNews
	items   map[string]configuration.Item
	book    *idempotency.Book
	// bad says how many calls in a hundred end badly by what a front goes by.
	bad       func(zone string, next bool) int64
	next      bool
	came, ill int64
	list      wire.WorkerList
	waiting   map[string]int64 // item to the moment it was first asked for
	served    map[string]int64 // item to how long it took
}

func (w *World) newFront(name, addr, zone string) *front {
	f := &front{zone: zone}
	f.node = w.newNode(name, addr)
	f.Hear = func(from string, body wire.Record) { f.perform(f.line.Hear(f.Clock(), from, body)) }
	f.Tick = func() {
		if f.line.DueMs(f.Clock()) <= f.Clock() {
			f.perform(f.line.Tick(f.Clock(), w.NowMs+f.WallMs))
		}
	}
	f.board = w.newNode("s"+name[1:], strings.Replace(addr, ":1", ":2", 1))
	f.board.ID = "s" + name
	f.board.Hear = f.fed
	f.board.Tick = f.report
	w.Add(&f.Node)
	w.Add(&f.board.Node)
	return f
}

func (f *front) start() {
	w := f.world
	f.Life++
	f.Up, f.FrozenTo = true, 0
	f.board.Life++
	f.board.Up = true
	f.ID = fmt.Sprintf("%s~%x", f.Name, w.Random.Int63()&0xffffff)
	f.OffsetMs = w.Random.Int63n(100000) - w.NowMs
	f.answers, f.heard, f.version = map[int64]func(register.Outcome){}, distribution.NewBoard(), 0
	f.rooms, f.items = map[string]wire.WorkerNews{}, map[string]configuration.Item{}
	f.waiting, f.served = map[string]int64{}, map[string]int64{}
	f.book, f.list = idempotency.New(f.Clock(), f.Addr, int64(f.Life)<<32), wire.WorkerList{}
	f.board.FrozenTo = 0
	seeds := f.seeds
	if seeds == nil {
		seeds = []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.1.1:1"}
	}
	f.line = agent.New(f.Clock(), agent.Boot{
		ID: f.ID, Name: f.Name, Addr: f.Addr, Zone: f.zone, Born: w.NowMs + 1 + f.WallMs, Proxy: f.board.Addr, Seeds: seeds,
		Partitions: w.Shape.Partitions, LeaseMs: w.Shape.LeaseMs, ProbeMs: w.Shape.ProbeMs, CallMs: w.Shape.CallMs, KeyMs: KeyMs,
		Bootstrap: f.Life == 1 && w.Shape.Seeds > 0,
	}, rand.New(rand.NewSource(w.Random.Int63())))
	f.Every(w.Shape.TickMs)
	f.board.Every(100)
}

func (f *front) perform(out wire.Outputs) {
	for _, send := range out.Sends {
		if strings.Contains(send.To, ":") {
			f.world.Send(&f.Node, send.To, send.Kind, send.Body)
		} else {
			f.world.sendID(&f.Node, f.line.Addr, send)
		}
	}
	for _, answer := range out.Answers {
		if told, ok := f.answers[answer.Call]; ok {
			delete(f.answers, answer.Call)
			told(answer.Body.(register.Outcome))
		}
	}
}

// fed takes what the agent feeds its proxy.
func (f *front) fed(_ string, body wire.Record) {
	if asked, is := body.(*wire.Subscribe); is {
		if kind, listed := f.heard.Answers(asked); asked.Tell {
			f.world.Send(&f.board.Node, f.Addr, kind, listed)
		}
		return
	}
	told, ok := body.(*wire.News)
	if !ok {
		f.ticket(f.book.Hear(f.Clock(), body))
		return
	}
	w := f.world
	for _, topic := range told.Topics {
		if !f.heard.Put(topic) {
			continue
		}
		body, _ := wire.Unpack(topic)
		switch {
		case topic.Name == "policy":
			table, _, _ := configuration.Parse(body, topic.Step)
			f.items, f.version = table.Placement().Items, topic.Step
			_, f.next = table.For(f.zone).Kinds[w.rolledBy]
			w.facts.inForce(w.NowMs, f, topic.Step)
		case topic.Name == "directory":
			var list wire.WorkerList
			if list.Unmarshal(body) == nil {
				f.list = list
			}
		case strings.HasPrefix(topic.Name, "homes/"):
			var room wire.WorkerNews
			if room.Unmarshal(body) == nil {
				f.rooms[room.Worker] = room
			}
		}
	}
	for item, since := range f.waiting {
		if f.holds(item) {
			f.served[item] = w.NowMs - since
			delete(f.waiting, item)
			w.facts.served(w.NowMs, w.NowMs-since)
		}
	}
}

// holds tells whether a request for an item could go somewhere.
func (f *front) holds(item string) bool {
	base := f.items[item].Base
	for _, room := range f.rooms {
		has := func(name string) bool {
			return slices.ContainsFunc(room.Loaded, func(l wire.Loaded) bool { return l.Item == name && l.Ready })
		}
		if !room.Dark && !room.Leaving && has(item) && (base == "" || has(base)) {
			return true
		}
	}
	return false
}

// report asks the agent for what it knows and tells it what is held.
func (f *front) report() {
	w := f.world
	f.ticket(f.book.Tick(f.Clock()))
	w.Send(&f.board.Node, f.Addr, wire.KindSubscribe, f.heard.Asks(""))
	told := &wire.Report{}
	if f.bad != nil {
		f.came += 10
		f.ill += f.bad(f.zone, f.next) / 10
		told.Came, told.Bad = f.came, f.ill
	}
	for item := range f.waiting {
		told.Wants = append(told.Wants, wire.Want{Item: item, Held: 1, Weight: 1})
	}
	slices.SortFunc(told.Wants, func(a, b wire.Want) int { return strings.Compare(a.Item, b.Item) })
	names := make([]string, 0, len(f.rooms))
	for name := range f.rooms {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		for _, held := range f.rooms[name].Loaded {
			if _, mine := f.served[held.Item]; mine && held.Ready && w.Random.Intn(20) == 0 {
				told.Uses = append(told.Uses, wire.Use{Worker: name, Item: held.Item, Count: 1, Weight: 1})
			}
		}
	}
	slices.SortFunc(told.Uses, func(a, b wire.Use) int { return strings.Compare(a.Item+a.Worker, b.Item+b.Worker) })
	if len(told.Wants)+len(told.Uses) > 0 || f.bad != nil {
		w.Send(&f.board.Node, f.Addr, wire.KindReport, told)
	}
}

// Ask makes clients at a front ask for an item; a request that finds no holder
// is held there.
//
//	world.Ask(0, "m7")
func (w *World) Ask(front int, item string) {
	f := w.fronts[front]
	if !f.Up || f.version == 0 {
		return
	}
	if _, waits := f.waiting[item]; waits || f.holds(item) {
		return
	}
	f.waiting[item] = w.NowMs
}

// AddFront brings a front into the world that knows these seeds and no others.
//
//	joined := world.AddFront("l99", "10.0.1.99:1", "z0", []string{"10.0.0.20:1"})
func (w *World) AddFront(name, addr, zone string, seeds []string) *front {
	f := w.newFront(name, addr, zone)
	f.seeds = seeds
	w.fronts = append(w.fronts, f)
	f.start()
	return f
}

// CrashFront kills agent and proxy of a front; Restart follows after a
// while.
//
//	world.CrashFront(0, 2000)
func (w *World) CrashFront(at int, ms int64) {
	f := w.fronts[at]
	if !f.Up {
		return
	}
	w.Note("%s crashes for %d", f.Name, ms)
	f.Up, f.board.Up = false, false
	f.Life++
	f.board.Life++
	w.After(ms, f.start)
}
