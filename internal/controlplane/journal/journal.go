// Package journal keeps one controller's state on its disk: two checkpoint slots
// written in turn and a short checksummed log between, with one sync per batch.
package journal

import (
	"fmt"

	"github.com/samber/oops"

	"applequay/internal/transport/wire"
)

// Journal is owned by one goroutine.
type Journal struct {
	disk       Disk
	generation uint64
	serial     uint64
	offset     int64
	Syncs      int64
}

// Recovered is what a data folder held.
type Recovered struct {
	Identity string
	Fresh    bool
	Snapshot []byte
	Writes   []wire.Write
	CutBytes int64
}

// ErrCorrupt is the code of an error that says synced bytes are damaged.
const ErrCorrupt = "journal_corrupt"

// ErrFull is the code of an error after which the same call may be tried again:
// the disk refused to write.
const ErrFull = "journal_full"

const identityName = "identity"

// Open reads a data folder, cutting a torn tail. An empty folder gets the fresh
// identity; damage to synced bytes is an error with the code ErrCorrupt.
//
//	kept, found, err := journal.Open(folder, "c1~9f31", emptySnapshot)
func Open(disk Disk, freshIdentity string, emptySnapshot []byte) (*Journal, Recovered, error) {
	kept := &Journal{disk: disk}
	identity, there, err := disk.Read(identityName)
	if err != nil {
		return nil, Recovered{}, oops.Wrapf(err, "reading the identity")
	}
	if !there || len(identity) == 0 {
		return kept.found(freshIdentity, emptySnapshot)
	}
	slot, err := kept.bestSlot()
	if err != nil {
		return nil, Recovered{}, err
	}
	kept.generation = slot.generation
	recovered := Recovered{Identity: string(identity), Snapshot: slot.payload}
	if err := kept.readLog(&recovered); err != nil {
		return nil, Recovered{}, err
	}
	if kept.generation == 1 && len(recovered.Writes) == 0 {
		// Nothing was ever promised under this identity, which the power may have
		// cut short.
		return (&Journal{disk: disk}).found(freshIdentity, emptySnapshot)
	}
	return kept, recovered, nil
}

// found makes a new folder. The names of its files last before the identity is
// written, so that a folder with an identity always has a slot, whatever names a
// loss of power takes.
func (j *Journal) found(identity string, emptySnapshot []byte) (*Journal, Recovered, error) {
	for _, name := range []string{"slot.0", "slot.1", "log.0", "log.1", identityName} {
		if err := j.disk.Cut(name, 0); err != nil {
			return nil, Recovered{}, oops.Code(ErrFull).Wrapf(err, "making %s", name)
		}
	}
	if err := j.disk.SyncNames(); err != nil {
		return nil, Recovered{}, oops.Wrapf(err, "syncing the folder")
	}
	if err := j.Checkpoint(emptySnapshot); err != nil {
		return nil, Recovered{}, err
	}
	if err := j.disk.Write(identityName, 0, []byte(identity)); err != nil {
		return nil, Recovered{}, oops.Code(ErrFull).Wrapf(err, "writing the identity")
	}
	if err := j.disk.Sync(identityName); err != nil {
		return nil, Recovered{}, oops.Wrapf(err, "syncing the identity")
	}
	return j, Recovered{Identity: identity, Fresh: true, Snapshot: emptySnapshot}, nil
}

func (j *Journal) bestSlot() (readFrame, error) {
	var best readFrame
	for turn := range 2 {
		body, _, err := j.disk.Read(fmt.Sprintf("slot.%d", turn))
		if err != nil {
			return best, oops.Wrapf(err, "reading slot %d", turn)
		}
		if slot, ok := parseFrame(slotMagic, body); ok && slot.generation > best.generation {
			best = slot
		}
	}
	for turn := range 2 {
		body, _, err := j.disk.Read(fmt.Sprintf("log.%d", turn))
		if err != nil {
			return best, oops.Wrapf(err, "reading log %d", turn)
		}
		// A log is opened only once its slot is synced.
		if head, ok := parseFrame(openMagic, body); ok && head.generation > best.generation {
			return best, oops.Code(ErrCorrupt).Errorf("slot of generation %d is damaged: its log is there", head.generation)
		}
	}
	if best.generation == 0 {
		return best, oops.Code(ErrCorrupt).Errorf("no checkpoint slot can be read")
	}
	return best, nil
}

func (j *Journal) readLog(recovered *Recovered) error {
	name := j.logName()
	body, _, err := j.disk.Read(name)
	if err != nil {
		return oops.Wrapf(err, "reading %s", name)
	}
	head, ok := parseFrame(openMagic, body)
	if !ok || head.generation != j.generation {
		if laterFrame(body, j.generation, 0) {
			return oops.Code(ErrCorrupt).Errorf("%s: its head is damaged", name)
		}
		return j.openLog(j.generation)
	}
	at := head.size
	for at < len(body) {
		batch, ok := parseFrame(batchMagic, body[at:])
		if !ok || batch.generation != j.generation || batch.serial != j.serial+1 {
			if laterFrame(body[at:], j.generation, j.serial+1) {
				return oops.Code(ErrCorrupt).Errorf("%s: batch %d at byte %d is damaged and later ones are whole", name, j.serial+1, at)
			}
			break
		}
		writes, ok := unpackWrites(batch.payload)
		if !ok {
			return oops.Code(ErrCorrupt).Errorf("%s: batch %d does not parse", name, batch.serial)
		}
		recovered.Writes = append(recovered.Writes, writes...)
		j.serial++
		at += batch.size
	}
	recovered.CutBytes = int64(len(body) - at)
	j.offset = int64(at)
	if recovered.CutBytes == 0 {
		return nil
	}
	if err := j.disk.Cut(name, j.offset); err != nil {
		return oops.Code(ErrFull).Wrapf(err, "cutting the torn tail of %s", name)
	}
	return oops.Wrapf(j.sync(name), "cutting the torn tail of %s", name)
}

// Append makes a batch last with one sync.
//
//	err := kept.Append(writes)
func (j *Journal) Append(writes []wire.Write) error {
	batch := frame(batchMagic, j.generation, j.serial+1, packWrites(writes))
	if err := j.disk.Write(j.logName(), j.offset, batch); err != nil {
		// Nothing was synced: what was half written goes, and the batch may be
		// tried again.
		_ = j.disk.Cut(j.logName(), j.offset)
		return oops.Code(ErrFull).Wrapf(err, "appending to %s", j.logName())
	}
	j.serial++
	j.offset += int64(len(batch))
	return oops.Wrapf(j.sync(j.logName()), "syncing %s", j.logName())
}

// Checkpoint writes the whole state to the other slot and starts a new log. If
// the disk is full it may be tried again with the same snapshot: until the new log
// is open, the slot and the log before stay in force.
//
//	err := kept.Checkpoint(wire.Encode(&snapshot))
func (j *Journal) Checkpoint(snapshot []byte) error {
	generation := j.generation + 1
	name := fmt.Sprintf("slot.%d", generation%2)
	slot := frame(slotMagic, generation, 0, snapshot)
	if err := j.disk.Write(name, 0, slot); err != nil {
		return oops.Code(ErrFull).Wrapf(err, "writing %s", name)
	}
	if err := j.disk.Cut(name, int64(len(slot))); err != nil {
		return oops.Code(ErrFull).Wrapf(err, "writing %s", name)
	}
	if err := j.sync(name); err != nil {
		return oops.Wrapf(err, "syncing %s", name)
	}
	return j.openLog(generation)
}

func (j *Journal) openLog(generation uint64) error {
	name := logName(generation)
	head := frame(openMagic, generation, 0, nil)
	if err := j.disk.Cut(name, 0); err != nil {
		return oops.Code(ErrFull).Wrapf(err, "opening %s", name)
	}
	if err := j.disk.Write(name, 0, head); err != nil {
		return oops.Code(ErrFull).Wrapf(err, "opening %s", name)
	}
	if err := j.sync(name); err != nil {
		return oops.Wrapf(err, "opening %s", name)
	}
	j.generation, j.serial, j.offset = generation, 0, int64(len(head))
	return nil
}

func (j *Journal) logName() string { return logName(j.generation) }

func logName(generation uint64) string { return fmt.Sprintf("log.%d", generation%2) }

func (j *Journal) sync(name string) error {
	j.Syncs++
	return j.disk.Sync(name)
}

// LogBytes tells how long the log has grown since the last checkpoint.
//
//	if kept.LogBytes() > limit { ... }
func (j *Journal) LogBytes() int64 { return j.offset }
