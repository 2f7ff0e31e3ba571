package agent

import (
	"fmt"
	"math/rand"
	"testing"

	qt "github.com/frankban/quicktest"

	"applequay/internal/controlplane/controller"
	"applequay/internal/controlplane/distribution"
	"applequay/internal/controlplane/register"
	"applequay/internal/transport/wire"
)

const proxyAddr = "10.0.2.1:1"

// rested is a front among others, long after its start, with nothing under way; a
// controller told it of a policy. It is its zone's home of control and of a pool.
func rested(fronts int) *Agent { return restedBy(fronts, "") }

// restedBy is such a front with its controller in a zone.
func restedBy(fronts int, zone string) *Agent {
	var self string
	for at := 0; ; at++ {
		self = fmt.Sprintf("l1~a%d", at)
		agents := []wire.Member{{ID: self, Zone: "z"}}
		for i := range fronts - 1 {
			agents = append(agents, wire.Member{ID: fmt.Sprintf("l%d~b", i+2), Zone: "z"})
		}
		if distribution.Home(distribution.ControlService, "z", agents) == self && distribution.Home("homes/llm", "z", agents) == self && distribution.Home("homes/app", "z", agents) != self {
			break
		}
	}
	line := New(1, Boot{ID: self, Name: "l1", Addr: "10.0.1.1:1", Zone: "z", Proxy: proxyAddr, LeaseMs: 3200, ProbeMs: 200, CallMs: 1600, KeyMs: 60000, Partitions: 1}, rand.New(rand.NewSource(1)))
	line.proposer.Learn(wire.CoreSet{Epoch: 1, Voters: []wire.Voter{{ID: "c1~z", Addr: "10.0.0.1:1"}}})
	members := []wire.Member{{ID: "c1~z", Role: "controller", Zone: zone, Addr: "10.0.0.1:1", Born: 5}}
	for i := range fronts - 1 {
		members = append(members, wire.Member{ID: fmt.Sprintf("l%d~b", i+2), Role: "agent", Zone: "z", Addr: fmt.Sprintf("10.0.1.%d:1", i+2), Born: 5})
	}
	line.Hear(2, "c1~z", &wire.ProbeAck{Members: members})
	line.Hear(3, "c1~z", &wire.News{Confirms: self, Topics: []wire.Topic{{Name: controller.PolicyKey, Step: 5, Body: []byte("{}")}}})
	for now := int64(50); now <= 5000; now += 50 {
		line.answerAll(now, line.Tick(now, now))
	}
	return line
}

// answerAll lets all who are probed answer.
func (a *Agent) answerAll(now int64, out wire.Outputs) {
	for _, send := range out.Sends {
		if probe, is := send.Body.(*wire.Probe); is {
			a.Hear(now, send.To, &wire.ProbeAck{Seq: probe.Seq})
		}
	}
}

// An agent rests until its next probe, unless something is under way.
func TestRests(t *testing.T) {
	homes := func(version int64) wire.Record {
		return &wire.News{Topics: []wire.Topic{{Name: "homes/llm/w1", Term: 1, Step: version}}}
	}
	cases := []struct {
		name  string
		then  func(l *Agent, now int64)
		rests bool
	}{
		{"nothing happens", func(*Agent, int64) {}, true},
		{"the first news goes on at once", func(l *Agent, now int64) { l.Hear(now, "c1~z", homes(1)) }, true},
		{"the second soon after it waits", func(l *Agent, now int64) { l.Hear(now, "c1~z", homes(1)); l.Hear(now+1, "c1~z", homes(2)) }, false},
		{"an operator's call", func(l *Agent, now int64) { l.Change(now, 1, register.Write{Key: controller.PolicyKey}) }, false},
		{"a key asked for", func(l *Agent, now int64) { l.Hear(now, "s1~x", &wire.TicketWish{Op: 1, Key: "k"}) }, false},
	}
	for _, one := range cases {
		t.Run(one.name, func(t *testing.T) {
			c := qt.New(t)
			line, now := rested(4), int64(5010)
			one.then(line, now)
			due := line.DueMs(now + 1)
			c.Check(due > now+1, qt.Equals, one.rests, qt.Commentf("due at %d, now %d", due, now+1))
			c.Check(due <= now+1+200, qt.IsTrue)
		})
	}
}

// Bursts of news of homes go to peers and proxy together; a policy goes at once.
func TestBurstsGoTogether(t *testing.T) {
	c := qt.New(t)
	line := rested(4)
	count := func(out wire.Outputs) (peers, proxy int) {
		for _, send := range out.Sends {
			if _, is := send.Body.(*wire.News); is && send.To == proxyAddr {
				proxy++
			} else if is {
				peers++
			}
		}
		return peers, proxy
	}
	var peers, proxy int
	add := func(out wire.Outputs) {
		toPeers, toProxy := count(out)
		peers, proxy = peers+toPeers, proxy+toProxy
	}
	now := int64(5010)
	for step := range int64(40) {
		// Forty in a fifth of a second, and ticks every 50 ms.
		now += 5
		add(line.Hear(now, "c1~z", &wire.News{Topics: []wire.Topic{{Name: fmt.Sprintf("homes/llm/w%d", step%8), Term: 1, Step: step}}}))
		if now%50 == 0 {
			add(line.Tick(now, now))
		}
	}
	c.Check(proxy <= 5 && proxy >= 3, qt.IsTrue, qt.Commentf("%d to the proxy", proxy))
	c.Check(peers <= 15 && peers >= 9, qt.IsTrue, qt.Commentf("%d to three peers", peers))
	add(line.Tick(now+60, now+60))
	at, _ := line.board.Get("homes/llm/w7")
	c.Check(at.Step, qt.Equals, int64(39))
	c.Check(line.passing, qt.HasLen, 0)

	line.Hear(now+61, "c1~z", &wire.News{Topics: []wire.Topic{{Name: "homes/llm/w1", Term: 2}}})
	peers, proxy = count(line.Hear(now+62, "c1~z", &wire.News{Topics: []wire.Topic{{Name: controller.PolicyKey, Step: 9, Body: []byte("{}")}}}))
	c.Check([]int{peers, proxy}, qt.DeepEquals, []int{3, 1}, qt.Commentf("a policy waits for nothing"))
	for now += 100; len(line.passing) > 0; now += 100 {
		line.Tick(now, now)
	}
	// Of a pool of which it is no home it tells its proxy alone, and what a peer told
	// it goes no further either.
	for at, from := range []string{"c1~z", "l2~b"} {
		now += 500
		peers, proxy = count(line.Hear(now, from, &wire.News{Topics: []wire.Topic{{Name: []string{"homes/app/b1", "homes/llm/w1"}[at], Term: 9}}}))
		c.Check([]int{peers, proxy}, qt.DeepEquals, []int{0, 1}, qt.Commentf(from))
	}
}

// What binds all fronts, a controller tells each front of its own zone itself: the
// home, whose link may be thin, passes on only what one of another zone told it.
func TestHomeLeavesItsZoneToTheController(t *testing.T) {
	for _, one := range []struct {
		zone, topic string
		peers       int
	}{{"z", controller.PolicyKey, 0}, {"z", controller.DirectoryKey, 0}, {"z", "homes/llm/w1", 3}, {"y", controller.PolicyKey, 3}, {"y", controller.DirectoryKey, 3}} {
		t.Run(one.topic+" from "+one.zone, func(t *testing.T) {
			c := qt.New(t)
			line, peers := restedBy(4, one.zone), 0
			out := line.Hear(5010, "c1~z", &wire.News{Topics: []wire.Topic{{Name: one.topic, Term: 1, Step: 9, Body: []byte("{}")}}})
			for _, send := range out.Sends {
				if _, is := send.Body.(*wire.News); is && send.To != proxyAddr {
					peers++
				}
			}
			c.Check(peers, qt.Equals, one.peers)
		})
	}
}

// The proxy hears that all is as it was only now and then, and at once what changed;
// one that was started again is told anew.
func TestContactIsToldWhenItChanges(t *testing.T) {
	c := qt.New(t)
	line := rested(4)
	line.Hear(5010, "c1~z", &wire.News{Topics: []wire.Topic{{Name: controller.DirectoryKey, Step: 1, Body: wire.Encode(&wire.WorkerList{})}}})
	line.Hear(5020, "s1~x", &wire.Report{})
	told := func(from, to int64) (contacts, fleets int) {
		for now := from; now < to; now += 50 {
			out := line.Tick(now, now)
			line.answerAll(now, out)
			for _, send := range out.Sends {
				switch send.Body.(type) {
				case *wire.Contact:
					contacts++
				case *wire.Fleet:
					fleets++
				}
			}
		}
		return contacts, fleets
	}
	told(5050, 6000)
	contacts, fleets := told(6000, 10000)
	c.Check(contacts >= 9 && contacts <= 11, qt.IsTrue, qt.Commentf("%d contacts in 4 s", contacts))
	c.Check(fleets >= 4 && fleets <= 6, qt.IsTrue, qt.Commentf("%d fleets in 4 s", fleets))
	line.Hear(10010, "s1~y", &wire.Report{})
	contacts, fleets = told(10050, 10300)
	c.Check(contacts >= 1 && fleets >= 1, qt.IsTrue, qt.Commentf("%d, %d", contacts, fleets))
}

// Where lists of workers follow one another soon, the others hear of the first at
// once and then of the last.
func TestListsThatFollowSoonAreToldTogether(t *testing.T) {
	c := qt.New(t)
	line := rested(4)
	told := map[string]bool{}
	now := int64(5010)
	for version := int64(1); version <= 20; version++ {
		now += 100
		line.Hear(now, "c1~z", &wire.News{Topics: []wire.Topic{{Name: controller.DirectoryKey, Step: version, Body: wire.Encode(&wire.WorkerList{})}}})
		line.answerAll(now, line.Tick(now, now))
		if version == 1 {
			c.Check(line.self().Fact[listFact], qt.Equals, "1@0")
		}
		told[line.self().Fact[listFact]] = true
	}
	c.Check(len(told) <= 3, qt.IsTrue, qt.Commentf("%v", told))
	for range 40 {
		now += 50
		line.answerAll(now, line.Tick(now, now))
	}
	c.Check(line.self().Fact[listFact], qt.Matches, "20@.*")
}

func (a *Agent) self() wire.Member {
	for _, member := range a.members.All() {
		if member.ID == a.boot.ID {
			return member
		}
	}
	return wire.Member{}
}
