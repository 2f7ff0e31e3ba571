package controller

import (
	"math/rand"
	"testing"

	qt "github.com/frankban/quicktest"

	"applequay/internal/transport/wire"
)

// Who is let in, and who makes way: all that stand have votes, at most nine, and
// at least three are kept.
func TestNextCore(t *testing.T) {
	c := qt.New(t)
	const well, suspect, leaving, removed = wire.StandingWell, wire.StandingSuspect, wire.StandingLeaving, wire.StandingRemoved
	cases := []struct {
		name    string
		voters  string
		others  map[string]wire.Standing // by id; "x" are newcomers, the rest voters that do not stand
		joining string
		shrunk  bool
		want    string
		joins   string
	}{
		{"all is well", "abc", nil, "", false, "abc", ""},
		{"a newcomer", "abc", map[string]wire.Standing{"x": well}, "", false, "abc", "x"},
		{"a newcomer that is suspect", "abc", map[string]wire.Standing{"x": suspect}, "", false, "abc", ""},
		{"one makes way", "abc", map[string]wire.Standing{"x": well, "c": suspect}, "", false, "ab", ""},
		{"who is gone before who is doubted", "abcd", map[string]wire.Standing{"x": well, "b": suspect, "c": removed}, "", false, "abd", ""},
		{"three stay", "abc", map[string]wire.Standing{"c": removed}, "", false, "abc", ""},
		{"four become three", "abcd", map[string]wire.Standing{"d": removed}, "", false, "abc", ""},
		{"one leaves", "abcd", map[string]wire.Standing{"c": leaving}, "", false, "abd", ""},
		{"not two within a lease", "abcd", map[string]wire.Standing{"d": removed}, "", true, "abcd", ""},
		{"nine are enough", "abcdefghi", map[string]wire.Standing{"x": well}, "", false, "abcdefghi", ""},
		{"a newcomer that goes", "abc", map[string]wire.Standing{"x": removed}, "x", false, "abc", ""},
	}
	for _, one := range cases {
		c.Run(one.name, func(c *qt.C) {
			f := New(1, Boot{ID: "a", Name: "a", Addr: "a:1", Partitions: 1, LeaseMs: 3000, PollMs: 500, ProbeMs: 200, CallMs: 1600, Born: 1}, rand.New(rand.NewSource(1)), &wire.Snapshot{}, nil)
			voter := func(id string) wire.Voter { return wire.Voter{ID: id, Name: id, Addr: id + ":1"} }
			core := wire.CoreSet{Epoch: 7, Rereplicated: one.joining == ""}
			told := []wire.Member{}
			for _, letter := range one.voters {
				core.Voters = append(core.Voters, voter(string(letter)))
				told = append(told, wire.Member{ID: string(letter), Name: string(letter), Addr: string(letter) + ":1", Role: "controller", Born: 1})
			}
			if one.joining != "" {
				core.Joining = []wire.Voter{voter(one.joining)}
			}
			told = append(told, wire.Member{ID: "x", Name: "x", Addr: "x:1", Role: "controller", Born: 1})
			if _, there := one.others["x"]; !there {
				told = told[:len(told)-1]
			}
			f.Hear(5000, "z", &wire.Probe{Members: told})
			for at := range told {
				told[at].Standing = int64(one.others[told[at].ID])
			}
			f.Hear(5000, "z", &wire.Probe{Members: told})
			if one.shrunk {
				f.noteSize(9000, wire.CoreSet{Voters: append(core.Voters, voter("y"))}, core)
			}
			next, change := f.nextCore(10000, core)
			ids := ""
			for _, kept := range next.Voters {
				ids += kept.ID
			}
			joins := ""
			for _, joiner := range next.Joining {
				joins += joiner.ID
			}
			c.Check(ids, qt.Equals, one.want)
			c.Check(joins, qt.Equals, one.joins)
			c.Check(change, qt.Equals, ids != one.voters || joins != one.joining)
		})
	}
}

// Seeds found the set at the very first start alone.
func TestFounders(t *testing.T) {
	c := qt.New(t)
	cases := []struct {
		name  string
		boot  Boot
		found bool
	}{
		{"the first start", Boot{Seeds: []string{"a:1"}, Bootstrap: true}, true},
		{"a later start with an empty disk", Boot{Seeds: []string{"a:1"}}, false},
		{"not a seed", Boot{Seeds: []string{"b:1"}, Bootstrap: true}, false},
		{"the lowest seed, before the other answered", Boot{Seeds: []string{"a:1", "b:1"}, Bootstrap: true}, false},
		{"named as core", Boot{Core: []string{"a:1"}}, true},
	}
	for _, one := range cases {
		c.Run(one.name, func(c *qt.C) {
			boot := one.boot
			boot.ID, boot.Name, boot.Addr, boot.Partitions, boot.LeaseMs, boot.PollMs, boot.ProbeMs, boot.CallMs = "a~1", "a", "a:1", 1, 3000, 500, 200, 1600
			f := New(1, boot, rand.New(rand.NewSource(1)), &wire.Snapshot{}, nil)
			out := f.Tick(1, 1)
			c.Check(f.founded(), qt.Equals, one.found)
			// Started again from what was written, without being told that it is the first start.
			boot.Bootstrap = false
			again := New(1, boot, rand.New(rand.NewSource(2)), &wire.Snapshot{}, out.Writes)
			c.Check(again.founders(), qt.DeepEquals, f.founders())
		})
	}
}

// A voter that came into the set a moment ago and has not said yet how long it has
// been up counts for nobody else's admission: it may die before it caught up. One
// that was there before counts, though its age isn't known.
func TestNewVoterOfUnknownAge(t *testing.T) {
	c := qt.New(t)
	f := New(1, Boot{ID: "a", Name: "a", Addr: "a:1", Partitions: 1, LeaseMs: 3000, PollMs: 500, ProbeMs: 200, CallMs: 1600, CatchUpMs: 4000, Born: 1}, rand.New(rand.NewSource(1)), &wire.Snapshot{}, nil)
	before := wire.CoreSet{Epoch: 7, Rereplicated: true}
	var told []wire.Member
	for _, id := range []string{"a", "b", "c", "d"} {
		told = append(told, wire.Member{ID: id, Name: id, Addr: id + ":1", Role: "controller", Born: 1})
		before.Voters = append(before.Voters, wire.Voter{ID: id, Name: id, Addr: id + ":1"})
	}
	after := before
	after.Epoch++
	before.Voters = before.Voters[:3]
	f.Hear(5000, "z", &wire.Probe{Members: told})
	f.noteAdmitted(9000, before, after)
	c.Check(f.settledVoters(10000, after), qt.DeepEquals, map[string]bool{"a": true, "b": true, "c": true})
	f.noteAdmitted(10000, after, after)
	c.Check(f.settledVoters(12900, after), qt.HasLen, 3)
	c.Check(f.settledVoters(13000, after), qt.HasLen, 4)
}
