package lease

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"applequay/internal/transport/wire"
)

// What was granted to the life before this one does not count for a later ask
// of this life, which would outlast the grant.
func TestLeasesOfTheLifeBefore(t *testing.T) {
	c := qt.New(t)
	voters := []wire.Voter{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	before := NewHolder(LimitsFor(3200))
	before.NumberFrom(700)
	before.Claim(0, 3)
	_, out := before.Tick(1000, voters, "")
	asked := out.Sends[0].Body.(*wire.GrantAsk)
	now := NewHolder(LimitsFor(3200))
	now.NumberFrom(90000)
	now.Claim(2000, 3)
	now.Tick(3000, voters, "")
	for _, id := range []string{"a", "b"} {
		c.Check(now.Told(3010, id, &wire.GrantTold{Op: asked.Op, Granted: asked.Holds}, voters), qt.HasLen, 0)
	}
}
