package controller

import (
	"fmt"
	"math/rand"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"applequay/internal/controlplane/register"
	"applequay/internal/transport/wire"
)

// founders are controllers that found the first core set among each other; what
// one sends arrives at once.
type founders struct {
	frames map[string]*Controller
	writes map[string][]wire.Write
	// voteless are addresses of machines without a disk.
	voteless map[string]bool
	queue    []sent
	now      int64
}

type sent struct {
	from, to string
	body     wire.Record
}

var founderAddrs = []string{"a:1", "b:1", "c:1"}

func newFounders() *founders {
	return &founders{frames: map[string]*Controller{}, writes: map[string][]wire.Write{}, now: 1}
}

// start starts the machine at an address with what is on its disk.
func (s *founders) start(addr, id string, first bool) {
	boot := Boot{ID: id, Name: id, Addr: addr, Seeds: founderAddrs, Bootstrap: first, Partitions: 1, LeaseMs: 3200, PollMs: 500, ProbeMs: 200, CallMs: 1600, Born: 1}
	s.frames[addr] = New(s.now, boot, rand.New(rand.NewSource(int64(len(id)))), &wire.Snapshot{}, s.writes[addr])
}

func (s *founders) took(addr string, out wire.Outputs) {
	s.writes[addr] = append(s.writes[addr], out.Writes...)
	for _, send := range append(out.Sends, out.Then...) {
		to := send.To
		for at, frame := range s.frames {
			if frame.boot.ID == send.To {
				to = at
			}
		}
		switch send.Body.(type) {
		case *wire.FoundAsk, *wire.FoundTold, *wire.Found:
			s.queue = append(s.queue, sent{from: addr, to: to, body: send.Body})
		}
	}
}

// run lets time pass and delivers all that is of the founding.
func (s *founders) run(ms int64) {
	for until := s.now + ms; s.now < until; s.now += 25 {
		for _, addr := range founderAddrs {
			if frame := s.frames[addr]; frame != nil {
				s.took(addr, frame.Tick(s.now, s.now))
			}
		}
		for len(s.queue) > 0 {
			one := s.queue[0]
			s.queue = s.queue[1:]
			if frame := s.frames[one.to]; frame != nil {
				s.took(one.to, frame.Hear(s.now, s.idOf(one.from), one.body))
			} else if s.voteless[one.to] {
				s.queue = append(s.queue, sent{from: one.to, to: one.from, body: &wire.FoundTold{Voter: wire.Voter{Addr: one.to}}})
			}
		}
	}
}

// idOf is the identity of the process at an address.
func (s *founders) idOf(addr string) string {
	if frame := s.frames[addr]; frame != nil {
		return frame.boot.ID
	}
	return addr[:1] + "~0"
}

// sets names the first core set that each machine took up.
func (s *founders) sets() map[string]string {
	out := map[string]string{}
	for addr, frame := range s.frames {
		core, _ := register.ParseCore(frame.accepted(register.CoreKey))
		var seats []string
		for _, voter := range core.Voters {
			seats = append(seats, voter.ID)
		}
		out[addr] = strings.Join(seats, " ")
	}
	return out
}

// Whichever founders lost what they knew of the founding, since they were killed
// before it was on disk and joined when they came back, one that still knows it
// founds, with all of them.
func TestFounderThatForgotFoundsNothing(t *testing.T) {
	c := qt.New(t)
	for _, one := range []struct {
		first [3]bool
		set   string
	}{
		{[3]bool{true, true, true}, "a~1 b~1 c~1"}, {[3]bool{false, true, true}, "b~1 a~1 c~1"}, {[3]bool{true, false, true}, "a~1 b~1 c~1"},
		{[3]bool{false, false, true}, "c~1 a~1 b~1"}, {[3]bool{false, false, false}, ""},
	} {
		c.Run(fmt.Sprint(one.first), func(c *qt.C) {
			s := newFounders()
			for at, addr := range founderAddrs {
				s.start(addr, addr[:1]+"~1", one.first[at])
			}
			s.run(1000)
			c.Check(s.sets(), qt.DeepEquals, map[string]string{"a:1": one.set, "b:1": one.set, "c:1": one.set})
		})
	}
}

// The founder with the lowest address makes a set and loses its disk before
// another knows of it: the next one founds, and what the first said of its set,
// and comes now, is taken up by nobody, also not after a restart.
func TestSetOfAFounderThatIsGone(t *testing.T) {
	c := qt.New(t)
	s := newFounders()
	for _, addr := range founderAddrs {
		s.start(addr, addr[:1]+"~1", true)
	}
	first := s.frames["a:1"]
	for first.accepted(register.CoreKey) == nil {
		s.took("a:1", first.Tick(s.now, s.now))
		s.now += 25
		asks := s.queue
		s.queue = nil
		for _, ask := range asks {
			out := s.frames[ask.to].Hear(s.now, "a~1", ask.body)
			s.writes[ask.to] = append(s.writes[ask.to], out.Writes...)
			for _, send := range out.Then {
				s.took("a:1", first.Hear(s.now, s.frames[ask.to].boot.ID, send.Body))
			}
		}
	}
	late := s.queue
	s.queue = nil
	told := &wire.FoundTold{Voter: first.voter(), Founded: true, Core: first.chosenCore(), Founder: true, Bound: "a~1"}
	delete(s.writes, "a:1")
	s.start("a:1", "a~2", false)
	s.run(1000)
	set := "b~1 a~2 c~1"
	c.Assert(s.sets(), qt.DeepEquals, map[string]string{"a:1": set, "b:1": set, "c:1": set})
	// c heard nothing of the second founding yet but was bound by it.
	again := newFounders()
	again.writes["c:1"] = s.writes["c:1"][:bindings(c, s.writes["c:1"])]
	again.start("c:1", "c~1", false)
	for _, one := range append(late, sent{to: "c:1", body: told}) {
		if one.to == "c:1" {
			again.frames["c:1"].Hear(again.now, "a~1", one.body)
		}
	}
	c.Check(again.sets()["c:1"], qt.Equals, "")
	c.Check(again.frames["c:1"].acceptor.Bound(), qt.Equals, "b~1")
}

// bindings is how many records there are up to the last that binds.
func bindings(c *qt.C, writes []wire.Write) int {
	last := 0
	for at, write := range writes {
		body, err := wire.Decode(write.Kind, write.Body)
		c.Assert(err, qt.IsNil)
		if record, is := body.(*wire.AcceptorRecord); is && record.Key == "#bound" {
			last = at + 1
		}
	}
	return last
}

// Only answers of founders that are bound to the one that proposes count, and it
// proposes only where no founder below it may know of the founding.
func TestAnswersThatAreBoundCount(t *testing.T) {
	c := qt.New(t)
	s := newFounders()
	s.start("b:1", "b~1", true)
	founder := s.frames["b:1"]
	tell := func(addr, bound string, knows bool) {
		told := &wire.FoundTold{Voter: wire.Voter{ID: addr[:1] + "~1", Addr: addr}, Founder: knows, Bound: bound}
		s.took("b:1", founder.Hear(s.now, told.Voter.ID, told))
		s.run(400)
	}
	s.run(400)
	tell("a:1", "", true)
	c.Check(founder.acceptor.Bound(), qt.Equals, "", qt.Commentf("a is to propose"))
	tell("a:1", "", false)
	c.Check(founder.acceptor.Bound(), qt.Equals, "b~1")
	tell("a:1", "b~1", false)
	tell("c:1", "", true)
	c.Check(founder.founded(), qt.IsFalse)
	tell("c:1", "b~1", true)
	c.Check(founder.founded(), qt.IsTrue)
}

// A founder that proposes, since the one before it lost its disk, takes up the set
// that one made where another has it; and who is bound to it takes it up from it.
func TestProposerTakesUpTheSetThatThereIs(t *testing.T) {
	c := qt.New(t)
	s := newFounders()
	for _, addr := range founderAddrs {
		s.start(addr, addr[:1]+"~1", true)
	}
	s.run(1000)
	made := s.frames["a:1"].chosenCore()
	s = newFounders()
	for _, addr := range founderAddrs {
		s.start(addr, addr[:1]+"~"+map[bool]string{true: "2", false: "1"}[addr == "a:1"], addr != "a:1")
	}
	b := s.frames["b:1"]
	s.took("b:1", b.Hear(s.now, "a~2", &wire.FoundTold{Voter: wire.Voter{ID: "a~2", Addr: "a:1"}}))
	s.took("b:1", b.Tick(s.now, s.now))
	c.Assert(b.acceptor.Bound(), qt.Equals, "b~1")
	s.took("b:1", b.Hear(s.now, "a~1", &wire.FoundTold{Voter: wire.Voter{ID: "a~1", Addr: "a:1"}, Founded: true, Core: made}))
	s.run(1000)
	c.Check(s.sets()["b:1"], qt.Equals, "a~1 b~1 c~1")
	c.Check(s.sets()["c:1"], qt.Equals, "a~1 b~1 c~1")
}
