package lease

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"applequay/internal/transport/wire"
)

// A holder gives back and gets the lease again under the same fence; its word of
// the first time comes only then, and does not free what it holds now.
func TestLateGiveBack(t *testing.T) {
	c := qt.New(t)
	limits := LimitsFor(3200)
	holder, grantor := NewHolder(limits), NewGrantor(limits, 0)
	var now int64 = 4000
	asks := func() *wire.GrantAsk {
		_, out := holder.Tick(now, voters, "a:1")
		c.Assert(out.Sends, qt.Not(qt.HasLen), 0)
		return out.Sends[0].Body.(*wire.GrantAsk)
	}
	holder.Claim(now, 3)
	first := asks()
	c.Assert(grantor.Ask(now, "a", first).Granted, qt.HasLen, 1)
	late := holder.Release([]int64{3})
	now += 1000
	holder.Claim(now, 3)
	c.Assert(grantor.Ask(now, "a", asks()).Granted, qt.HasLen, 1)
	grantor.Back(now+10, "a", late)
	id, _ := grantor.Holder(now+10, 3)
	c.Check(id, qt.Equals, "a")
	grantor.Back(now+20, "a", holder.Release([]int64{3}))
	id, _ = grantor.Holder(now+20, 3)
	c.Check(id, qt.Equals, "", qt.Commentf("given back in time it is free"))
}
