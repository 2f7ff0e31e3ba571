package register

import (
	"slices"
	"strings"

	"applequay/internal/transport/wire"
)

// core is what a proposer with an old core set is told: only what was chosen.
// A set that this copy merely accepted may have lost against another of the
// same epoch.
func (a *Acceptor) core(askedEpoch int64) []byte {
	if set, ok := a.Core(); ok && askedEpoch < a.epoch && set.Epoch > askedEpoch {
		return a.chosen
	}
	return nil
}

// Core is the newest core set that this node knows to be chosen.
//
//	if core, ok := acceptor.Core(); ok { ... }
func (a *Acceptor) Core() (wire.CoreSet, bool) { return ParseCore(a.chosen) }

// Chose notes a core set that is known to be chosen.
//
//	out := acceptor.Chose(core)
func (a *Acceptor) Chose(core wire.CoreSet) wire.Outputs {
	var out wire.Outputs
	if known, ok := a.Core(); ok && (core.Epoch < known.Epoch || (core.Epoch == known.Epoch && (known.Rereplicated || !core.Rereplicated))) {
		return out
	}
	a.chosen = wire.Encode(&wire.Value{Version: 1, Body: wire.Encode(&core)})
	out.Write(wire.KindAcceptorRecord, &wire.AcceptorRecord{Key: chosenKey, Value: a.chosen})
	return out
}

// Promised is the newest ballot that this copy promised for a register.
//
//	if acceptor.Promised("policy") == asked.Ballot { ... }
func (a *Acceptor) Promised(key string) wire.Ballot {
	if kept, ok := a.cells[key]; ok {
		return kept.promised
	}
	return wire.Ballot{}
}

// Founders are the addresses of those who were to found the first core set.
//
//	for _, addr := range acceptor.Founders() { ... }
func (a *Acceptor) Founders() []string { return a.founders }

// Found notes who is to found the first core set.
//
//	out := acceptor.Found([]string{"10.0.0.1:7100", "10.0.0.2:7100"})
func (a *Acceptor) Found(founders []string) wire.Outputs {
	var out wire.Outputs
	a.founders = founders
	record := a.foundersRecord()
	out.Write(wire.KindAcceptorRecord, &record)
	return out
}

// Bound is the identity of the founder whose set alone this copy may take up as
// the first; empty if it was never asked by one that proposes.
//
//	if told.By == acceptor.Bound() { ... }
func (a *Acceptor) Bound() string {
	if len(a.bound) == 0 {
		return ""
	}
	return a.bound[len(a.bound)-1]
}

// Bind binds this copy to a founder. Bindings pass on by rising addresses, or to
// another identity at the same one, and never back: a founder that lost it makes
// no first set any more that this copy takes up.
//
//	out := acceptor.Bind(told.Voter)
func (a *Acceptor) Bind(founder wire.Voter) wire.Outputs {
	var out wire.Outputs
	if slices.Contains(a.bound, founder.ID) || (len(a.bound) > 0 && founder.Addr < a.boundAddr) {
		return out
	}
	a.bound, a.boundAddr = append(a.bound, founder.ID), founder.Addr
	record := a.boundRecord()
	out.Write(wire.KindAcceptorRecord, &record)
	return out
}

func (a *Acceptor) boundRecord() wire.AcceptorRecord {
	return wire.AcceptorRecord{Key: boundKey, Promised: wire.Ballot{By: a.boundAddr}, Value: []byte(strings.Join(a.bound, ","))}
}

func (a *Acceptor) foundersRecord() wire.AcceptorRecord {
	return wire.AcceptorRecord{Key: foundersKey, Value: []byte(strings.Join(a.founders, ","))}
}
