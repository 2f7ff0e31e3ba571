package register

import (
	"strings"

	"applequay/internal/transport/wire"
)

// Replay takes a record read back from the journal.
//
//	acceptor.Replay(&wire.AcceptorRecord{Key: "policy", Promised: ballot})
func (a *Acceptor) Replay(record *wire.AcceptorRecord) {
	switch record.Key {
	case epochKey:
		a.epoch = max(a.epoch, record.Promised.N)
	case chosenKey:
		a.chosen = record.Value
	case foundersKey:
		a.founders = strings.Split(string(record.Value), ",")
	case boundKey:
		a.bound, a.boundAddr = strings.Split(string(record.Value), ","), record.Promised.By
	case peersKey:
		a.peers = nil
		if len(record.Value) > 0 {
			a.peers = strings.Split(string(record.Value), addrSeparator)
		}
	default:
		a.replayCell(record)
	}
}

// replayCell takes up what a record holds of one register.
func (a *Acceptor) replayCell(record *wire.AcceptorRecord) {
	kept := a.cell(record.Key)
	if Less(kept.promised, record.Promised) {
		kept.promised = record.Promised
	}
	if record.Accepted.N > 0 {
		kept.accepted, kept.value = record.Accepted, record.Value
	}
}

// Snapshot lists all that must be in a checkpoint.
//
//	snapshot.Registers = acceptor.Snapshot()
func (a *Acceptor) Snapshot() []wire.AcceptorRecord {
	out := []wire.AcceptorRecord{{Key: epochKey, Promised: wire.Ballot{N: a.epoch}}, {Key: chosenKey, Value: a.chosen}}
	if len(a.founders) > 0 {
		out = append(out, a.foundersRecord())
	}
	if len(a.bound) > 0 {
		out = append(out, a.boundRecord())
	}
	if len(a.peers) > 0 {
		out = append(out, a.peersRecord())
	}
	for _, key := range a.Keys() {
		kept := a.cells[key]
		out = append(out, wire.AcceptorRecord{Key: key, Promised: kept.promised, Accepted: kept.accepted, Value: kept.value})
	}
	return out
}

// Peers are the addresses of the fronts that this machine knew when it last noted them.
//
//	for _, addr := range acceptor.Peers() { ... }
func (a *Acceptor) Peers() []string { return a.peers }

// NotePeers notes the addresses of the fronts that this machine knows.
//
//	out := acceptor.NotePeers([]string{"10.0.1.1:7100"})
func (a *Acceptor) NotePeers(addrs []string) wire.Outputs {
	var out wire.Outputs
	a.peers = addrs
	record := a.peersRecord()
	out.Write(wire.KindAcceptorRecord, &record)
	return out
}

func (a *Acceptor) peersRecord() wire.AcceptorRecord {
	return wire.AcceptorRecord{Key: peersKey, Value: []byte(strings.Join(a.peers, addrSeparator))}
}

// addrSeparator stands between the addresses of a list in a record.
const addrSeparator = ","
