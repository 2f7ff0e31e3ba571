package membership

import (
	"fmt"
	"math/rand"
	"testing"

	qt "github.com/frankban/quicktest"

	"applequay/internal/transport/wire"
)

// ring is some members with a network that the test may cut.
type ring struct {
	all map[string]*Members
	now int64
	cut func(from, to string) bool
	// watch, if set, sees all that is sent.
	watch func(body wire.Record)
}

func newRing(count int) *ring {
	r := &ring{all: map[string]*Members{}, cut: func(string, string) bool { return false }}
	for i := range count {
		r.join(fmt.Sprintf("n%d", i), 1)
	}
	return r
}

func (r *ring) join(id string, born int64) {
	self := wire.Member{ID: id, Role: "agent", Addr: id, Born: born, Fact: map[string]string{}}
	r.all[id] = New(self, LimitsFor(200), rand.New(rand.NewSource(int64(len(r.all)))), []string{"n0"})
}

func (r *ring) carry(from string, out wire.Outputs) {
	for _, send := range out.Sends {
		if r.watch != nil {
			r.watch(send.Body)
		}
		target, ok := r.all[send.To]
		if ok && !r.cut(from, send.To) {
			r.carry(send.To, target.Hear(r.now, from, send.Body))
		}
	}
}

func (r *ring) run(ms int64) {
	for until := r.now + ms; r.now < until; r.now += 50 {
		for i := range len(r.all) {
			id := fmt.Sprintf("n%d", i)
			r.carry(id, r.all[id].Tick(r.now))
		}
	}
}

func (r *ring) standing(at, of string) wire.Standing {
	standing, _ := r.all[at].Standing(of)
	return standing
}

func TestMembership(t *testing.T) {
	c := qt.New(t)
	silent := func(id string) func(string, string) bool {
		return func(from, to string) bool { return from == id || to == id }
	}
	cases := []struct {
		name string
		cut  func(from, to string) bool
		want wire.Standing
	}{
		{"all hear each other", func(string, string) bool { return false }, wire.StandingWell},
		{"one link is cut: others vouch", func(from, to string) bool { return from+to == "n0n4" || from+to == "n4n0" }, wire.StandingWell},
		{"one hears nobody", silent("n4"), wire.StandingRemoved},
	}
	for _, one := range cases {
		c.Run(one.name, func(c *qt.C) {
			r := newRing(6)
			r.run(6000)
			for i := range 6 {
				c.Assert(r.all[fmt.Sprintf("n%d", i)].Alive("agent"), qt.HasLen, 6)
			}
			r.cut = one.cut
			r.run(8000)
			c.Check(r.standing("n0", "n4"), qt.Equals, one.want)
			c.Check(r.standing("n2", "n4"), qt.Equals, one.want)
			// Who was removed is known again soon after it is heard.
			r.cut = func(string, string) bool { return false }
			r.run(8000)
			c.Check(r.standing("n0", "n4"), qt.Equals, wire.StandingWell)
		})
	}
}

// A member started again with its clock set back is still heard.
func TestClockSetBack(t *testing.T) {
	c := qt.New(t)
	r := newRing(3)
	r.run(3000)
	self := wire.Member{ID: "n2", Role: "agent", Addr: "elsewhere", Born: 0, Fact: map[string]string{}}
	r.all["n2"] = New(self, LimitsFor(200), rand.New(rand.NewSource(9)), []string{"n0"})
	r.run(4000)
	addr, ok := r.all["n0"].Addr("n2")
	c.Check(ok, qt.IsTrue)
	c.Check(addr, qt.Equals, "elsewhere")
}

func TestLeaving(t *testing.T) {
	c := qt.New(t)
	r := newRing(4)
	r.run(3000)
	r.all["n3"].Leave()
	r.run(2000)
	c.Check(r.standing("n1", "n3"), qt.Equals, wire.StandingLeaving)
	c.Check(r.all["n1"].Alive(""), qt.HasLen, 3)
}

// One clock that jumps moves nothing, whoever's it is.
func TestMiddleClock(t *testing.T) {
	c := qt.New(t)
	r := newRing(5)
	wall := map[string]int64{"n0": 1_000_000, "n1": 1_000_040, "n2": 999_990, "n3": 1_000_010, "n4": 9_000_000}
	for range 40 {
		for id, one := range r.all {
			one.Clock(r.now, wall[id]+r.now)
		}
		r.run(200)
	}
	for id, one := range r.all {
		off := one.Wall(r.now) - r.now - 1_000_000
		c.Check(off > -100 && off < 100, qt.IsTrue, qt.Commentf("%s is off by %d", id, off))
	}
}
