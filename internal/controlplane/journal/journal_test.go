package journal

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/samber/oops"

	"applequay/internal/transport/wire"
)

func write(text string) []wire.Write {
	return []wire.Write{{Kind: wire.KindEvent, Body: []byte(text)}}
}

// fill makes a folder with a checkpoint and three batches after it.
func fill(c *qt.C) (string, *Journal) {
	dir := c.TempDir()
	folder, err := OpenFolder(dir, 0)
	c.Assert(err, qt.IsNil)
	kept, found, err := Open(folder, "c1~aa", []byte("empty"))
	c.Assert(err, qt.IsNil)
	c.Assert(found.Fresh, qt.IsTrue)
	c.Assert(kept.Append(write("zero")), qt.IsNil)
	c.Assert(kept.Checkpoint([]byte("state")), qt.IsNil)
	for _, text := range []string{"one", "two", "three"} {
		c.Assert(kept.Append(write(text)), qt.IsNil)
	}
	return dir, kept
}

func reopen(c *qt.C, dir string) (*Journal, Recovered, error) {
	folder, err := OpenFolder(dir, 0)
	c.Assert(err, qt.IsNil)
	return Open(folder, "c1~bb", []byte("empty"))
}

func TestRecovery(t *testing.T) {
	c := qt.New(t)
	spoil := func(name string, at int, whence int) func(c *qt.C, dir string) {
		return func(c *qt.C, dir string) {
			path := filepath.Join(dir, name)
			body, err := os.ReadFile(path)
			c.Assert(err, qt.IsNil)
			body[at+whence*len(body)] ^= 0xff
			c.Assert(os.WriteFile(path, body, 0o644), qt.IsNil)
		}
	}
	shorten := func(name string, by int64) func(c *qt.C, dir string) {
		return func(c *qt.C, dir string) {
			path := filepath.Join(dir, name)
			info, err := os.Stat(path)
			c.Assert(err, qt.IsNil)
			c.Assert(os.Truncate(path, info.Size()-by), qt.IsNil)
		}
	}
	cases := []struct {
		name     string
		damage   func(c *qt.C, dir string)
		corrupt  bool
		snapshot string
		writes   []string
		cut      bool
	}{
		{name: "whole", damage: func(*qt.C, string) {}, snapshot: "state", writes: []string{"one", "two", "three"}},
		{name: "torn tail is cut", damage: shorten("log.0", 2), snapshot: "state", writes: []string{"one", "two"}, cut: true},
		{name: "garbled tail is cut", damage: spoil("log.0", -1, 1), snapshot: "state", writes: []string{"one", "two"}, cut: true},
		{name: "damage before whole batches", damage: spoil("log.0", frameHead+frameHead+2, 0), corrupt: true},
		{name: "damaged length before whole batches", damage: spoil("log.0", frameHead+20, 0), corrupt: true},
		{name: "damaged head of the log", damage: spoil("log.0", 5, 0), corrupt: true},
		{name: "damaged slot whose log was begun", damage: spoil("slot.0", -1, 1), corrupt: true},
		{name: "older slot does not matter", damage: spoil("slot.1", -1, 1), snapshot: "state", writes: []string{"one", "two", "three"}},
	}
	for _, one := range cases {
		c.Run(one.name, func(c *qt.C) {
			dir, _ := fill(c)
			one.damage(c, dir)
			kept, found, err := reopen(c, dir)
			if one.corrupt {
				failed, ok := oops.AsOops(err)
				c.Assert(ok, qt.IsTrue)
				c.Assert(failed.Code(), qt.Equals, ErrCorrupt)
				return
			}
			c.Assert(err, qt.IsNil)
			c.Check(found.Identity, qt.Equals, "c1~aa")
			c.Check(found.Fresh, qt.IsFalse)
			c.Check(string(found.Snapshot), qt.Equals, one.snapshot)
			c.Check(found.CutBytes > 0, qt.Equals, one.cut)
			var texts []string
			for _, record := range found.Writes {
				texts = append(texts, string(record.Body))
			}
			c.Check(texts, qt.DeepEquals, one.writes)
			// What is appended after a recovery is read by the next.
			c.Assert(kept.Append(write("next")), qt.IsNil)
			_, found, err = reopen(c, dir)
			c.Assert(err, qt.IsNil)
			c.Check(found.Writes, qt.HasLen, len(one.writes)+1)
		})
	}
}

// A checkpoint that was torn by a loss of power leaves the one before in force.
func TestTornCheckpoint(t *testing.T) {
	c := qt.New(t)
	dir, kept := fill(c)
	slot := frame(slotMagic, kept.generation+1, 0, []byte("newer"))
	path := filepath.Join(dir, "slot.1")
	c.Assert(os.WriteFile(path, slot[:len(slot)-3], 0o644), qt.IsNil)
	_, found, err := reopen(c, dir)
	c.Assert(err, qt.IsNil)
	c.Check(string(found.Snapshot), qt.Equals, "state")
	c.Check(found.Writes, qt.HasLen, 3)
}

// An empty folder is a new identity, whatever the machine is called.
func TestEmptyFolderIsNewIdentity(t *testing.T) {
	c := qt.New(t)
	dir, _ := fill(c)
	c.Assert(os.RemoveAll(dir), qt.IsNil)
	_, found, err := reopen(c, dir)
	c.Assert(err, qt.IsNil)
	c.Check(found.Fresh, qt.IsTrue)
	c.Check(found.Identity, qt.Equals, "c1~bb")
}
