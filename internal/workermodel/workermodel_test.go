package workermodel

import (
	"fmt"
	"math"
	"math/rand"
	"testing"

	qt "github.com/frankban/quicktest"
)

func small() Spec {
	return Spec{Slots: 4, QueueLimit: 2, StepMs: 10, SlotMs: 1, ReadPerMs: 10, ChunkTokens: 100, MemoryTokens: 2000, BlockTokens: 1, PieceTokens: 1, RoomMb: 100, AdapterPlaces: 2, Fenced: true}
}

func models() []Model {
	return []Model{{Name: "m", Version: 3, SizeMb: 40, ExtraMb: 5, LoadMs: 1000, WarmMs: 100, ExtraMs: 7}, {Name: "n", Version: 1, SizeMb: 40, LoadMs: 1000, WarmMs: 100, Pace: 2}, {Name: "o", Version: 1, SizeMb: 40, LoadMs: 1000}}
}

func one(spec Spec, store *Store) *Engine {
	return New(spec, models(), store, map[string][]string{"m": {"a1"}})
}

func ask(name string, prompt, out int) Ask {
	return Ask{Name: name, Model: "m", Parts: []Part{{"own-" + name, prompt}}, Out: out, Urgency: 5}
}

// ends gives when each request was done.
func ends(e *Engine) (map[string]float64, []Event) {
	out, events := map[string]float64{}, []Event{}
	for e.NextMs() != Never {
		for _, event := range e.Advance(e.NextMs()) {
			events = append(events, event)
			if event.Kind == Done {
				out[event.Name] = event.AtMs
			}
		}
	}
	return out, events
}

func TestTimes(t *testing.T) {
	shared := func(name string, own int) Ask {
		a := ask(name, own, 1)
		a.Parts = append([]Part{{"s", 200}}, a.Parts...)
		return a
	}
	urgent := ask("u", 100, 1)
	urgent.Urgency = 0
	other := shared("y", 50)
	other.Adapter = "a1"
	for _, test := range []struct {
		name string
		spec func(*Spec)
		asks []Ask // one after another
		want map[string]float64
	}{
		{"prompt over rate and a step each token", nil, []Ask{ask("x", 80, 10)}, map[string]float64{"x": 8 + 10*11}},
		{"a long prompt is read in chunks", nil, []Ask{ask("x", 250, 2)}, map[string]float64{"x": 25 + 2*11}},
		{"a batch slows", nil, []Ask{ask("x", 10, 2), ask("y", 10, 2)}, map[string]float64{"x": 12 + 13, "y": 12 + 1 + 12 + 11}},
		{"slowness", func(s *Spec) { s.Slowness = 2 }, []Ask{ask("x", 80, 1)}, map[string]float64{"x": 2 * (8 + 11)}},
		{"context slows", func(s *Spec) { s.ContextMs = 10 }, []Ask{ask("x", 100, 1)}, map[string]float64{"x": 10 + 11 + 1}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c, spec := qt.New(t), small()
			if test.spec != nil {
				test.spec(&spec)
			}
			e := one(spec, nil)
			for _, a := range test.asks {
				c.Assert(e.Ask(0, a), qt.Equals, Taken)
			}
			got, _ := ends(e)
			for name, want := range test.want {
				c.Check(math.Abs(got[name]-want) < 0.01, qt.IsTrue, qt.Commentf("%s: %v, not %v", name, got[name], want))
			}
		})
	}
	c := qt.New(t)
	e := one(small(), nil)
	at := 0.0
	for _, test := range []struct {
		ask   Ask
		reads int64
	}{{shared("x", 50), 250}, {shared("z", 50), 50}, {other, 250}, {shared("z", 50), 0}} {
		before := e.ReadTokens
		c.Assert(e.Ask(at, test.ask), qt.Equals, Taken)
		done, _ := ends(e)
		at = done[test.ask.Name]
		c.Check(e.ReadTokens-before, qt.Equals, test.reads, qt.Commentf("%v", test.ask))
	}
}

func TestPartsCountOnlyAfterThoseBefore(t *testing.T) {
	c, e := qt.New(t), one(small(), nil)
	e.memory.spec.MemoryTokens = 350
	e.spec.MemoryTokens = 350
	chain := Ask{Name: "x", Model: "m", Parts: []Part{{"a", 100}, {"b", 100}}, Out: 1}
	c.Assert(e.Ask(0, chain), qt.Equals, Taken)
	_, _ = ends(e)
	c.Check(len(e.memory.found(chain)), qt.Equals, 2)
	c.Check(len(e.memory.found(Ask{Model: "m", Parts: []Part{{"new", 10}, {"b", 100}}})), qt.Equals, 0)
	c.Check(len(e.memory.found(Ask{Model: "m", Parts: []Part{{"a", 100}, {"new", 10}}})), qt.Equals, 1)
	// What is unused longest gives way, the later parts first.
	c.Assert(e.Ask(1000, ask("y", 200, 1)), qt.Equals, Taken)
	_, _ = ends(e)
	c.Check(len(e.memory.found(chain)), qt.Equals, 1)
}

func TestUrgentFirst(t *testing.T) {
	c, spec := qt.New(t), small()
	spec.Slots, spec.QueueLimit = 1, 9
	e := one(spec, nil)
	late, soon := ask("late", 10, 2), ask("soon", 10, 2)
	soon.Urgency = 0
	c.Assert(e.Ask(0, ask("first", 10, 20)), qt.Equals, Taken)
	c.Assert(e.Ask(1, late), qt.Equals, Taken)
	c.Assert(e.Ask(2, soon), qt.Equals, Taken)
	got, events := ends(e)
	c.Check(got["soon"] < got["first"] && got["first"] < got["late"], qt.IsTrue, qt.Commentf("%v", got))
	c.Check(e.PutBack, qt.Equals, int64(1))
	// What was put back goes on with its next piece, none twice.
	next := 1
	for _, event := range events {
		if event.Name == "first" && event.Kind == Piece {
			c.Assert(event.Number, qt.Equals, next)
			next++
		}
	}
	c.Check(next, qt.Equals, 21)
}

func TestMemoryRunsOut(t *testing.T) {
	c, spec := qt.New(t), small()
	spec.MemoryTokens = 260
	e := one(spec, nil)
	urgent := ask("urgent", 100, 60)
	urgent.Urgency = 1
	c.Assert(e.Ask(0, ask("old", 50, 40)), qt.Equals, Taken)
	c.Assert(e.Ask(0, ask("new", 50, 40)), qt.Equals, Taken)
	c.Assert(e.Ask(0, urgent), qt.Equals, Taken)
	c.Check(e.Ask(0, ask("huge", 250, 40)), qt.Equals, Full)
	got, _ := ends(e)
	c.Check(e.PutBack > 0, qt.IsTrue)
	c.Check(len(got), qt.Equals, 3)
	c.Check(got["old"] < got["new"], qt.IsTrue, qt.Commentf("%v", got))
	fixed, _ := e.memory.held()
	c.Check(fixed, qt.Equals, 0)
}

func TestTurnsAway(t *testing.T) {
	c, spec := qt.New(t), small()
	spec.Slots, spec.QueueLimit = 1, 1
	e := one(spec, nil)
	missing, short := ask("q", 10, 1), ask("short", 10, 1)
	missing.Model, short.DeadlineMs = "n", 30
	c.Check(e.Ask(0, missing), qt.Equals, Missing)
	c.Check(e.Ask(0, ask("x", 10, 20)), qt.Equals, Taken)
	c.Check(e.Ask(0, short), qt.Equals, Taken)
	c.Check(e.Ask(0, ask("more", 10, 20)), qt.Equals, Full)
	var kinds []string
	_, events := ends(e)
	for _, event := range events {
		if event.Name == "short" {
			kinds = append(kinds, fmt.Sprint(event.Kind, event.AtMs))
		}
	}
	c.Check(kinds, qt.DeepEquals, []string{fmt.Sprint(Lapsed, 30.0)})
	late := ask("late", 10, 20)
	late.DeadlineMs = 1000 + 50
	c.Check(e.Ask(1000, late), qt.Equals, Taken)
	_, events = ends(e)
	c.Check(events[len(events)-1].Kind, qt.Equals, Late)
}

// Estimates are near what the machine then does.
func TestEstimates(t *testing.T) {
	c := qt.New(t)
	for _, running := range []int{0, 1, 3, 6} {
		spec := small()
		spec.QueueLimit = 20
		e := one(spec, nil)
		for i := range running {
			c.Assert(e.Ask(0, ask(fmt.Sprint("r", i), 50, 40)), qt.Equals, Taken)
		}
		_ = e.Advance(200)
		mine := ask("mine", 150, 4)
		guess := FirstMs(spec, e.State(mine), mine)
		c.Assert(e.Ask(200, mine), qt.Equals, Taken)
		_, events := ends(e)
		for _, event := range events {
			if event.Name == "mine" && event.Kind == Began {
				took := event.AtMs - 200
				c.Check(guess > took/2 && guess < took*2, qt.IsTrue, qt.Commentf("%d running: guessed %v, took %v", running, guess, took))
			}
		}
	}
}

// Whatever comes, memory is whole, each piece is told once, and all ends.
func TestAnyDay(t *testing.T) {
	c := qt.New(t)
	for seed := range int64(200) {
		luck, spec := rand.New(rand.NewSource(seed)), small()
		spec.MemoryTokens, spec.BlockTokens, spec.PieceTokens = 300+luck.Intn(500), 1+luck.Intn(16), 1+luck.Intn(5)
		e, at, next, taken := one(spec, NewStore(2)), 0.0, map[string]int{}, map[string]bool{}
		hear := func(events []Event) {
			for _, event := range events {
				switch event.Kind {
				case Piece:
					next[event.Name]++
					c.Assert(event.Number, qt.Equals, next[event.Name])
				case Done, Late, Lapsed, Ousted:
					c.Assert(taken[event.Name], qt.IsTrue)
					delete(taken, event.Name)
				}
			}
		}
		for i := range 80 {
			at += luck.Float64() * 60
			one := ask(fmt.Sprint(i), luck.Intn(100), 1+luck.Intn(40))
			one.Parts = append([]Part{{fmt.Sprint("s", luck.Intn(4)), 32}}, one.Parts...)
			one.Urgency = luck.Intn(4)
			if luck.Intn(4) == 0 {
				one.DeadlineMs = at + luck.Float64()*300
			}
			hear(e.Advance(at))
			if e.Ask(at, one) == Taken {
				taken[one.Name] = true
			}
			if luck.Intn(9) == 0 {
				_ = e.Order(at, Order{Unload: luck.Intn(2) == 0, Model: "m", Adapter: "a1", Holder: "h", Fence: 1, Expected: -1})
			}
			if name := fmt.Sprint(luck.Intn(i + 1)); luck.Intn(6) == 0 {
				hear(e.Advance(at))
				e.Drop(at, name)
				delete(taken, name)
			}
			fixed, spare := e.memory.held()
			c.Assert(fixed+spare <= spec.MemoryTokens && e.memory.own >= 0, qt.IsTrue)
		}
		for e.NextMs() != Never {
			hear(e.Advance(e.NextMs()))
		}
		fixed, _ := e.memory.held()
		c.Assert(fixed, qt.Equals, 0, qt.Commentf("seed %d", seed))
		c.Assert(len(taken), qt.Equals, 0, qt.Commentf("seed %d: %v", seed, taken))
	}
}
