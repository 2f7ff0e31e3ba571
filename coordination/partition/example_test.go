package partition_test

import (
	"bytes"
	"fmt"

	"applequay/coordination/partition"
)

// A front wants a model: the partition chooses a worker and orders the load;
// what it logged gives the same state again.
func Example() {
	policy, _ := partition.ParsePolicy([]byte(`{"store":{"mb_per_s":1000,"turns":2},"models":[{"name":"m1","pool":"llm","size_mb":400}]}`), 1)
	view := &partition.View{Policy: policy, Count: 1, Owners: map[int64]partition.Owner{0: {ID: "me", Fence: 1}},
		Workers: map[string]partition.Worker{"w1": {Name: "w1", Addr: "127.0.0.1:7800", Pool: "llm", RoomMb: 900}},
		Rooms:   map[string]partition.WorkerNews{"w1": {Worker: "w1", Pool: "llm", RoomMb: 900}}}
	owned := partition.New(0, partition.NewState(0, "me", 1), view, partition.LimitsFor(3200, 500), "me", 0)
	replayed := partition.NewState(0, "me", 1)
	perform := func(out partition.Outputs) {
		for _, write := range out.Writes {
			var event partition.Event
			if err := event.Unmarshal(write.Body); err != nil {
				fmt.Println(err)
			}
			if err := partition.Apply(replayed, &event); err != nil {
				fmt.Println(err)
			}
		}
		// Here all writes would be made durable, and only then is sent:
		for _, send := range append(out.Sends, out.Then...) {
			if order, is := send.Body.(*partition.Order); is && order.Op != "look" {
				fmt.Printf("%s: %s %s at %d MB/s under fence %d\n", order.Worker, order.Op, order.Item, order.MbPerS, order.Fence)
			}
		}
	}
	perform(owned.Seen(100, &partition.Seen{Worker: "w1", Fence: 1, RoomMb: 900, Born: "life", OrderOk: true}))
	perform(owned.Post(200, "l1", &partition.Post{Sender: "front/l1", SenderFence: 1, Fence: 1, Pos: 1, Kind: int64(partition.KindWant),
		Key: partition.ItemKey("m1"), Body: partition.Encode(&partition.Want{Item: "m1", Held: 1, Weight: 5})}))
	perform(owned.Tick(3000))
	fmt.Println("replay gives the same:", bytes.Equal(partition.Encode(owned.State()), partition.Encode(replayed)))
	// Output:
	// w1: load m1 at 500 MB/s under fence 1
	// replay gives the same: true
}
