package idempotency

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"applequay/internal/transport/wire"
)

const (
	b1 = "b1@10.0.3.1:1"
	b2 = "b2@10.0.3.2:1"
)

// pair is two fronts whose agents ask each other; messages wait until carried.
type pair struct {
	books    map[string]*Book
	messages []message
	told     map[string][]Decision
}

type message struct {
	from string
	body wire.Record
}

func newPair() *pair {
	p := &pair{books: map[string]*Book{"x": New(1, "x", 0), "y": New(1, "y", 0)}, told: map[string][]Decision{}}
	p.contact(1, 0)
	return p
}

func (p *pair) contact(now, settled int64) {
	for _, book := range p.books {
		book.Hear(now, &wire.Contact{Settled: settled, KeyMs: 60000, AnswerMs: 800, GraceMs: 6400})
	}
}

func (p *pair) do(front string, out wire.Outputs) {
	for _, send := range out.Sends {
		p.messages = append(p.messages, message{front, send.Body})
	}
	for _, answer := range out.Answers {
		p.told[front] = append(p.told[front], answer.Body.(Decision))
	}
}

func other(front string) string {
	if front == "x" {
		return "y"
	}
	return "x"
}

// carry takes messages to where the agents would, in their order.
func (p *pair) carry(now int64, most int) {
	for ; most > 0 && len(p.messages) > 0; most-- {
		one := p.messages[0]
		p.messages = p.messages[1:]
		switch told := one.body.(type) {
		case *wire.TicketWish:
			p.do(other(one.from), p.books[other(one.from)].Hear(now, &wire.TicketAsk{Op: told.Op, Asker: one.from, Key: told.Key, Server: told.Server}))
		case *wire.TicketTold:
			p.do(told.Asker, p.books[told.Asker].Hear(now, &wire.TicketDone{Op: told.Op, Ok: true, Others: told.Others}))
		}
	}
}

// call makes out a call by a list that has some servers open.
func call(choice string, past string, open ...string) Call {
	made := Call{Key: "k", Choice: choice, Open: func(server string) bool {
		for _, one := range open {
			if one == server {
				return true
			}
		}
		return false
	}}
	if past != "" {
		made.Past = []Past{{Version: 5, Server: past}}
	}
	return made
}

var (
	both = []string{b1, b2}
	// old is a call by the list before, fresh one by the list that replaced it.
	old, fresh = call(b1, "", b1), call(b2, b1, both...)
)

// ways are histories of one key at two fronts.
var ways = []struct {
	name string
	run  func(p *pair)
	x, y string // where each front's last call goes, nought for a refusal
	ask  int64  // rounds that x asked
}{
	{"lists agree: another front is told, all are not asked", func(p *pair) { p.do("x", p.books["x"].Take(2, 1, call(b1, b1, both...))) }, b1, "", 0},
	{"lists differ and nobody knows the key", func(p *pair) { p.do("x", p.books["x"].Take(2, 1, fresh)) }, b2, "", 1},
	{"the other sent it by the list before", func(p *pair) {
		p.do("y", p.books["y"].Take(2, 1, old))
		p.carry(2, 9)
		p.do("x", p.books["x"].Take(3, 1, fresh))
	}, b1, b1, 1},
	{"the other sent it to one that is gone", func(p *pair) {
		p.do("y", p.books["y"].Take(2, 1, old))
		p.carry(2, 9)
		p.do("x", p.books["x"].Take(3, 1, call(b2, b1, b2)))
	}, "", b1, 1},
	{"the other, behind, wants it once it was asked", func(p *pair) {
		p.do("x", p.books["x"].Take(2, 1, fresh))
		p.carry(2, 9)
		p.do("y", p.books["y"].Take(3, 1, old))
	}, b2, "", 1},
	{"old lists that are settled do not matter", func(p *pair) {
		p.contact(2, 5)
		p.do("x", p.books["x"].Take(2, 1, fresh))
	}, b2, "", 0},
	{"no word of the others for a while", func(p *pair) { p.do("x", p.books["x"].Take(4000, 1, old)) }, "", "", 0},
	{"no word of the others: on its own", func(p *pair) { p.do("x", p.books["x"].Take(7000, 1, old)) }, b1, "", 0},
	{"on its own a doubtful key goes nowhere", func(p *pair) { p.do("x", p.books["x"].Take(7000, 1, fresh)) }, "", "", 0},
	{"lists agree here, but another has sent it elsewhere", func(p *pair) {
		p.do("y", p.books["y"].Take(2, 1, old))
		p.carry(2, 9)
		p.do("x", p.books["x"].Take(3, 1, call(b2, "", both...)))
	}, b1, b1, 1},
	{"no word of the others for too long", func(p *pair) { p.do("x", p.books["x"].Take(40000, 1, old)) }, "", "", 0},
	{"no server now, and one long before", func(p *pair) {
		p.contact(2, 5)
		p.do("x", p.books["x"].Take(2, 1, call("", b1)))
		p.do("x", p.books["x"].Take(3, 2, call(b2, b1, b2)))
	}, b2, "", 0},
	{"no server now, and one before", func(p *pair) { p.do("x", p.books["x"].Take(2, 1, call("", b1))) }, "", "", 0},
	{"the server of a known key is gone", func(p *pair) {
		p.do("x", p.books["x"].Take(2, 1, old))
		p.carry(2, 9)
		p.do("x", p.books["x"].Take(3, 2, call(b2, "", b2)))
	}, "", "", 0},
	{"known keys go where they went, lists or not", func(p *pair) {
		p.do("x", p.books["x"].Take(2, 1, old))
		p.carry(2, 9)
		p.do("x", p.books["x"].Take(3, 2, call(b2, "", both...)))
	}, b1, "", 0},
	{"the others do not say", func(p *pair) {
		p.do("x", p.books["x"].Take(2, 1, fresh))
		p.messages = nil
		p.do("x", p.books["x"].Tick(900))
		p.messages = nil
	}, "", "", 1},
	{"a key that may not be repeated any more", func(p *pair) {
		p.do("x", p.books["x"].Take(2, 1, old))
		p.carry(2, 9)
		for now := int64(60001); now < 130000; now += 60000 {
			p.contact(now, 5)
			p.do("x", p.books["x"].Tick(now))
		}
		p.do("x", p.books["x"].Take(130000, 2, fresh))
	}, b2, "", 0},
}

func TestBook(t *testing.T) {
	c := qt.New(t)
	for _, one := range ways {
		c.Run(one.name, func(c *qt.C) {
			p := newPair()
			one.run(p)
			p.carry(4, 99)
			last := func(front string) string {
				if told := p.told[front]; len(told) > 0 {
					return told[len(told)-1].Server
				}
				return ""
			}
			c.Check(last("x"), qt.Equals, one.x, qt.Commentf("%+v", p.told))
			c.Check(last("y"), qt.Equals, one.y, qt.Commentf("%+v", p.told))
			c.Check(p.books["x"].Asked, qt.Equals, one.ask)
		})
	}
}

// Two fronts that want one key for two servers at once: whichever way their
// messages cross, it does not go to both.
func TestCrossing(t *testing.T) {
	c := qt.New(t)
	for cross := range 12 {
		p := newPair()
		p.do("x", p.books["x"].Take(2, 1, call(b2, b1, both...)))
		p.carry(2, cross%4)
		p.do("y", p.books["y"].Take(2, 1, call(b1, b2, both...)))
		if cross >= 4 && len(p.messages) > 1 {
			p.messages[0], p.messages[1] = p.messages[1], p.messages[0]
		}
		p.carry(3, cross/4)
		p.carry(4, 99)
		went := map[string]bool{}
		for _, front := range []string{"x", "y"} {
			for _, told := range p.told[front] {
				if told.Server != "" {
					went[told.Server] = true
				}
			}
		}
		c.Check(len(went) <= 1, qt.IsTrue, qt.Commentf("%d: %+v", cross, p.told))
		c.Check(len(p.told["x"])+len(p.told["y"]), qt.Equals, 2, qt.Commentf("%d: both are answered", cross))
	}
}

// A verdict on a wish of the life before, that the agent still tells, is none on
// the first wish of this life: that one is asked for itself.
func TestVerdictOfTheLifeBefore(t *testing.T) {
	c := qt.New(t)
	contact := &wire.Contact{KeyMs: 60000, AnswerMs: 800, GraceMs: 6400}
	wish := func(book *Book, key string) *wire.TicketWish {
		book.Hear(1, contact)
		out := book.Take(1, 1, Call{Key: key, Choice: b1, Open: func(string) bool { return true }})
		c.Assert(out.Sends, qt.HasLen, 1)
		return out.Sends[0].Body.(*wire.TicketWish)
	}
	before := wish(New(1, "x", 1<<32), "old")
	book := New(1, "x", 2<<32)
	after := wish(book, "new")
	c.Check(book.Hear(2, &wire.TicketDone{Op: before.Op, Ok: true}).Answers, qt.HasLen, 0)
	c.Check(book.Hear(3, &wire.TicketDone{Op: after.Op, Ok: true}).Answers, qt.HasLen, 1)
}
