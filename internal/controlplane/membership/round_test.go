package membership

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"applequay/internal/transport/wire"
)

// boundedRing is a ring of agents that probe the same few others; the first five are
// controllers, which probe all.
func boundedRing(count int) *ring {
	r := newRing(count)
	for id, one := range r.all {
		if len(id) == 2 && id < "n5" {
			one.self.Role = "controller"
		} else {
			one.limits = one.limits.Bounded()
		}
	}
	return r
}

// gone runs until all others took a dead member for removed, and returns how long that was.
func (r *ring) gone(dead string, mostMs int64) int64 {
	began := r.now
	for r.now < began+mostMs {
		r.run(50)
		left := 0
		for at := range r.all {
			if at != dead && r.standing(at, dead) != wire.StandingRemoved {
				left++
			}
		}
		if left == 0 {
			break
		}
	}
	return r.now - began
}

// In a large fleet a front probes the same few, and each member is probed by some of
// them all the time; a dead one is found as soon as if all probed all.
func TestBoundedRounds(t *testing.T) {
	c := qt.New(t)
	r := boundedRing(94)
	r.run(8000)
	asked, probed := map[string]map[string]int{}, map[string]int{}
	for range 20000 / 50 {
		for id, one := range r.all {
			out := one.Tick(r.now)
			for _, send := range out.Sends {
				if _, is := send.Body.(*wire.Probe); is && send.To != "n0" {
					if asked[id] == nil {
						asked[id] = map[string]int{}
					}
					asked[id][send.To]++
					probed[send.To]++
				}
			}
			r.carry(id, out)
		}
		r.now += 50
	}
	for id := range r.all {
		regular := 0
		for _, times := range asked[id] {
			if times >= 3 {
				regular++
			}
		}
		if r.all[id].self.Role == "agent" {
			c.Check(regular >= nearMost-4 && regular <= nearMost+2, qt.IsTrue, qt.Commentf("%s probes %d again and again", id, regular))
		}
		c.Check(id == "n0" || probed[id] >= 40, qt.IsTrue, qt.Commentf("%s was probed %d times in 20 s", id, probed[id]))
	}
	for _, dead := range []string{"n7", "n60", "n3"} {
		r.cut = func(from, to string) bool { return from == dead || to == dead }
		took := r.gone(dead, 10000)
		c.Check(took < 4000, qt.IsTrue, qt.Commentf("%s was gone after %d ms", dead, took))
		r.cut = func(string, string) bool { return false }
		r.run(8000)
		for at := range r.all {
			c.Assert(r.standing(at, dead), qt.Equals, wire.StandingWell, qt.Commentf("%s of %s, back for 8 s", at, dead))
		}
	}
}

// Parts of a fleet that were cut off from each other for long find each other again.
func TestBoundedRoundsHeal(t *testing.T) {
	c := qt.New(t)
	for _, apart := range []func(id string) bool{
		func(id string) bool { return id == "n50" },
		func(id string) bool { return id >= "n2" && id < "n4" },
		func(id string) bool { return id >= "n5" },
	} {
		r := boundedRing(94)
		r.run(8000)
		r.cut = func(from, to string) bool { return apart(from) != apart(to) }
		r.run(20000)
		wrong := func() (count int) {
			for at := range r.all {
				for of := range r.all {
					if r.standing(at, of) != wire.StandingWell {
						count++
					}
				}
			}
			return count
		}
		c.Check(wrong() > 0, qt.IsTrue)
		r.cut = func(string, string) bool { return false }
		began := r.now
		for wrong() > 0 && r.now < began+20000 {
			r.run(200)
		}
		c.Check(r.now-began < 6000, qt.IsTrue, qt.Commentf("healed after %d ms", r.now-began))
		t.Logf("healed after %d ms", r.now-began)
	}
}
