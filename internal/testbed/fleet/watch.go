package fleet

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Watched is what one client at a front got for the route of a policy, which
// no earlier policy has: the only way to see from outside what is in force.
type Watched struct {
	TimeMs int64
	Front  string
	Turn   int64 // of the policy asked for
	There  bool  // or an answer 404
}

// sinceRoute is the path that policies have from a turn on.
func sinceRoute(turn int64) string { return fmt.Sprintf("/v1/since/%d", turn) }

// Write writes the shape's policy at a node, with more merged in at the top; it
// has a route of its own that no policy before it has.
//
//	version, status, err := world.Write("l1", nil, -1)
func (w *World) Write(name string, more map[string]any, expected int64) (int64, int, error) {
	turn := w.turns.Add(1)
	version, status, err := w.SetPolicy(name, w.Shape.Policy(w.withTurns(more, turn)), expected)
	if err == nil && status == http.StatusOK {
		w.note("acknowledged", name, turn, fmt.Sprint(version))
		raise(&w.acked, turn)
	}
	return version, status, err
}

// withTurns adds the routes of all turns up to one; they lead to a pool that
// has no servers.
func (w *World) withTurns(more object, turn int64) object {
	out := object{}
	for key, value := range more {
		out[key] = value
	}
	var routes []object
	if given, ok := more["routes"].([]object); ok {
		routes = slices.Clone(given)
	} else {
		routes = w.Shape.routes()
	}
	for at := int64(1); at <= turn; at++ {
		routes = append(routes, object{"path": sinceRoute(at), "service": "since", "kind": "app", "deadline_ms": 1000})
	}
	out["routes"] = routes
	out["services"] = append(w.Shape.services(), object{"name": "since", "type": "app", "pool": "nowhere"})
	return out
}

// Watch asks all fronts ten times a second for the newest acknowledged turn; the
// function returned ends it and gives what was seen.
//
//	stop := world.Watch()
func (w *World) Watch() func() []Watched {
	ctx, cancel := context.WithCancel(w.ctx)
	seen := make(chan []Watched)
	// Fronts that join later are not watched.
	fronts := slices.Clone(w.Fronts)
	for _, front := range fronts {
		go func() { seen <- w.watchFront(ctx, front) }()
	}
	return func() []Watched {
		cancel()
		var all []Watched
		for range fronts {
			all = append(all, <-seen...)
		}
		slices.SortStableFunc(all, func(a, b Watched) int { return int(a.TimeMs - b.TimeMs) })
		return all
	}
}

func (w *World) watchFront(ctx context.Context, front string) []Watched {
	var all []Watched
	client := &http.Client{Timeout: time.Second}
	look := time.NewTicker(100 * time.Millisecond)
	defer look.Stop()
	for {
		select {
		case <-ctx.Done():
			return all
		case <-look.C:
		}
		turn, began := w.acked.Load(), time.Now().UnixMilli()
		answer, err := client.Post("http://"+front+sinceRoute(turn), "application/json", strings.NewReader("{}"))
		if err != nil {
			continue
		}
		told, err := io.ReadAll(answer.Body)
		_ = answer.Body.Close()
		switch {
		case err != nil:
		case answer.StatusCode == http.StatusNotFound:
			all = append(all, Watched{began, front, turn, false})
		case strings.Contains(string(told), "no server"):
			all = append(all, Watched{began, front, turn, true})
		}
	}
}

// InForce checks that a policy that was acknowledged is in force at every front that
// answers, within the time allowed; no front goes back to one before, over its
// restarts either. Fronts that were cut off, frozen or down in that time are
// late for a reason, and get the time anew.
//
//	breaches := fleet.InForce(seen, 2000)
func InForce(seen *Records, withinMs int64) []string {
	var breaches []string
	newest := map[string]int64{}
	for _, one := range seen.Watched {
		if one.There {
			newest[one.Front] = max(newest[one.Front], one.Turn)
			continue
		}
		if newest[one.Front] >= one.Turn {
			breaches = append(breaches, fmt.Sprintf("%s no longer has turn %d at %d", one.Front, one.Turn, one.TimeMs))
			continue
		}
		for _, note := range seen.Notes {
			if note.Event == "acknowledged" && note.Version == one.Turn && one.TimeMs > max(note.TimeMs, hindered(seen, one))+withinMs {
				breaches = append(breaches, fmt.Sprintf("%s does not have turn %d %d ms after it was acknowledged", one.Front, one.Turn, one.TimeMs-note.TimeMs))
			}
		}
	}
	return breaches
}

// hindered is when a front was last kept from hearing of anything.
func hindered(seen *Records, at Watched) int64 {
	var last, open int64
	away := false
	for _, note := range seen.Notes {
		if note.TimeMs > at.TimeMs {
			break
		}
		mine := strings.Contains("+"+note.Name+"+", "+l"+frontNumber(at.Front)+"+") || strings.Contains("+"+note.Name+"+", "+s"+frontNumber(at.Front)+"+")
		switch note.Event {
		case "start", "thaw":
			if mine {
				away, last = false, note.TimeMs
			}
		case "freeze", "kill":
			// Its proxy may serve on while the agent is away.
			away = away || mine
		case "cut", "lossy":
			open = note.TimeMs
		case "heal":
			open, last = 0, note.TimeMs
		}
	}
	if open > 0 || away {
		return at.TimeMs
	}
	return last
}

// frontNumber is the machine's number in a front's address.
func frontNumber(addr string) string {
	host, _, _ := strings.Cut(addr, ":")
	return host[strings.LastIndexByte(host, '.')+1:]
}

// Delivery is how long each acknowledged policy took to each front that had
// nothing against it, as clients there saw it, sorted; looks are 100 ms apart.
//
//	median := fleet.At(fleet.Delivery(seen), 50)
func Delivery(seen *Records) []int64 {
	var out []int64
	for _, note := range seen.Notes {
		if note.Event != "acknowledged" {
			continue
		}
		there := map[string]bool{}
		for _, one := range seen.Watched {
			if one.TimeMs >= note.TimeMs && one.Turn == note.Version && one.There && !there[one.Front] {
				there[one.Front] = true
				if hindered(seen, one) < note.TimeMs {
					out = append(out, one.TimeMs-note.TimeMs)
				}
			}
		}
	}
	slices.Sort(out)
	return out
}
