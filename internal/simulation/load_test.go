package simulation

import (
	"fmt"
	"os"
	"sort"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	ground "applequay/coordination/simulation"
)

// carried is what went by one way: how many messages, how many bytes.
type carried struct{ messages, bytes int64 }

// loads are what went by each way, from its roles and kind of message.
type loads map[string]*carried

// watched counts all that is sent from one moment to another: within a machine
// (loop), within a zone and out of it.
func (w *World) watched(from, to int64) loads {
	zones := map[string]string{}
	for _, one := range w.fronts {
		zones[one.Addr], zones[one.board.Addr] = one.zone, one.zone
	}
	for at, core := range w.cores {
		zones[core.Addr] = fmt.Sprintf("z%d", at%w.Shape.Zones)
	}
	w.Run(from)
	out := loads{}
	w.Watch = func(from, to *ground.Node, kind ground.Kind, size int) {
		where := "zone"
		if zones[from.Addr] != zones[to.Addr] {
			where = "out"
		} else if from.ID[:1] == "s" || to.ID[:1] == "s" {
			where = "loop"
		}
		for _, way := range []string{"all " + where, fmt.Sprintf("%s>%s %-4s %s", from.ID[:1], to.ID[:1], where, kind)} {
			if out[way] == nil {
				out[way] = &carried{}
			}
			out[way].messages++
			out[way].bytes += int64(size)
		}
	}
	w.Run(to)
	w.Watch = nil
	return out
}

func (l loads) table(seconds, fronts float64) string {
	ways := make([]string, 0, len(l))
	for way := range l {
		ways = append(ways, way)
	}
	sort.Slice(ways, func(i, j int) bool { return l[ways[i]].bytes > l[ways[j]].bytes })
	var out strings.Builder
	for _, way := range ways {
		one := l[way]
		fmt.Fprintf(&out, "%-32s %8.2f messages %9.3f kB a second and front\n", way, float64(one.messages)/seconds/fronts, float64(one.bytes)/1000/seconds/fronts)
	}
	return out.String()
}

// grown are shapes of large fleets; the simulator's own workers take the place
// of the platform's.
func grown() []Shape {
	large := func(name string, zones, fronts, cores, workers, models, adapters int, syncMs, turns int64) Shape {
		return Shape{Name: name, Zones: zones, Fronts: fronts, Cores: cores, Workers: workers, Models: models, Adapters: adapters, RoomMb: 6000, SyncMs: syncMs,
			StoreMbPerS: 4000, Turns: turns, LeaseMs: 3200, PollMs: 500, ProbeMs: 200, CallMs: 1600, TickMs: 50, Partitions: 12}
	}
	return []Shape{large("brilleverk-grown", 3, 64, 6, 143, 747, 640, 1, 69), large("krizanka-grown", 5, 89, 5, 65, 191, 291, 5, 35)}
}

// LOAD_SHOW=1 prints what large fleets send, by way and kind: at their start, while
// a configuration and first loads go round, and at rest.
func TestShowLoad(t *testing.T) {
	if os.Getenv("LOAD_SHOW") == "" {
		t.Skip("set LOAD_SHOW=1")
	}
	for _, shape := range grown() {
		w := New(shape, 3)
		ann := w.NewOperator("ann")
		w.At(4000, func() { ann.Set(-1) })
		for at := int64(5000); at < 14000; at += 20 {
			w.At(at, func() { w.Ask(w.Random.Intn(len(w.fronts)), w.item()) })
		}
		for _, span := range [][2]int64{{0, 4000}, {4000, 14000}, {30000, 36000}} {
			t.Logf("%s, %d to %d ms\n%s", shape.Name, span[0], span[1], w.watched(span[0], span[1]).table(float64(span[1]-span[0])/1000, float64(shape.Fronts)))
		}
	}
}

// What a front sends to others while nothing happens does not grow with the
// fleet: probes hold sums, not tables.
func TestRestingLoad(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	perFront := func(fronts int) float64 {
		shape := Brilleverk()
		shape.Fronts, shape.Workers, shape.LossPercent = fronts, 3, 0
		w := New(shape, 5)
		seen := w.watched(12000, 16000)
		return float64(seen["all zone"].bytes+seen["all out"].bytes) / float64(fronts+shape.Cores)
	}
	small, large := perFront(12), perFront(48)
	c.Check(large < small*3/2, qt.IsTrue, qt.Commentf("%.0f bytes each in 4 s with 12 fronts, %.0f with 48", small, large))
}

// asks are how many messages of a kind fronts send in all that went by.
func (l loads) asks(kind string) (count int64) {
	for way, one := range l {
		if strings.HasPrefix(way, "l>") && !strings.Contains(way, " loop ") && strings.HasSuffix(way, kind) {
			count += one.messages
		}
	}
	return count
}

// Fronts at rest ask nobody for news but now and then a controller: that all have the
// same they know from probes.
func TestRestingFrontsAskForNothing(t *testing.T) {
	t.Parallel()
	each(qt.New(t), func(c *qt.C, shape Shape) {
		shape.Fronts, shape.LossPercent = 12, 0
		w := steady(shape, 5, 9000)
		seen := w.watched(16000, 24000)
		a := float64(seen.asks("KindSubscribe")) / 8 / float64(shape.Fronts)
		probes := float64(seen.asks("KindProbe")) / 8 / float64(shape.Fronts)
		c.Check(probes > 4 && probes < 8, qt.IsTrue, qt.Commentf("%.2f probes a second and front", probes))
		c.Check(a < 1, qt.IsTrue, qt.Commentf("%.2f asks a second and front", a))
	})
}
