package agent

import (
	"math/rand"
	"testing"

	qt "github.com/frankban/quicktest"

	"applequay/internal/controlplane/controller"
	"applequay/internal/transport/wire"
)

// A front asks all others about a doubtful key, and refuses it where one that
// may have sent it cannot tell and nobody else can either.
func TestAskingAll(t *testing.T) {
	c := qt.New(t)
	const old, young = int64(90000), int64(30000) // the list in question is from 50000, it is 100000 now
	gone := func(name string, stood, version, bare int64) *otherFront {
		return &otherFront{name: name, stoodMs: stood, stoodAt: stood, version: version, bareAt: bare}
	}
	cases := []struct {
		name     string
		ageMs    int64            // of this front's proxy
		told     *wire.TicketTold // nothing if the other is silent
		gone     []*otherFront
		bare     int64
		versions []int64
		ok       bool
		done     bool
	}{
		{"all know enough", old, &wire.TicketTold{LineMs: old}, nil, 0, []int64{7}, true, true},
		{"an old list that does not matter", 10, &wire.TicketTold{}, nil, 0, []int64{3}, true, true},
		{"the other is silent", old, nil, nil, 0, []int64{7}, false, false},
		{"fronts that were not there before lost nothing", old, &wire.TicketTold{LineMs: young}, nil, 0, []int64{7}, true, true},
		{"the other lost its memory", old, &wire.TicketTold{LineMs: old, Lost: []string{"l2"}}, nil, 0, []int64{7}, true, true},
		{"the other was started, and an older one before it had sent alone", old, &wire.TicketTold{LineMs: young}, []*otherFront{gone("l2", 70000, 7, 60000)}, 0, []int64{7}, false, true},
		{"both lost their memory", young, &wire.TicketTold{LineMs: old, Lost: []string{"l2"}}, nil, 0, []int64{7}, false, true},
		{"this one lost its memory after sending alone", young, &wire.TicketTold{LineMs: old}, nil, 60000, []int64{7}, false, true},
		{"one went while the list was in force", old, &wire.TicketTold{LineMs: old}, []*otherFront{gone("l3", 70000, 7, 0)}, 0, []int64{7}, true, true},
		{"it may still go by that list", old, &wire.TicketTold{LineMs: old}, []*otherFront{gone("l3", 70000, 6, 0)}, 0, []int64{7}, false, true},
		{"it was started again at once", old, &wire.TicketTold{LineMs: old}, []*otherFront{gone("l2", 99000, 6, 0)}, 0, []int64{7}, true, true},
		{"two went", old, &wire.TicketTold{LineMs: old}, []*otherFront{gone("l3", 70000, 7, 0), gone("l4", 60000, 7, 0)}, 0, []int64{7}, false, true},
		{"two went before the list", old, &wire.TicketTold{LineMs: old}, []*otherFront{gone("l3", 15000, 5, 0), gone("l4", 10000, 5, 0)}, 0, []int64{7}, true, true},
		{"the other knows of one more that went", old, &wire.TicketTold{LineMs: old, Lost: []string{"l4"}}, []*otherFront{gone("l3", 70000, 7, 0)}, 0, []int64{7}, false, true},
		{"the other knows of one that may still send", old, &wire.TicketTold{LineMs: old, Lost: []string{"l4"}, Bad: "so"}, nil, 0, []int64{7}, false, true},
	}
	for _, one := range cases {
		c.Run(one.name, func(c *qt.C) {
			line := New(1, Boot{ID: "l1~a", Name: "l1", Addr: "10.0.1.1:1", Proxy: "10.0.2.1:1", LeaseMs: 3200, ProbeMs: 200, CallMs: 1600, KeyMs: 60000}, rand.New(rand.NewSource(1)))
			now := int64(100000)
			line.members.Clock(now, now)
			line.rosters = []wire.Roster{{Pool: "app", Version: 3, FromMs: 10, UntilMs: 20}, {Pool: "app", Version: 7, FromMs: 50000, UntilMs: 90000}}
			line.settled, line.bareAt = 3, one.bare
			if one.ageMs == young {
				line.boardAt = 70000
			}
			line.fronts["l2~b"] = &otherFront{name: "l2", stands: true, stoodMs: now, stoodAt: now, seenAt: 99100, version: 7}
			for at, front := range one.gone {
				line.fronts[front.name+"~g"+string(rune('a'+at))] = front
			}
			out := line.Hear(now, "s1", &wire.TicketWish{Op: 1, Key: "k", Server: "b2@x", Versions: one.versions})
			if one.told != nil {
				one.told.Op, one.told.Asker = 1, "l1~a"
				out.Add(line.Hear(now+5, "l2~b", one.told))
			}
			var done *wire.TicketDone
			for _, send := range out.Sends {
				if told, is := send.Body.(*wire.TicketDone); is {
					c.Assert(done, qt.IsNil)
					done = told
				}
			}
			c.Assert(done != nil, qt.Equals, one.done)
			if done != nil {
				c.Check(done.Ok, qt.Equals, one.ok, qt.Commentf("%s", done.Why))
			}
		})
	}
}

// A proxy that was started again tells what it knows of a key before it reports for
// the first time: that the memory of the one before is lost goes along, to the front
// that asks and into this front's own verdict.
func TestMemoryLostBeforeAReport(t *testing.T) {
	c := qt.New(t)
	now := int64(100000)
	start := func() *Agent {
		line := New(1, Boot{ID: "l1~a", Name: "l1", Addr: "10.0.1.1:1", Proxy: "10.0.2.1:1", LeaseMs: 3200, ProbeMs: 200, CallMs: 1600, KeyMs: 60000}, rand.New(rand.NewSource(1)))
		line.members.Clock(now, now)
		line.rosters = []wire.Roster{{Pool: "app", Version: 7, FromMs: 50000, UntilMs: 90000}}
		line.fronts["l2~b"] = &otherFront{name: "l2", stands: true, stoodMs: now, stoodAt: now, seenAt: 99100, version: 7}
		line.Hear(now, "s1~old", &wire.Report{})
		return line
	}
	for _, board := range []string{"s1~old", "s1~new"} {
		lost := board == "s1~new"
		told := start().Hear(now+10, board, &wire.TicketTold{Op: 1, Asker: "l2~b", FromMs: 50000, Version: 7}).Sends
		c.Assert(told, qt.HasLen, 1)
		c.Check(len(told[0].Body.(*wire.TicketTold).Lost) == 1, qt.Equals, lost)
		line := start()
		line.Hear(now+10, board, &wire.TicketWish{Op: 2, Key: "k", Server: "b2@x", Versions: []int64{7}})
		// The other front lost its memory too: together nobody knows.
		done := line.Hear(now+20, "l2~b", &wire.TicketTold{Op: 2, Asker: "l1~a", LineMs: 90000, Lost: []string{"l2"}}).Sends
		c.Assert(done, qt.HasLen, 1)
		c.Check(done[0].Body.(*wire.TicketDone).Ok, qt.Equals, !lost)
	}
}

// A list is settled once every front, those that went too, has gone by a newer
// one for as long as a key may be repeated.
func TestSettled(t *testing.T) {
	c := qt.New(t)
	const now = int64(500000)
	cases := []struct {
		name                   string
		until, version, learnt int64
		stood                  int64
		settled                bool
	}{
		{"long ago, and all go by the new one", now - 200000, 7, 0, now, true},
		{"replaced only now", now - 30000, 7, 0, now, false},
		{"the other heard of it only now", now - 200000, 7, now - 30000, now, false},
		{"the other heard of it long ago", now - 200000, 7, now - 70000, now, true},
		{"the other has not heard of it", now - 200000, 6, 0, now, false},
		{"one that went had not heard of it", now - 200000, 6, 0, now - 70000, false},
		{"and that is long ago", now - 200000, 6, 0, now - 130000, true},
	}
	for _, one := range cases {
		c.Run(one.name, func(c *qt.C) {
			line := New(1, Boot{ID: "l1~a", Name: "l1", Addr: "10.0.1.1:1", LeaseMs: 3200, ProbeMs: 200, CallMs: 1600, KeyMs: 60000}, rand.New(rand.NewSource(1)))
			line.members.Clock(now, now)
			line.versions[controller.DirectoryKey] = 7
			line.rosters = []wire.Roster{{Pool: "app", Version: 7, FromMs: 1, UntilMs: one.until}}
			line.fronts["l2~b"] = &otherFront{name: "l2", stoodMs: one.stood, stoodAt: one.stood, version: one.version, learnt: one.learnt}
			line.watchFronts(now)
			line.settle(now)
			c.Check(line.settled == 7, qt.Equals, one.settled)
		})
	}
}
