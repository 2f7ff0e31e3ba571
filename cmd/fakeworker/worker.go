package main

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"slices"
	"time"

	"applequay/internal/controlplane/adminapi"
	"applequay/internal/controlplane/orders"
)

type worker struct {
	options
	born  string
	steps chan func(*state)
	out   *os.File
}

type held struct {
	sizeMb  int64
	base    string
	readyAt time.Time
	inWork  int
	leaving bool
}

type state struct {
	fence, seq int64
	items      map[string]*held
	runs       map[string]run
	booked     map[string]booking
	nextRun    int64
	// orderedAt is when the last order came, beforeAt the last of a lower fence,
	// or when this process began: what went before is not known.
	orderedAt, beforeAt time.Time
}

// run is the thread that owns the state.
func (w *worker) run(ctx context.Context) {
	s := &state{beforeAt: time.Now(), orderedAt: time.Now(), items: map[string]*held{}, runs: map[string]run{}, booked: map[string]booking{}}
	w.remember(s)
	w.record(entry{Event: "start", RoomMb: w.roomMb})
	for {
		select {
		case <-ctx.Done():
			return
		case step := <-w.steps:
			step(s)
		}
	}
}

// remember reads the bookings of earlier lives: an application has its own
// disk.
func (w *worker) remember(s *state) {
	file, err := os.Open(w.recordFile)
	if err != nil {
		return
	}
	defer func() { _ = file.Close() }()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var e entry
		if json.Unmarshal(lines.Bytes(), &e) == nil && e.Event == "booked" {
			s.nextRun++
			s.booked[e.Key] = booking{number: s.nextRun, tag: e.Tag}
		}
	}
}

// on runs a step on the state's thread and waits for it.
func on[T any](w *worker, step func(*state) T) T {
	back := make(chan T, 1)
	w.steps <- func(s *state) { back <- step(s) }
	return <-back
}

func (s *state) used() int64 {
	var sum int64
	for _, one := range s.items {
		sum += one.sizeMb
	}
	return sum
}

func (h *held) ready() bool { return !time.Now().Before(h.readyAt) && !h.leaving }

func (w *worker) orders(rw http.ResponseWriter, r *http.Request) {
	var asked orders.Asked
	if err := json.NewDecoder(r.Body).Decode(&asked); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	told := on(w, func(s *state) orders.Told {
		why := w.take(s, asked)
		told := orders.Told{Ok: why == "", Why: why, Fence: s.fence, Seq: s.seq, Born: w.born, RoomMb: w.roomMb, UsedMb: s.used(), QuietMs: time.Since(s.beforeAt).Milliseconds()}
		for name, one := range s.items {
			told.Loaded = append(told.Loaded, orders.Held{Item: name, Ready: one.ready(), SizeMb: one.sizeMb})
		}
		slices.SortFunc(told.Loaded, func(a, b orders.Held) int {
			if a.Item < b.Item {
				return -1
			}
			return 1
		})
		return told
	})
	status := http.StatusOK
	if !told.Ok {
		status = http.StatusConflict
	}
	adminapi.Say(rw, status, told)
}

// take carries out an order, or says why not.
func (w *worker) take(s *state, asked orders.Asked) string {
	e := entry{Event: "order", Fence: asked.Fence, Seq: asked.Seq, Item: asked.Item, SizeMb: asked.SizeMb, MbPerS: asked.MbPerS, RoomMb: w.roomMb}
	if asked.Fence < s.fence {
		e.Event, e.Why = "refused", "fence"
		w.record(e)
		return "the fence is lower"
	}
	if asked.Fence > s.fence {
		s.fence, s.seq, s.beforeAt = asked.Fence, 0, s.orderedAt
		w.record(entry{Event: "fence", Fence: asked.Fence})
	}
	if asked.Op == "look" {
		return ""
	}
	if asked.Seq <= s.seq {
		return ""
	}
	s.seq, s.orderedAt = asked.Seq, time.Now()
	e.UsedMb = s.used()
	switch asked.Op {
	case "load":
		return w.load(s, asked, e)
	case "unload":
		e.Event = "unload"
		w.record(e)
		for name, one := range s.items {
			if name == asked.Item || one.base == asked.Item {
				one.leaving = true
				if one.inWork == 0 {
					delete(s.items, name)
				}
			}
		}
		return ""
	}
	return "no such order"
}

func (w *worker) load(s *state, asked orders.Asked, e entry) string {
	e.Event = "load"
	if _, there := s.items[asked.Item]; there {
		return ""
	}
	w.record(e)
	if s.used()+asked.SizeMb > w.roomMb {
		w.record(entry{Event: "refused", Item: asked.Item, Why: "room", UsedMb: s.used(), SizeMb: asked.SizeMb, RoomMb: w.roomMb})
		return "no room"
	}
	if base, there := s.items[asked.Base]; asked.Base != "" && (!there || !base.ready()) {
		w.record(entry{Event: "refused", Item: asked.Item, Why: "base"})
		return "the model is not there"
	}
	took := time.Duration(asked.SizeMb) * time.Second / time.Duration(max(asked.MbPerS, 1))
	s.items[asked.Item] = &held{sizeMb: asked.SizeMb, base: asked.Base, readyAt: time.Now().Add(took)}
	born := s.items[asked.Item]
	time.AfterFunc(took, func() {
		w.steps <- func(s *state) {
			if s.items[asked.Item] == born {
				w.record(entry{Event: "loaded", Item: asked.Item, SizeMb: asked.SizeMb, UsedMb: s.used()})
			}
		}
	})
	return ""
}
