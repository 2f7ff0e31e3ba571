// Package register is the compare-and-set register of the core: prepare and
// accept at a majority of controllers, with no log and no leader.
package register

import (
	"sort"

	"applequay/internal/transport/wire"
)

// CoreKey is the register that holds the core set itself.
const CoreKey = "core"

// Keys of what an acceptor notes beside the registers.
const (
	epochKey    = "#epoch"
	chosenKey   = "#core"
	foundersKey = "#founders"
	boundKey    = "#bound"
	peersKey    = "#peers"
)

type cell struct {
	promised, accepted wire.Ballot
	value              []byte
}

// Acceptor is one controller's copy of every register. It is a pure machine:
// what it returns under Then waits for its writes.
type Acceptor struct {
	cells  map[string]*cell
	epoch  int64
	chosen []byte // the newest core set known to be chosen
	// founders are who was to found the first set, if this copy is of one of them.
	founders []string
	// bound are the founders that this copy was bound to, the last one still, and
	// that one's address.
	bound     []string
	boundAddr string
	// peers are the addresses of the fronts that this machine last knew.
	peers []string
}

// NewAcceptor makes a copy with nothing in it.
//
//	acceptor := register.NewAcceptor()
func NewAcceptor() *Acceptor { return &Acceptor{cells: map[string]*cell{}} }

// Keys lists the registers this copy has heard of, sorted.
//
//	for _, key := range acceptor.Keys() { ... }
func (a *Acceptor) Keys() []string {
	keys := make([]string, 0, len(a.cells))
	for key := range a.cells {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

// Accepted returns the ballot and value this copy last took for a key.
//
//	ballot, value := acceptor.Accepted("policy")
func (a *Acceptor) Accepted(key string) (wire.Ballot, []byte) {
	if kept, ok := a.cells[key]; ok {
		return kept.accepted, kept.value
	}
	return wire.Ballot{}, nil
}

func (a *Acceptor) cell(key string) *cell {
	if _, ok := a.cells[key]; !ok {
		a.cells[key] = &cell{}
	}
	return a.cells[key]
}

// Epoch is the newest core set's epoch that this copy has heard of.
//
//	if asked.Epoch < acceptor.Epoch() { ... }
func (a *Acceptor) Epoch() int64 { return a.epoch }

// Raise takes notice of a core set's epoch: proposers with an older one are
// turned away from then on.
//
//	out := acceptor.Raise(4)
func (a *Acceptor) Raise(epoch int64) wire.Outputs {
	var out wire.Outputs
	if epoch > a.epoch {
		a.epoch = epoch
		out.Write(wire.KindAcceptorRecord, &wire.AcceptorRecord{Key: epochKey, Promised: wire.Ballot{N: epoch}})
	}
	return out
}

// Hear answers a proposer.
//
//	out := acceptor.Hear("l2~77", &wire.Prepare{Key: "policy", Ballot: ballot})
func (a *Acceptor) Hear(from string, body wire.Record) wire.Outputs {
	switch asked := body.(type) {
	case *wire.Prepare:
		out := a.Raise(asked.Epoch)
		told := a.prepare(&out, asked)
		out.After(from, wire.KindPromise, told)
		return out
	case *wire.Accept:
		out := a.Raise(asked.Epoch)
		told := a.accept(&out, asked)
		out.After(from, wire.KindAccepted, told)
		return out
	case *wire.Query:
		var out wire.Outputs
		told := &wire.Promise{Op: asked.Op, Key: asked.Key, Query: true, Ok: asked.Epoch >= a.epoch, Epoch: a.epoch, Core: a.core(asked.Epoch)}
		a.fill(told, asked.Have)
		out.After(from, wire.KindPromise, told)
		return out
	case *wire.KeysAsk:
		// After this answer no register is made under an older set, of which the
		// asker would not hear.
		out := a.Raise(asked.Epoch)
		out.After(from, wire.KindKeysTold, &wire.KeysTold{Op: asked.Op, Ok: asked.Epoch >= a.epoch, Keys: a.Keys()})
		return out
	}
	return wire.Outputs{}
}

func (a *Acceptor) prepare(out *wire.Outputs, asked *wire.Prepare) *wire.Promise {
	told := &wire.Promise{Op: asked.Op, Key: asked.Key, Ballot: asked.Ballot, Epoch: a.epoch, Core: a.core(asked.Epoch)}
	if asked.Epoch < a.epoch {
		return told
	}
	kept := a.cell(asked.Key)
	if Less(asked.Ballot, kept.promised) {
		told.Ballot = kept.promised
		return told
	}
	if kept.promised != asked.Ballot {
		kept.promised = asked.Ballot
		out.Write(wire.KindAcceptorRecord, &wire.AcceptorRecord{Key: asked.Key, Promised: kept.promised})
	}
	told.Ok = true
	a.fill(told, wire.Ballot{})
	return told
}

func (a *Acceptor) accept(out *wire.Outputs, asked *wire.Accept) *wire.Accepted {
	told := &wire.Accepted{Op: asked.Op, Key: asked.Key, Ballot: asked.Ballot, Epoch: a.epoch, Core: a.core(asked.Epoch)}
	if asked.Epoch < a.epoch {
		return told
	}
	kept := a.cell(asked.Key)
	if Less(asked.Ballot, kept.promised) {
		told.Ballot = kept.promised
		return told
	}
	told.Ok = true
	if kept.accepted == asked.Ballot {
		return told
	}
	kept.promised, kept.accepted, kept.value = asked.Ballot, asked.Ballot, asked.Value
	out.Write(wire.KindAcceptorRecord, &wire.AcceptorRecord{Key: asked.Key, Promised: kept.promised, Accepted: kept.accepted, Value: kept.value})
	return told
}

// Mend takes a value that is known to be chosen, where this copy is older and
// has promised nothing since.
//
//	out := acceptor.Mend(&wire.Chosen{Key: "policy", Ballot: ballot, Value: value})
func (a *Acceptor) Mend(told *wire.Chosen) wire.Outputs {
	var out wire.Outputs
	kept := a.cell(told.Key)
	if len(told.Value) == 0 || Less(told.Ballot, kept.promised) || !Less(kept.accepted, told.Ballot) {
		return out
	}
	kept.promised, kept.accepted, kept.value = told.Ballot, told.Ballot, told.Value
	out.Write(wire.KindAcceptorRecord, &wire.AcceptorRecord{Key: told.Key, Promised: kept.promised, Accepted: kept.accepted, Value: kept.value})
	return out
}

func (a *Acceptor) fill(told *wire.Promise, have wire.Ballot) {
	kept, ok := a.cells[told.Key]
	if !ok {
		return
	}
	told.Accepted = kept.accepted
	if have.N > 0 && have == kept.accepted {
		told.Same = true
		return
	}
	told.Value = kept.value
}

// Less orders ballots.
//
//	if register.Less(kept, asked) { ... }
func Less(one, other wire.Ballot) bool {
	if one.N != other.N {
		return one.N < other.N
	}
	return one.By < other.By
}
