package journal

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/samber/oops"
)

// memory is a disk whose files are kept in memory.
type memory map[string][]byte

func (m memory) Read(name string) ([]byte, bool, error) {
	body, ok := m[name]
	return slices.Clone(body), ok, nil
}

func (m memory) Write(name string, offset int64, body []byte) error {
	if grow := int(offset) + len(body) - len(m[name]); grow > 0 {
		m[name] = append(m[name], make([]byte, grow)...)
	}
	copy(m[name][offset:], body)
	return nil
}

func (m memory) Cut(name string, size int64) error {
	if int64(len(m[name])) > size {
		m[name] = m[name][:size]
	} else if m[name] == nil {
		m[name] = []byte{}
	}
	return nil
}

func (memory) Sync(string) error { return nil }
func (memory) SyncNames() error  { return nil }

var files = []string{"slot.0", "slot.1", "log.0", "log.1"}

// played plays a script on a fresh journal: of each byte the lowest bit says
// whether a checkpoint comes, the others how long the batch is. It returns the
// disk, the last checkpoint and the batches after it.
func played(c *qt.C, script []byte) (disk memory, state string, batches []string) {
	disk = memory{}
	kept, _, err := Open(disk, "c1~aa", []byte("empty"))
	c.Assert(err, qt.IsNil)
	state = "empty"
	for at, step := range script {
		if step&1 == 1 {
			state, batches = fmt.Sprintf("state %d", at), nil
			c.Assert(kept.Checkpoint([]byte(state)), qt.IsNil)
			continue
		}
		text := fmt.Sprintf("%0*d", int(step>>1)+1, at)
		c.Assert(kept.Append(write(text)), qt.IsNil)
		batches = append(batches, text)
	}
	return disk, state, batches
}

// FuzzDamage damages one byte of one file, or cuts it there, after any script. A
// journal that opens then holds the last checkpoint and a beginning of what came
// after it, of which at most the last batch is gone; else it says that it is
// corrupt. It never holds what was not written.
func FuzzDamage(f *testing.F) {
	f.Add([]byte{4, 6, 8}, uint8(2), uint16(3), uint8(0xff))
	f.Add([]byte{4, 1, 8, 10, 12}, uint8(3), uint16(60), uint8(1))
	f.Add([]byte{1, 1, 1, 2}, uint8(0), uint16(30), uint8(0))
	f.Add([]byte{2, 4, 1, 6}, uint8(3), uint16(24), uint8(0x80))
	f.Fuzz(func(t *testing.T, script []byte, file uint8, at uint16, flip uint8) {
		c := qt.New(t)
		disk, state, batches := played(c, script[:min(len(script), 64)])
		name := files[int(file)%len(files)]
		if len(disk[name]) == 0 {
			return
		}
		place := int(at) % len(disk[name])
		if flip == 0 {
			disk[name] = disk[name][:place]
		} else {
			disk[name][place] ^= flip
		}
		kept, found, err := Open(disk, "c1~bb", []byte("empty"))
		if err != nil {
			failed, ok := oops.AsOops(err)
			c.Assert(ok && failed.Code() == ErrCorrupt, qt.IsTrue, qt.Commentf("%v", err))
			return
		}
		var got []string
		for _, record := range found.Writes {
			got = append(got, string(record.Body))
		}
		// Where nothing whole was ever written but the first, empty checkpoint, the
		// folder starts anew, and then always under another identity: the old one has no
		// vote that a lost batch could have promised.
		identity := "c1~aa"
		if state == "empty" && len(got) == 0 {
			identity = "c1~bb"
		}
		c.Check(found.Identity, qt.Equals, identity)
		c.Check(found.Fresh, qt.Equals, identity == "c1~bb")
		c.Assert(string(found.Snapshot), qt.Equals, state, qt.Commentf("%s at %d", name, place))
		c.Assert(len(got) <= len(batches) && slices.Equal(got, batches[:len(got)]), qt.IsTrue)
		if flip != 0 {
			c.Check(len(got) >= len(batches)-1, qt.IsTrue, qt.Commentf("one damaged byte loses one batch at most: %d of %d", len(got), len(batches)))
		}
		// It goes on from there.
		c.Assert(kept.Append(write("next")), qt.IsNil)
		_, found, err = Open(disk, "c1~cc", []byte("empty"))
		c.Assert(err, qt.IsNil)
		c.Check(found.Identity, qt.Equals, identity)
		c.Check(found.Writes, qt.HasLen, len(got)+1)
	})
}

// FuzzRecords gives any bytes to the readers of frames and of a batch's records.
func FuzzRecords(f *testing.F) {
	f.Add(packWrites(write("one")))
	f.Add(frame(batchMagic, 1, 1, packWrites(write("one"))))
	f.Fuzz(func(t *testing.T, body []byte) {
		c := qt.New(t)
		if writes, ok := unpackWrites(body); ok {
			again, ok := unpackWrites(packWrites(writes))
			c.Check(ok, qt.IsTrue)
			c.Check(reflect.DeepEqual(again, writes), qt.IsTrue)
		}
		for _, magic := range []uint32{slotMagic, openMagic, batchMagic} {
			if got, ok := parseFrame(magic, body); ok {
				c.Check(got.size <= len(body) && len(got.payload) == got.size-frameHead, qt.IsTrue)
			}
		}
		_ = laterFrame(body, 1, 0)
		_, _, err := Open(memory{"identity": []byte("c1~aa"), "slot.0": body, "log.0": body}, "x", nil)
		var failed oops.OopsError
		c.Check(err == nil || errors.As(err, &failed), qt.IsTrue)
	})
}
