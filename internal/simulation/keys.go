package simulation

import (
	"fmt"
	"math/rand"
	"slices"

	"applequay/internal/configuration"
	"applequay/internal/controlplane/idempotency"
	"applequay/internal/routing"
	"applequay/internal/transport/wire"
)

// KeyMs is how long a key may be repeated in the simulator.
const KeyMs = 20000

// sendMs bounds how long after its decision a booking may still leave.
const sendMs = 2000

// Booked is one time that an application carried out a key. The applications
// here know nothing of keys.
type Booked struct {
	At, Asked   int64
	Key, Server string
	Front       string
}

// Tried is what a client with a key was told.
type Tried struct {
	At       int64
	Key, Why string
	First    bool
}

// tills are the clients with keys: new ones, and repeats at any front.
type tills struct {
	Random *rand.Rand
	keys   []string
	first  map[string]int64
	Booked []Booked
	Tried  []Tried
	calls  map[int64]func(idempotency.Decision)
	next   int64
}

func newTills(seed int64) *tills {
	return &tills{Random: rand.New(rand.NewSource(seed ^ 0x7411)), first: map[string]int64{}, calls: map[int64]func(idempotency.Decision){}}
}

// AddApp lists an application server; Unlist takes one off the list.
//
//	world.AddApp("b1", "10.0.3.1:1")
func (w *World) AddApp(name, addr string) {
	w.Note("%s at %s is listed", name, addr)
	w.Unlist(name)
	w.listed = append(slices.Clone(w.listed), wire.Worker{Name: name, Addr: addr, Zone: "z0", Pool: "app"})
	slices.SortFunc(w.listed, func(a, b wire.Worker) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
}

// Unlist takes a server off the platform's list.
//
//	world.Unlist("b1")
func (w *World) Unlist(name string) {
	w.listed = slices.DeleteFunc(slices.Clone(w.listed), func(one wire.Worker) bool { return one.Name == name })
}

// Call makes a client try a key at a front, a new key if none is named.
//
//	world.Call(2, "")
func (w *World) Call(front int, key string) {
	f, t := w.fronts[front], w.tills
	if key == "" {
		key = fmt.Sprintf("k%d", len(t.keys))
		t.keys = append(t.keys, key)
		t.first[key] = w.NowMs
	}
	if !f.board.Up {
		return
	}
	asked, life := w.NowMs, f.board.Life
	f.board.On(func() {
		current := routing.Empty().After(routing.News{Policy: configuration.Empty(), Workers: f.list.Workers, Rosters: f.list.Rosters})
		t.next++
		t.calls[t.next] = func(decision idempotency.Decision) {
			t.Tried = append(t.Tried, Tried{At: asked, Key: key, Why: decision.Why, First: t.first[key] == asked})
			if decision.Server == "" {
				return
			}
			decided := w.NowMs
			w.After(t.Random.Int63n(40), func() {
				f.board.On(func() {
					if f.board.Life == life && w.NowMs-decided <= sendMs {
						t.Booked = append(t.Booked, Booked{At: w.NowMs, Asked: asked, Key: key, Server: decision.Server, Front: f.Name})
					}
				})
			})
		}
		f.ticket(f.book.Take(f.Clock(), t.next, current.Call("app", key)))
	})
}

// ticket does what the book wants done.
func (f *front) ticket(out wire.Outputs) {
	for _, send := range out.Sends {
		f.world.Send(&f.board.Node, send.To, send.Kind, send.Body)
	}
	for _, answer := range out.Answers {
		if told, ok := f.world.tills.calls[answer.Call]; ok {
			delete(f.world.tills.calls, answer.Call)
			told(answer.Body.(idempotency.Decision))
		}
	}
}

// Repeat tries a key again that is still young enough, at any front.
//
//	world.Repeat()
func (w *World) Repeat() {
	t := w.tills
	var young []string
	for _, key := range t.keys[max(0, len(t.keys)-200):] {
		if w.NowMs-t.first[key] < KeyMs {
			young = append(young, key)
		}
	}
	if len(young) > 0 {
		w.Call(t.Random.Intn(len(w.fronts)), young[t.Random.Intn(len(young))])
	}
}

// CheckKeys checks that no key is carried out by two servers. The same server knows what
// it did.
//
//	breaches := simulation.CheckKeys(booked)
func CheckKeys(booked []Booked) []string {
	var breaches []string
	first := map[string]Booked{}
	for _, one := range booked {
		old, twice := first[one.Key]
		if twice && old.Server != one.Server {
			breaches = append(breaches, fmt.Sprintf("%d: %s ran at %s through %s, and %d ms before at %s through %s", one.At, one.Key, one.Server, one.Front, one.At-old.At, old.Server, old.Front))
		} else if !twice {
			first[one.Key] = one
		}
	}
	return breaches
}

// FreezeFront stops agent and proxy of a front for a while.
//
//	world.FreezeFront(1, 9000)
func (w *World) FreezeFront(at int, ms int64) {
	f := w.fronts[at]
	w.Note("%s freezes for %d", f.Name, ms)
	f.FrozenTo, f.board.FrozenTo = w.NowMs+ms, w.NowMs+ms
}

// CutFront cuts a front off from everyone but the proxy beside it.
//
//	world.CutFront(1, true)
func (w *World) CutFront(at int, cut bool) {
	f := w.fronts[at]
	for addr := range w.Nodes {
		if addr != f.Addr && addr != f.board.Addr {
			w.Cut(f.Addr, addr, cut)
			w.Cut(addr, f.Addr, cut)
		}
	}
}
