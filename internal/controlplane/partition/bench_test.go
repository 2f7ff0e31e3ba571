package partition

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"applequay/internal/transport/wire"
)

// BenchmarkChooseWorker asks for a worker among 150 that are full, each time a moment
// later, as a controller does while demand moves.
func BenchmarkChooseWorker(b *testing.B) {
	const models, workers = 330, 150
	w := newPool(qt.New(b), 1, models, workers, 1)
	told := &wire.Tally{Front: "l1"}
	for i := range models {
		told.Demands = append(told.Demands, wire.Demand{Item: fmt.Sprintf("m%d", i), Rate: 1000, Live: 1, Weight: 1})
	}
	w.view.Demands.Note(w.now, told)
	w.view.Demands.Sum(w.now, w.view.Policy)
	for i := range workers {
		name := fmt.Sprintf("w%d", i)
		room := roomWith(name, fmt.Sprintf("m%d", i), fmt.Sprintf("m%d", (i*7)%models), fmt.Sprintf("m%d", (i*13+1)%models))
		for slot := range 8 {
			room.Loaded = append(room.Loaded, wire.Loaded{Item: fmt.Sprintf("m%d/a%d", i, slot%3), Ready: true})
		}
		w.view.Rooms[name] = room
	}
	for at := 0; b.Loop(); at++ {
		w.p.chooseWorker(w.now+int64(at%1000), wire.ItemState{Name: "m329"})
	}
}
