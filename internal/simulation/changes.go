package simulation

import (
	"encoding/json"
	"fmt"

	"applequay/internal/controlplane/controller"
	"applequay/internal/controlplane/register"
	"applequay/internal/transport/wire"
)

// Changes is a run in which the configuration is changed many times, and then a
// core machine comes in that has missed it all.
type Changes struct {
	// Count is how many changes are made, Routes how many routes the last have.
	Count, Routes int
	// Away says how the machine comes: "wiped", "cut off", "restarted" or "new".
	Away string
}

// AwayKinds are the ways in which a machine comes that missed the changes.
var AwayKinds = []string{"wiped", "cut off", "restarted", "new"}

// CatchUp is what it took until a machine had all that the others have.
type CatchUp struct {
	Ms int64
	// Bytes and Messages are all that passed between all nodes in that time.
	Bytes, Messages int64
	// State is what its checkpoint takes, Disk what its folder holds.
	State, Disk int
	// Names is what the configuration register takes to remember writes by name.
	Names int
}

// Run plays the run; the faults are what the checkers say of it.
//
//	took, faults := simulation.Changes{Count: 1000, Routes: 700, Away: "wiped"}.Run(7)
func (o Changes) Run(seed int64) (CatchUp, []string) {
	shape := Losses{Cores: 4}.shape()
	shape.LossPercent = 0
	w := New(shape, seed)
	w.Run(9000)
	at := len(w.cores) - 1
	late := w.cores[at]
	if o.Away == "cut off" {
		w.setAlone(at, true)
	}
	if o.Away == "restarted" {
		w.Crash(at, true)
	}
	for turn := range o.Count {
		w.changeOnce(fmt.Sprintf("change-%d", turn), o.Routes*(turn+1)/o.Count)
	}
	w.Run(w.NowMs + 5000)
	began := w.Carried
	beganMs := w.NowMs
	switch o.Away {
	case "wiped":
		w.Crash(at, true)
		w.Restart(at, true)
	case "cut off":
		w.setAlone(at, false)
	case "restarted":
		w.Restart(at, false)
	case "new":
		late = w.AddCore("e9", "10.0.0.9:1")
		at = len(w.cores) - 1
	}
	for (w.behind(at) > 0 || !admitted(w.coreAt(0), late.ID) || !w.coreAt(0).Rereplicated || w.coreAt(at).Epoch != w.coreAt(0).Epoch) && w.NowMs < beganMs+60000 {
		w.Run(w.NowMs + 25)
	}
	took := CatchUp{Ms: w.NowMs - beganMs, Bytes: w.Carried.Bytes - began.Bytes, Messages: w.Carried.Messages - began.Messages, State: len(wire.Encode(late.core.Snapshot()))}
	for _, body := range late.disk.volatile {
		took.Disk += len(body)
	}
	for _, kept := range late.core.Snapshot().Registers {
		if kept.Key != controller.PolicyKey {
			continue
		}
		if value, err := wire.DecodeValue(kept.Value); err == nil {
			took.Names = len(value.Lineage)
		}
	}
	return took, w.Breaches()
}

// setAlone cuts a core machine off from all others, or joins it again.
func (w *World) setAlone(at int, cut bool) {
	for addr := range w.Nodes {
		if addr != w.cores[at].Addr {
			w.Cut(addr, w.cores[at].Addr, cut)
			w.Cut(w.cores[at].Addr, addr, cut)
		}
	}
}

// changeOnce has one change acknowledged, at a machine that is up.
func (w *World) changeOnce(name string, routes int) {
	e, done := w.cores[0], false
	op := w.facts.begin(w.NowMs, "set", name, -1)
	e.nextAsk++
	e.answers[e.nextAsk] = func(outcome register.Outcome) {
		w.facts.end(w.NowMs, op, outcome, name)
		done = true
	}
	e.perform(e.core.Change(e.Clock(), e.nextAsk, register.Write{Key: controller.PolicyKey, Expected: -1, Body: w.bodyWith(name, routes), Name: name}))
	for until := w.NowMs + 10000; !done && w.NowMs < until; {
		w.Run(w.NowMs + 5)
	}
}

// bodyWith is a policy of so many routes.
func (w *World) bodyWith(name string, routes int) []byte {
	var body map[string]any
	if err := json.Unmarshal(w.Body(name), &body); err != nil {
		panic(err)
	}
	list, _ := body["routes"].([]any)
	for at := range routes {
		list = append(list, map[string]any{"path": fmt.Sprintf("/v1/more/%d", at), "service": "drafts", "kind": name})
	}
	body["routes"] = list
	out, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return out
}

// behind counts the registers of which a core machine's copy is older than
// another's, or missing.
func (w *World) behind(core int) int {
	newest := map[string]wire.Ballot{}
	mine := map[string]wire.Ballot{}
	for at, e := range w.cores {
		if !e.Up {
			continue
		}
		for _, kept := range e.core.Snapshot().Registers {
			if register.Less(newest[kept.Key], kept.Accepted) {
				newest[kept.Key] = kept.Accepted
			}
			if at == core {
				mine[kept.Key] = kept.Accepted
			}
		}
	}
	count := 0
	for key, ballot := range newest {
		if register.Less(mine[key], ballot) {
			count++
		}
	}
	return count
}
