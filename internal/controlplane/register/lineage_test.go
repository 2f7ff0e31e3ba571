package register

import (
	"bytes"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"applequay/internal/transport/wire"
)

// written is a value after one more write; it remembers four at least.
func written(before wire.Value, name string, version int64) wire.Value {
	return remember(before, before.Body, name, version, 4)
}

// Whatever the number of later writes: a write that was made is found, or cannot
// be told from one that was forgotten; and one that was not made is never found.
func TestLineageNeverDenies(t *testing.T) {
	c := qt.New(t)
	for _, size := range []int{0, 700, 4000} {
		value := wire.Value{Body: bytes.Repeat([]byte("b"), size)}
		var bases []int64
		for at := range 200 {
			bases = append(bases, value.Version)
			value = written(value, fmt.Sprint("w", at), value.Version+1+int64(at%7)*300)
			for old, base := range bases {
				_, ok := Written(value, fmt.Sprint("w", old))
				c.Assert(ok || Forgotten(value, base), qt.IsTrue, qt.Commentf("%d of %d", old, at))
				c.Assert(ok && Forgotten(value, base) && old == at, qt.IsFalse)
			}
			_, ok := Written(value, fmt.Sprint("x", at))
			c.Assert(ok, qt.IsFalse)
			c.Assert(Forgotten(value, value.Version), qt.IsFalse)
			c.Assert(Standing(value).Version, qt.Equals, value.Version)
		}
		kept := 0
		entries(value, func([]byte, int64, []byte) bool { kept++; return true })
		c.Check(kept, qt.Equals, map[int]int{0: 4, 700: 8, 4000: 50}[size])
		c.Check(len(value.Lineage) <= max(size/lineageShare, 4*(entryBytes+1)), qt.IsTrue)
	}
}

// A value whose last write has no name, as the first core set, is not taken for
// one that remembers all.
func TestLineageOfNamelessValues(t *testing.T) {
	c := qt.New(t)
	value := written(wire.Value{Version: 3}, "a", 9)
	version, ok := Written(value, "a")
	c.Check(ok, qt.IsTrue)
	c.Check(version, qt.Equals, int64(9))
	c.Check(Forgotten(value, 2), qt.IsTrue)
	c.Check(Forgotten(value, 3), qt.IsFalse)
	// Bytes that are no lineage tell of nothing.
	for cut := range len(value.Lineage) {
		broken := wire.Value{Version: 9, Lineage: value.Lineage[:cut]}
		_, ok = Written(broken, "a")
		c.Check(ok, qt.IsFalse)
	}
}

// What a value carries for its lineage does not grow with the number of changes:
// 10, 100, 1,000 and 5,000 of them, on configurations of 6 kB and of 210 kB. With
// -v it says how much is carried, and how many changes are remembered.
func TestLineageDoesNotGrow(t *testing.T) {
	c := qt.New(t)
	const least = 256
	for _, size := range []int{6000, 210000} {
		value := wire.Value{Body: bytes.Repeat([]byte("b"), size)}
		made := 0
		for _, changes := range []int{10, 100, 1000, 5000} {
			for ; made < changes; made++ {
				value = remember(value, value.Body, fmt.Sprint("w", made), value.Version+1+int64(made%9), least)
			}
			kept := 0
			entries(value, func([]byte, int64, []byte) bool { kept++; return true })
			carried := len(wire.Encode(&value)) - size
			t.Logf("body %d, %d changes: %d bytes for %d of them", size, changes, carried, kept)
			c.Check(carried <= max(size/lineageShare, least*entryBytes)+20, qt.IsTrue, qt.Commentf("%d", carried))
			c.Check(kept, qt.Equals, min(changes, max(least, size/lineageShare/entryBytes)))
		}
	}
}

// So it is with all messages of one change among three copies and a read.
func TestRoundsDoNotGrow(t *testing.T) {
	c := qt.New(t)
	body := bytes.Repeat([]byte("b"), 6000)
	b := newBench(c, "p")
	b.proposers["p"].limits.LineageLen = 256
	carried, messages := 0, 0
	b.pass = func(_, _ string, body wire.Record) bool {
		carried, messages = carried+len(wire.Encode(body)), messages+1
		return true
	}
	largest := 0
	for made := range 1000 {
		carried, messages = 0, 0
		b.carry("p", 0, b.proposers["p"].Change(0, int64(made), "policy", int64(made), 0, body, fmt.Sprint("w", made)))
		if at := made + 1; at == 10 || at == 100 || at == 1000 {
			t.Logf("change %d: %d messages of %d bytes in all", at, messages, carried)
		}
		if made == 300 {
			largest = carried
		}
		c.Assert(b.outcomes[fmt.Sprint("p/", made)].Fate, qt.Equals, FateDone)
		c.Assert(largest == 0 || carried <= largest+100, qt.IsTrue)
	}
}
