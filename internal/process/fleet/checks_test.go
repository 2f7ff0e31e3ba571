package fleet

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Each checker objects to records that break its rule on purpose, and to none
// that keep it.
func TestCheckersObject(t *testing.T) {
	c := qt.New(t)
	shape := Small()
	many := func(count int, one Served) []Served {
		var out []Served
		for range count {
			out = append(out, one)
		}
		return out
	}
	cases := []struct {
		name string
		rule string
		seen Records
		bad  bool
	}{
		{"booked once, then asked again", "booked", Records{Served: []Served{{Event: "booked", Key: "k"}, {Event: "again", Key: "k"}}}, false},
		{"booked at two back ends", "booked", Records{Served: []Served{{Event: "booked", Key: "k", Worker: "b1"}, {Event: "booked", Key: "k", Worker: "b2"}}}, true},
		{"promise kept", "promised", Records{Served: []Served{{Event: "booked", Tag: "k#2"}}, Called: []Called{{Tag: "k#1", Ran: "no"}, {Tag: "k#2", Whole: true}}}, false},
		{"promise broken", "promised", Records{Served: []Served{{Event: "run", Tag: "k#1"}}, Called: []Called{{Tag: "k#1", Ran: "no"}}}, true},
		{"unknown is no promise", "promised", Records{Served: []Served{{Event: "run", Tag: "k#1"}}, Called: []Called{{Tag: "k#1", Ran: "unknown"}}}, false},
		{"a caller found a piece skipped", "whole", Records{Called: []Called{{Bad: "piece 3 was due"}}}, true},
		{"routed", "policy", Records{Served: []Served{{Event: "came", Worker: "b1", Path: shape.App}, {Event: "came", Worker: "w1", Path: shape.Streams[0].Path}}}, false},
		{"a model call at an application", "policy", Records{Served: []Served{{Event: "came", Worker: "b1", Path: shape.Streams[0].Path}}}, true},
		{"leaving, in time", "leaving", Records{Notes: []Note{{TimeMs: 5, Event: "leaving", Name: "w1", Mark: 1}}, Served: []Served{{TimeMs: 3005, Event: "came", Worker: "w1"}}}, false},
		{"leaving, too late", "leaving", Records{Notes: []Note{{TimeMs: 5, Event: "leaving", Name: "w1", Mark: 1}}, Served: []Served{{TimeMs: 3006, Event: "came", Worker: "w1"}}}, true},
		{"turns under one fence", "turns", Records{Served: []Served{{TimeMs: 1, Event: "load", Worker: "w1", Fence: 1}, {TimeMs: 2, Event: "load", Worker: "w1", Fence: 1}}}, false},
		{"turns under two fences too close", "turns", Records{Served: []Served{{TimeMs: 1, Event: "load", Worker: "w1", Fence: 1}, {TimeMs: 2999, Event: "load", Worker: "w1", Fence: 2}}}, true},
		{"room", "room", Records{Served: []Served{{Event: "refused", Why: "fence"}}}, false},
		{"no room", "room", Records{Served: []Served{{Event: "refused", Why: "room"}}}, true},
		{"loads too fast", "rate", Records{Served: []Served{{TimeMs: 1, Event: "load", Worker: "w1", Item: "m", SizeMb: shape.StoreMbPerS * 4}, {TimeMs: 1001, Event: "loaded", Worker: "w1", Item: "m"}}}, true},
		{"loads in time", "rate", Records{Served: []Served{{TimeMs: 1, Event: "load", Worker: "w1", Item: "m", SizeMb: shape.StoreMbPerS}, {TimeMs: 1001, Event: "loaded", Worker: "w1", Item: "m"}}}, false},
		{"retries beyond a fifth", "retries", Records{Called: []Called{{Path: "/x"}}, Served: many(22, Served{Event: "came", Path: "/x"})}, true},
		{"retries within", "retries", Records{Called: []Called{{Path: "/x"}}, Served: many(2, Served{Event: "came", Path: "/x"})}, false},
		{"serving again", "serves", Records{Notes: []Note{{TimeMs: 1, Event: "back"}}, Called: []Called{{TimeMs: 12500, Whole: true}, {TimeMs: 12501}}}, false},
		{"serving almost nothing", "serves", Records{Notes: []Note{{TimeMs: 1, Event: "back"}}, Called: []Called{{TimeMs: 12500}, {TimeMs: 12501}, {TimeMs: 12502, Whole: true}}}, true},
	}
	checks := map[string]int{"booked": 0, "promised": 1, "whole": 2, "policy": 3, "leaving": 4, "turns": 5, "room": 6, "rate": 7, "retries": 8, "serves": 9}
	used := map[string]bool{}
	for _, one := range cases {
		used[one.rule] = used[one.rule] || one.bad
		c.Run(one.name, func(c *qt.C) {
			breaches := Checkers()[checks[one.rule]].Check(shape, &one.seen)
			c.Check(len(breaches) > 0, qt.Equals, one.bad, qt.Commentf("%q", breaches))
		})
	}
	c.Check(len(Checkers()), qt.Equals, len(checks))
	for rule := range checks {
		c.Check(used[rule], qt.IsTrue, qt.Commentf("%s was never seen to object", rule))
	}
}
