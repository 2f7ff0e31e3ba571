package membership

import (
	"fmt"
	"math/rand"
	"testing"

	qt "github.com/frankban/quicktest"

	"applequay/internal/transport/wire"
)

// told runs some time and returns the most members that one message held.
func (r *ring) told(ms int64) (most int) {
	cut := r.cut
	r.watch = func(body wire.Record) {
		switch message := body.(type) {
		case *wire.Probe:
			most = max(most, len(message.Members))
		case *wire.ProbeAck:
			most = max(most, len(message.Members))
		}
	}
	r.run(ms)
	r.watch, r.cut = nil, cut
	return most
}

// Messages hold what is new or differs, and nothing else.
func TestMessagesHoldWhatDiffers(t *testing.T) {
	cases := []struct {
		name  string
		then  func(r *ring)
		least int
		most  int
	}{
		{"nothing happens", func(*ring) {}, 1, 1},
		{"one has a new fact", func(r *ring) { r.all["n3"].Set("mark", "7") }, 2, 5},
		{"all have a new fact", func(r *ring) {
			for _, one := range r.all {
				one.Set("mark", "7")
			}
		}, 2, 1 + tellMost + 40},
		{"one joins and is given all", func(r *ring) { r.join("n40", 1) }, 40, 42},
		{"one leaves, and stands badly with those who write to it", func(r *ring) { r.all["n3"].Leave() }, 2, 6},
	}
	for _, one := range cases {
		t.Run(one.name, func(t *testing.T) {
			c := qt.New(t)
			r := newRing(40)
			r.run(12000)
			one.then(r)
			most := r.told(3000)
			c.Check(most >= one.least && most <= one.most, qt.IsTrue, qt.Commentf("a message held %d members", most))
			r.run(9000)
			leaving := 0
			if r.standing("n0", "n3") == wire.StandingLeaving {
				leaving = 1
			}
			c.Check(r.told(2000), qt.Equals, 1+leaving, qt.Commentf("all is known again"))
			for id, at := range r.all {
				c.Assert(at.All(), qt.HasLen, len(r.all), qt.Commentf(id))
				for _, member := range at.All() {
					c.Assert(member.Turn, qt.Equals, r.all[member.ID].self.Turn, qt.Commentf("%s of %s", id, member.ID))
				}
			}
		})
	}
}

// What no message brought is found by sums: here nobody tells of what is new.
func TestSumsFindWhatWasMissed(t *testing.T) {
	c := qt.New(t)
	r := newRing(20)
	r.run(8000)
	r.all["n3"].Set("mark", "7")
	c.Assert(r.all["n3"].told, qt.HasLen, 1)
	for range 20 {
		for _, at := range r.all {
			clear(at.told)
		}
		r.run(200)
	}
	for id, at := range r.all {
		for _, member := range at.All() {
			if member.ID == "n3" {
				c.Check(member.Fact["mark"], qt.Equals, "7", qt.Commentf(id))
			}
		}
	}
}

func TestSums(t *testing.T) {
	c := qt.New(t)
	picture := func(turn int64, standing wire.Standing) *Members {
		r := newRing(1)
		one := r.all["n0"]
		for i := range 30 {
			one.Hear(1, "n0", &wire.ProbeAck{Members: []wire.Member{{ID: fmt.Sprintf("m%d", i), Born: 1, Turn: turn}}})
		}
		one.set(2, one.table["m7"], standing)
		return one
	}
	before := picture(1, wire.StandingWell)
	for _, one := range []struct {
		name    string
		then    *Members
		buckets int
		differ  bool
	}{
		{"the same", picture(1, wire.StandingWell), 8, false},
		{"suspicion is each node's own", picture(1, wire.StandingSuspect), 8, false},
		{"removed", picture(1, wire.StandingRemoved), 8, true},
		{"other turns", picture(2, wire.StandingWell), 8, true},
		{"no sums, no answer", picture(2, wire.StandingWell), 0, false},
		{"more sums than anyone makes", picture(2, wire.StandingWell), mostBuckets + 1, false},
	} {
		var sums []int64
		if one.buckets > 0 {
			sums = one.then.sums(one.buckets)
		}
		differs := before.differing(sums)
		c.Check(len(differs) > 0, qt.Equals, one.differ, qt.Commentf(one.name))
	}
	// One that knows hardly anybody is told all, one to whom much is new a part.
	c.Check(before.differing(make([]int64, 8)), qt.HasLen, 30)
	large := newRing(1).all["n0"]
	for i := range 100 {
		large.Hear(1, "n0", &wire.ProbeAck{Members: []wire.Member{{ID: fmt.Sprintf("m%d", i), Born: 1}}})
	}
	sums := large.sums(32)
	for at := range sums {
		sums[at]++
	}
	some := map[string]bool{}
	for range 50 {
		differ := large.differing(sums)
		c.Assert(differ, qt.HasLen, mostDiffering)
		for _, id := range differ {
			some[id] = true
		}
	}
	c.Check(some, qt.HasLen, 100, qt.Commentf("in the end all are told"))
	c.Check(before.differing(picture(1, wire.StandingRemoved).sums(32)), qt.Contains, "m7")
	for _, one := range [][2]int{{0, 4}, {13, 4}, {94, 32}, {1000, 64}} {
		c.Check(bucketsFor(one[0]), qt.Equals, one[1], qt.Commentf("%d members", one[0]))
	}
}

// In a large fleet a dead member is gone as soon as in a small one, and bounded
// messages still save those who stand from being taken for dead.
func TestLargeFleet(t *testing.T) {
	for _, percent := range []int{0, 10} {
		c := qt.New(t)
		r, random, dead := newRing(94), rand.New(rand.NewSource(3)), ""
		r.cut = func(from, to string) bool { return from == dead || to == dead || random.Intn(100) < percent }
		r.run(8000)
		wrong := 0
		for at := range r.all {
			for of := range r.all {
				if r.standing(at, of) == wire.StandingRemoved {
					wrong++
				}
			}
		}
		c.Check(wrong <= percent*len(r.all)/10, qt.IsTrue, qt.Commentf("%d of %d pairs wrong with %d in 100 lost", wrong, len(r.all)*len(r.all), percent))
		dead = "n7"
		began, gone := r.now, func() bool {
			for at := range r.all {
				if at != dead && r.standing(at, dead) != wire.StandingRemoved {
					return false
				}
			}
			return true
		}
		for !gone() && r.now < began+10000 {
			r.run(50)
		}
		c.Check(r.now-began < 4000, qt.IsTrue, qt.Commentf("gone after %d ms with %d in 100 lost", r.now-began, percent))
	}
}

// behind is how many of what members know of each other is old.
func (r *ring) behind() (count int) {
	for _, at := range r.all {
		for _, member := range at.All() {
			if member.Turn != r.all[member.ID].self.Turn {
				count++
			}
		}
	}
	return count
}

// Where all members have something new at once, as when all fronts take up a list of
// workers, all know it soon, and messages hold little more than what changed.
func TestAllChangeAtOnce(t *testing.T) {
	c := qt.New(t)
	r := newRing(94)
	for _, one := range r.all {
		one.Set("settings", "12/3200/200")
	}
	r.run(15000)
	bytes, cut := 0, r.cut
	r.watch = func(body wire.Record) { bytes += len(wire.Encode(body)) }
	for _, one := range r.all {
		one.Set("list", "12@1764660000000")
	}
	r.run(1000)
	c.Check(r.behind() < 94*94/20, qt.IsTrue, qt.Commentf("after a second %d of %d", r.behind(), 94*94))
	r.run(1000)
	c.Check(r.behind(), qt.Equals, 0)
	r.run(4000)
	r.watch, r.cut = nil, cut
	// What is new of 94 members takes some 40 bytes each; 94 members hear it several times.
	c.Check(bytes < 4_500_000, qt.IsTrue, qt.Commentf("%d bytes", bytes))
}

// A change is made to what is known of a member, or left to sums where that is too old.
func TestChangesNeedWhatWasBefore(t *testing.T) {
	c := qt.New(t)
	whole := wire.Member{ID: "m1", Name: "m", Role: "agent", Addr: "10.0.0.1:1", Born: 5, Turn: 3, Fact: map[string]string{"list": "1@0", "mark": "4"}}
	cases := []struct {
		name   string
		change wire.Member
		turn   int64
		list   string
	}{
		{"the next turn", wire.Member{ID: "m1", Born: 5, Turn: 4, Since: 4, Fact: map[string]string{"list": "2@0"}}, 4, "2@0"},
		{"several turns", wire.Member{ID: "m1", Born: 5, Turn: 9, Since: 2, Fact: map[string]string{"list": "2@0"}}, 9, "2@0"},
		{"a turn in between was missed", wire.Member{ID: "m1", Born: 5, Turn: 6, Since: 5, Fact: map[string]string{"list": "2@0"}}, 3, "1@0"},
		{"old", wire.Member{ID: "m1", Born: 5, Turn: 2, Since: 1, Fact: map[string]string{"list": "0@0"}}, 3, "1@0"},
		{"of another life", wire.Member{ID: "m1", Born: 6, Turn: 4, Since: 4, Fact: map[string]string{"list": "2@0"}}, 3, "1@0"},
		{"of somebody unknown", wire.Member{ID: "m2", Born: 5, Turn: 4, Since: 4, Fact: map[string]string{"list": "2@0"}}, 3, "1@0"},
	}
	for _, one := range cases {
		c.Run(one.name, func(c *qt.C) {
			at := newRing(1).all["n0"]
			at.Hear(1, "n9", &wire.ProbeAck{Members: []wire.Member{whole}})
			at.Hear(2, "n9", &wire.ProbeAck{Members: []wire.Member{one.change}})
			c.Assert(at.table, qt.HasLen, 1)
			got := at.table["m1"].member
			c.Check(got.Turn, qt.Equals, one.turn)
			c.Check(got.Fact, qt.DeepEquals, map[string]string{"list": one.list, "mark": "4"})
			c.Check([]string{got.Name, got.Role, got.Addr}, qt.DeepEquals, []string{"m", "agent", "10.0.0.1:1"})
		})
	}
	c.Check(whole.Fact["list"], qt.Equals, "1@0", qt.Commentf("nobody else's copy changes"))
}
