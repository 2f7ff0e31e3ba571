package lease

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"applequay/internal/transport/wire"
)

// Two nodes that claim at once and get half of four votes each do not keep each
// other out for ever.
func TestSplitVotes(t *testing.T) {
	c := qt.New(t)
	limits := LimitsFor(3200)
	four := []wire.Voter{{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "d"}}
	grantors := map[string]*Grantor{}
	for _, voter := range four {
		grantors[voter.ID] = NewGrantor(limits, -limits.LeaseMs)
	}
	names := []string{"x:1", "y:1"}
	holders := map[string]*Holder{}
	for _, name := range names {
		holders[name] = NewHolder(limits)
	}
	won := ""
	for now := int64(1000); now < 9000 && won == ""; now += 25 {
		for at, name := range names {
			holders[name].Claim(now, 3)
			_, out := holders[name].Tick(now, four, name)
			for _, send := range out.Sends {
				if back, ok := send.Body.(*wire.GrantBack); ok {
					grantors[send.To].Back(now, name, back)
					continue
				}
				// The first messages of each reach only its own half.
				if now < 1025 && (send.To < "c") != (at == 0) {
					continue
				}
				told := grantors[send.To].Ask(now, name, send.Body.(*wire.GrantAsk))
				for _, move := range holders[name].Told(now, send.To, told, four) {
					if move.Change == Reserved {
						won = name
					}
				}
			}
		}
	}
	c.Check(won != "", qt.IsTrue, qt.Commentf("nobody got the duty in 8 s"))
}

// Grantors that start one after the other give their votes one after the other:
// the only node that claims keeps its first vote until the rest come.
func TestQuietVotesAreNoSplit(t *testing.T) {
	c := qt.New(t)
	limits := LimitsFor(1600)
	three := []wire.Voter{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	grantors := map[string]*Grantor{"a": NewGrantor(limits, 0), "b": NewGrantor(limits, 400), "c": NewGrantor(limits, 400)}
	holder := NewHolder(limits)
	reservedMs := int64(0)
	for now := int64(500); now < 4000 && reservedMs == 0; now += 25 {
		holder.Claim(now, 3)
		_, out := holder.Tick(now, three, "x:1")
		for _, send := range out.Sends {
			asked, ok := send.Body.(*wire.GrantAsk)
			c.Check(ok, qt.IsTrue, qt.Commentf("the claim was given up at %d", now))
			if !ok {
				continue
			}
			for _, move := range holder.Told(now, send.To, grantors[send.To].Ask(now, "x", asked), three) {
				if move.Change == Reserved {
					reservedMs = now
				}
			}
		}
	}
	c.Check(reservedMs > 0 && reservedMs <= 2050, qt.IsTrue, qt.Commentf("reserved at %d, and granters speak from 2000 on", reservedMs))
}
