package explorer

import (
	"applequay/internal/controlplane/register"
	"applequay/internal/transport/wire"
)

// mostWrites is how many records gather before a checkpoint.
const mostWrites = 40

// disk is what a machine has synced: a checkpoint and the records after it.
type disk struct {
	snapshot []byte
	writes   []wire.Write
	// before is the disk as it was at the checkpoint before, or half as long ago.
	before *disk
	copies map[string]held
	// founded says that a core set lasts here.
	founded bool
	sum     sum
}

// held is a durable copy of a register.
type held struct {
	ballot wire.Ballot
	value  wire.Value
}

func (d *disk) append(writes []wire.Write) {
	for _, write := range writes {
		d.note(write)
	}
	d.writes = append(d.writes, writes...)
	if len(d.writes) > mostWrites/2 && d.before == nil {
		old := *d
		old.writes = append([]wire.Write(nil), d.writes[:len(d.writes)/2]...)
		d.before = &old
	}
}

func (d *disk) checkpoint(snapshot []byte) {
	old := *d
	old.before = nil
	d.before, d.snapshot, d.writes = &old, snapshot, nil
}

// note follows the copies of registers, and sums up all that was written.
func (d *disk) note(write wire.Write) {
	d.sum = d.sum.number(uint64(write.Kind)).bytes(write.Body)
	if write.Kind != wire.KindAcceptorRecord {
		return
	}
	var record wire.AcceptorRecord
	if record.Unmarshal(write.Body) == nil {
		d.copy(&record)
	}
}

func (d *disk) copy(record *wire.AcceptorRecord) {
	d.founded = d.founded || record.Key == register.CoreKey
	if record.Accepted.N == 0 {
		return
	}
	if d.copies == nil {
		d.copies = map[string]held{}
	}
	if value, err := wire.DecodeValue(record.Value); err == nil {
		d.copies[record.Key] = held{ballot: record.Accepted, value: value}
	}
}

// older is the disk as it was some time ago.
func (d *disk) older() disk {
	if d.before == nil {
		return disk{}
	}
	old := disk{snapshot: d.before.snapshot, writes: d.before.writes, sum: d.before.sum + 1}
	var snapshot wire.Snapshot
	if len(old.snapshot) > 0 && snapshot.Unmarshal(old.snapshot) == nil {
		for i := range snapshot.Registers {
			old.copy(&snapshot.Registers[i])
		}
	}
	for _, write := range old.writes {
		var record wire.AcceptorRecord
		if write.Kind == wire.KindAcceptorRecord && record.Unmarshal(write.Body) == nil {
			old.copy(&record)
		}
	}
	return old
}

// foundAll writes the disks of machines that were founded before.
func (w *World) foundAll() {
	core := wire.CoreSet{Epoch: 1, Size: int64(w.model.Admitted), Rereplicated: true}
	for _, m := range w.machines[:w.model.Admitted] {
		core.Voters = append(core.Voters, wire.Voter{ID: m.id, Name: m.name, Addr: m.addr})
	}
	value := wire.Encode(&wire.Value{Version: 1, Body: wire.Encode(&core)})
	first := wire.Ballot{N: 1, By: "founding"}
	for _, m := range w.machines[:w.model.Admitted] {
		acceptor := register.NewAcceptor()
		acceptor.Replay(&wire.AcceptorRecord{Key: register.CoreKey, Promised: first, Accepted: first, Value: value})
		acceptor.Raise(core.Epoch)
		acceptor.Chose(core)
		var out wire.Outputs
		for _, record := range acceptor.Snapshot() {
			out.Write(wire.KindAcceptorRecord, &record)
		}
		m.disk.append(out.Writes)
	}
	w.facts.coreSeen(w, core)
}
