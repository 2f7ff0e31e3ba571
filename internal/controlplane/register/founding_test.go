package register

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"applequay/internal/transport/wire"
)

// A copy is bound to one founder at a time, by rising addresses, and never again
// to one that it was bound to before; and so it is after a restart and from a
// checkpoint.
func TestBind(t *testing.T) {
	c := qt.New(t)
	a, replayed := NewAcceptor(), NewAcceptor()
	for _, one := range []struct{ id, addr, bound string }{
		{"b~1", "b", "b~1"}, {"a~1", "a", "b~1"}, {"b~1", "b", "b~1"}, {"b~2", "b", "b~2"}, {"b~1", "b", "b~2"}, {"c~1", "c", "c~1"}, {"b~3", "b", "c~1"},
	} {
		out := a.Bind(wire.Voter{ID: one.id, Addr: one.addr})
		for _, write := range out.Writes {
			record, err := wire.Decode(write.Kind, write.Body)
			c.Assert(err, qt.IsNil)
			replayed.Replay(record.(*wire.AcceptorRecord))
		}
		c.Check(a.Bound(), qt.Equals, one.bound)
		c.Check(replayed.Bound(), qt.Equals, one.bound)
		kept := NewAcceptor()
		for _, record := range a.Snapshot() {
			kept.Replay(&record)
		}
		c.Check(kept.Bound(), qt.Equals, one.bound)
		c.Check(kept.Bind(wire.Voter{ID: "b~1", Addr: "z"}).Writes, qt.HasLen, 0)
	}
}
