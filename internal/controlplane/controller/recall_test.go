package controller

import (
	"math/rand"
	"testing"

	qt "github.com/frankban/quicktest"

	"applequay/internal/controlplane/register"
	"applequay/internal/transport/wire"
)

// A node that starts again tells what its journal holds of the workers, as long
// as its copy of the register names it under the very fence of that state.
func TestRecallsHomes(t *testing.T) {
	c := qt.New(t)
	cases := []struct {
		name  string
		owner wire.Owner
		seal  bool
		told  bool
	}{
		{"its own state", wire.Owner{ID: "c1~a", Fence: 4}, false, true},
		{"another owner since", wire.Owner{ID: "c2~b", Fence: 5}, false, false},
		{"its own, under a later fence", wire.Owner{ID: "c1~a", Fence: 6}, false, false},
		{"a sealed state", wire.Owner{ID: "c1~a", Fence: 4}, true, false},
	}
	for _, one := range cases {
		c.Run(one.name, func(c *qt.C) {
			state := wire.PartitionState{Owner: "c1~a", Fence: 4, Sealed: one.seal, Input: 9, Workers: map[string]wire.WorkerState{
				"w1": {Name: "w1", Known: true, Residents: []wire.Resident{{Item: "m1", State: 4}}},
			}}
			core := wire.CoreSet{Epoch: 1, Rereplicated: true, Voters: []wire.Voter{{ID: "c1~a", Addr: "10.0.0.1:1"}}}
			snapshot := &wire.Snapshot{Partitions: []wire.PartitionState{state}, Registers: []wire.AcceptorRecord{
				{Key: register.CoreKey, Promised: wire.Ballot{N: 1, By: "x"}, Accepted: wire.Ballot{N: 1, By: "x"}, Value: wire.Encode(&wire.Value{Version: 1, Body: wire.Encode(&core)})},
				{Key: "owner/0", Promised: wire.Ballot{N: 1, By: "x"}, Accepted: wire.Ballot{N: 1, By: "x"}, Value: wire.Encode(&wire.Value{Version: 1, Body: wire.Encode(&one.owner)})},
			}}
			f := New(1, Boot{ID: "c1~a", Name: "c1", Addr: "10.0.0.1:1", Partitions: 1, LeaseMs: 3200, PollMs: 500, ProbeMs: 200, CallMs: 1600}, rand.New(rand.NewSource(1)), snapshot, nil)
			f.proposer.Learn(core)
			owner, known := f.ownerOf(0)
			c.Check(known, qt.IsTrue)
			c.Check(owner.ID, qt.Equals, one.owner.ID)
			_, chosen := f.view.Owners[0]
			c.Check(chosen, qt.IsFalse)

			var out wire.Outputs
			f.recallTick(50, &out)
			c.Check(f.board.Names(), qt.HasLen, 0, qt.Commentf("told before the worker list is known"))
			f.learn(60, &out, DirectoryKey, wire.Value{Version: 3, Body: wire.Encode(&wire.WorkerList{Workers: []wire.Worker{{Name: "w1", Addr: "10.0.3.1:1", Pool: "llm"}}})})
			f.recallTick(70, &out)
			topic, told := f.board.Get("homes/llm/w1")
			c.Check(told, qt.Equals, one.told)
			if told {
				c.Check([]int64{topic.Term, topic.Step}, qt.DeepEquals, []int64{4, 9 << 16})
			}
		})
	}
}
