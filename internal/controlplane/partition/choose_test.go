package partition

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"applequay/internal/transport/wire"
)

// roomWith is a worker's news that shows some models ready.
func roomWith(name string, models ...string) wire.WorkerNews {
	room := wire.WorkerNews{Worker: name, Pool: "llm", RoomMb: testRoomMb, UsedMb: int64(len(models)) * testModelMb}
	for _, model := range models {
		room.Loaded = append(room.Loaded, wire.Loaded{Item: model, SizeMb: testModelMb, Ready: true})
	}
	return room
}

// A model goes to the best worker, wherever that stands in the list: to free room
// before any other, and else where what makes way is worth least. The workers are
// named so that the best one is never the first that is able.
func TestChoosesTheBestWorker(t *testing.T) {
	const asked = "m9"
	cases := []struct {
		name  string
		rooms []wire.WorkerNews
		busy  []string // models asked for often
		item  string
		want  string
	}{
		{"free room", []wire.WorkerNews{roomWith("w0", "m0", "m1", "m2"), roomWith("w1", "m3", "m4", "m5"), roomWith("w2", "m6")}, []string{"m0", "m3"}, asked, "w2"},
		{"what nobody asks for makes way", []wire.WorkerNews{roomWith("w0", "m0", "m1", "m2"), roomWith("w1", "m3", "m4", "m5"), roomWith("w2", "m6", "m7", "m8")},
			[]string{"m0", "m1", "m2", "m3", "m4", "m5"}, asked, "w2"},
		{"a worker with all of its models in use is left alone", []wire.WorkerNews{roomWith("w0", "m0", "m1", "m2"), roomWith("w1", "m0", "m1", "m2"), roomWith("w2", "m0", "m1", "m5")},
			[]string{"m0", "m1", "m2"}, asked, "w2"},
		{"an adapter joins its model", []wire.WorkerNews{roomWith("w0", "m0", "m1"), roomWith("w1", "m3"), roomWith("w2", "m6", "m7", "m8")}, []string{"m6"}, "m6/a1", "w2"},
	}
	for _, one := range cases {
		t.Run(one.name, func(t *testing.T) {
			c := qt.New(t)
			w := newPool(c, 1, 10, len(one.rooms), 1)
			told := &wire.Tally{Front: "l1", Demands: []wire.Demand{{Item: one.item, Rate: 1000, Live: 1, Weight: 1}}}
			for _, model := range one.busy {
				told.Demands = append(told.Demands, wire.Demand{Item: model, Rate: 20000, Live: 4, Weight: 1})
			}
			w.view.Demands.Note(w.now, told)
			w.view.Demands.Sum(w.now, w.view.Policy)
			w.view.Demands.Sum(w.now+trendMs, w.view.Policy)
			for _, room := range one.rooms {
				w.view.Rooms[room.Worker] = room
			}
			c.Check(w.p.chooseWorker(w.now+trendMs, wire.ItemState{Name: one.item}), qt.Equals, one.want)
		})
	}
}

// Models that come to workers which are all alike are spread over them: no worker is
// chosen for much more than its part.
func TestSpreadsOverEqualWorkers(t *testing.T) {
	c := qt.New(t)
	const models, workers = 200, 10
	w := newPool(c, 1, models, workers, 1)
	for name := range w.view.Workers {
		w.view.Rooms[name] = roomWith(name)
	}
	chosen := map[string]int{}
	for i := range models {
		chosen[w.p.chooseWorker(w.now, wire.ItemState{Name: fmt.Sprintf("m%d", i)})]++
	}
	c.Check(chosen, qt.HasLen, workers)
	for name, times := range chosen {
		c.Check(times <= 2*models/workers, qt.IsTrue, qt.Commentf("%s was chosen %d times of %d", name, times, models))
	}
}
