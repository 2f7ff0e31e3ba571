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
	cut := func(worker string) Served {
		return Served{TimeMs: 1, Event: "load", Worker: worker, Item: "m", Born: "1", SizeMb: shape.StoreMbPerS, MbPerS: shape.StoreMbPerS}
	}
	back, acked := []Note{{TimeMs: 1, Event: "back"}}, []Note{{TimeMs: 100, Event: "acknowledged", Version: 1}}
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
		{"leaving, in time", "leaving", Records{Notes: []Note{{TimeMs: 5, Event: "leaving", Name: "w1", Version: 1}}, Served: []Served{{TimeMs: 3005, Event: "came", Worker: "w1"}}}, false},
		{"leaving, too late", "leaving", Records{Notes: []Note{{TimeMs: 5, Event: "leaving", Name: "w1", Version: 1}}, Served: []Served{{TimeMs: 3006, Event: "came", Worker: "w1"}}}, true},
		{"turns under one fence", "turns", Records{Served: []Served{{TimeMs: 1, Event: "load", Worker: "w1", Fence: 1}, {TimeMs: 2, Event: "load", Worker: "w1", Fence: 1}}}, false},
		{"turns under two fences too close", "turns", Records{Served: []Served{{TimeMs: 1, Event: "load", Worker: "w1", Fence: 1}, {TimeMs: 2999, Event: "load", Worker: "w1", Fence: 2}}}, true},
		{"room", "room", Records{Served: []Served{{Event: "refused", Why: "fence"}}}, false},
		{"no room", "room", Records{Served: []Served{{Event: "refused", Why: "room"}}}, true},
		{"loads too fast", "rate", Records{Served: []Served{{TimeMs: 1, Event: "load", Worker: "w1", Item: "m", SizeMb: shape.StoreMbPerS * 4}, {TimeMs: 1001, Event: "loaded", Worker: "w1", Item: "m"}}}, true},
		{"loads in time", "rate", Records{Served: []Served{{TimeMs: 1, Event: "load", Worker: "w1", Item: "m", SizeMb: shape.StoreMbPerS}, {TimeMs: 1001, Event: "loaded", Worker: "w1", Item: "m"}}}, false},
		{"a load cut off by its worker's death", "rate", Records{Notes: []Note{{TimeMs: 501, Event: "kill", Name: "w1"}, {TimeMs: 501, Event: "kill", Name: "w2"}, {TimeMs: 501, Event: "kill", Name: "w3"}}, Served: []Served{
			cut("w1"), cut("w2"), cut("w3"), {TimeMs: 2000, Event: "start", Worker: "w1", Born: "2"}}}, true},
		{"one load cut off", "rate", Records{Notes: []Note{{TimeMs: 501, Event: "kill", Name: "w1"}}, Served: []Served{cut("w1"), {TimeMs: 2000, Event: "start", Worker: "w1", Born: "2"}}}, false},
		{"retries beyond a fifth", "retries", Records{Served: many(5, Served{Event: "came", Path: "/x", Tag: "t"})}, true},
		{"retries within", "retries", Records{Served: many(2, Served{Event: "came", Path: "/x", Tag: "t"})}, false},
		{"serving again", "serves", Records{Notes: back, Called: []Called{{TimeMs: 12500, Event: "book", Whole: true}, {TimeMs: 12501, Event: "book"}, {TimeMs: 12502, Event: "stream", Whole: true}}}, false},
		{"serving bookings only", "serves", Records{Notes: back, Called: []Called{{TimeMs: 12500, Event: "book", Whole: true}, {TimeMs: 12501, Event: "stream"}, {TimeMs: 12502, Event: "stream"}, {TimeMs: 12503, Event: "stream", Whole: true}}}, true},
		{"resume at a leaving worker, too late", "leaving", Records{Notes: []Note{{TimeMs: 5, Event: "leaving", Name: "w1", Version: 1}}, Served: []Served{{TimeMs: 3006, Event: "resume", Worker: "w1"}}}, true},
		{"a try that came once", "once", Records{Served: []Served{{Event: "came", Path: shape.App, Tag: "k#1", Worker: "b1"}, {Event: "came", Path: shape.App, Tag: "k#2", Worker: "b1"}}}, false},
		{"a try that came twice", "once", Records{Served: []Served{{Event: "came", Path: shape.App, Tag: "k#1", Worker: "b1"}, {Event: "came", Path: shape.App, Tag: "k#1", Worker: "b1"}}}, true},
		{"a policy in force in time", "force", Records{Notes: acked, Watched: []Watched{{1900, "f.1:1", 1, false}, {1950, "f.1:1", 1, true}}}, false},
		{"a policy in force too late", "force", Records{Notes: acked, Watched: []Watched{{2102, "f.1:1", 1, false}}}, true},
		{"a policy late at a front that was just started", "force", Records{Notes: append(acked, Note{TimeMs: 2000, Event: "start", Name: "l1"}), Watched: []Watched{{2102, "f.1:1", 1, false}}}, false},
		{"a policy late at a front whose agent is frozen", "force", Records{Notes: append(acked, Note{TimeMs: 1000, Event: "freeze", Name: "l1"}), Watched: []Watched{{9102, "f.1:1", 1, false}}}, false},
		{"a policy late at a front while another's agent is frozen", "force", Records{Notes: append(acked, Note{TimeMs: 1000, Event: "freeze", Name: "l2"}), Watched: []Watched{{9102, "f.1:1", 1, false}}}, true},
		{"a policy late while links are cut", "force", Records{Notes: append(acked, Note{TimeMs: 1000, Event: "cut"}), Watched: []Watched{{9102, "f.1:1", 1, false}}}, false},
		{"a policy that slips back over a restart", "force", Records{Notes: append(acked, Note{TimeMs: 2000, Event: "start", Name: "l1"}), Watched: []Watched{{1900, "f.1:1", 1, true}, {2102, "f.1:1", 1, false}}}, true},
		{"a race with one history", "race", Records{Notes: []Note{{Event: "raced", Version: 5}}}, false},
		{"a race with two", "race", Records{Notes: []Note{{Event: "raced", Version: 5, Why: "mark 3 was seen as two"}}}, true},
	}
	checks := map[string]int{"booked": 0, "promised": 1, "whole": 2, "policy": 3, "leaving": 4, "turns": 5, "room": 6, "rate": 7, "retries": 8, "serves": 9, "once": 10, "force": 11, "race": 12}
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
