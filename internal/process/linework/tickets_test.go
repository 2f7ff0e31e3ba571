package linework

import (
	"math/rand"
	"testing"

	qt "github.com/frankban/quicktest"

	"applequay/internal/connection/wire"
	"applequay/internal/process/frame"
)

// A front asks all others about a doubtful key, and refuses it where one that
// may have sent it cannot tell.
func TestAskingAll(t *testing.T) {
	c := qt.New(t)
	cases := []struct {
		name  string
		ageMs int64 // of this front's switchboard
		told  int64 // age that the other tells, -1 if it is silent
		gone  int64 // when a third front last stood, nought if there is none
		marks []int64
		ok    bool
		done  bool
	}{
		{"all know enough", 90000, 90000, 0, []int64{7}, true, true},
		{"an old list that does not matter", 10, 10, 0, []int64{3}, true, true},
		{"the other is silent", 90000, -1, 0, []int64{7}, false, false},
		{"the other is younger than the list", 90000, 30000, 0, []int64{7}, false, true},
		{"this front is younger than the list", 30000, 90000, 0, []int64{7}, false, true},
		{"a front went while the list was in force", 90000, 90000, 70000, []int64{7}, false, true},
		{"a front went before the list", 90000, 90000, 40000, []int64{7}, true, true},
	}
	for _, one := range cases {
		c.Run(one.name, func(c *qt.C) {
			line := New(1, Boot{ID: "l1~a", Name: "l1", Addr: "10.0.1.1:1", Switchboard: "10.0.2.1:1", LeaseMs: 3200, ProbeMs: 200, CallMs: 1600, KeyMs: 60000}, rand.New(rand.NewSource(1)))
			now := int64(100000)
			line.members.Clock(now, now)
			line.rosters = []wire.Roster{{Pool: "app", Mark: 3, FromMs: 10, UntilMs: 20}, {Pool: "app", Mark: 7, FromMs: 50000, UntilMs: 90000}}
			line.settled = 3
			line.fronts["l2~b"] = &otherFront{name: "l2", stands: true, stoodMs: now, stoodAt: now, mark: 7}
			if one.gone > 0 {
				line.fronts["l3~c"] = &otherFront{name: "l3", stoodMs: one.gone, stoodAt: one.gone, mark: 7}
			}
			out := line.Hear(now, "s1", &wire.TicketWish{Op: 1, Key: "k", Server: "b2@x", Marks: one.marks, AgeMs: one.ageMs})
			if one.told >= 0 {
				out.Add(line.Hear(now+5, "l2~b", &wire.TicketTold{Op: 1, Asker: "l1~a", AgeMs: one.told}))
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

// A list is settled once every front, those that went too, has gone by a newer
// one for as long as a key may be repeated.
func TestSettled(t *testing.T) {
	c := qt.New(t)
	const now = int64(500000)
	cases := []struct {
		name                string
		until, mark, learnt int64
		stood               int64
		settled             bool
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
			line.marks[frame.DirectoryKey] = 7
			line.rosters = []wire.Roster{{Pool: "app", Mark: 7, FromMs: 1, UntilMs: one.until}}
			line.fronts["l2~b"] = &otherFront{name: "l2", stoodMs: one.stood, stoodAt: one.stood, mark: one.mark, learnt: one.learnt}
			line.watchFronts(now)
			line.settle(now)
			c.Check(line.settled == 7, qt.Equals, one.settled)
		})
	}
}
