package distribution

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"applequay/internal/transport/wire"
)

func TestVersionsOnlyRise(t *testing.T) {
	c := qt.New(t)
	cases := []struct {
		name       string
		term, step int64
		taken      bool
	}{{"older term", 1, 99, false}, {"older step", 2, 4, false}, {"the same", 2, 5, false}, {"newer step", 2, 6, true}, {"newer term", 3, 0, true}}
	for _, one := range cases {
		c.Run(one.name, func(c *qt.C) {
			board := NewBoard()
			c.Assert(board.Put(wire.Topic{Name: "policy", Term: 2, Step: 5, Body: []byte("kept")}), qt.IsTrue)
			c.Check(board.Put(wire.Topic{Name: "policy", Term: one.term, Step: one.step, Body: []byte("told")}), qt.Equals, one.taken)
			kept, _ := board.Get("policy")
			c.Check(string(kept.Body) == "told", qt.Equals, one.taken)
		})
	}
}

func TestSubscribersGetWhatTheyLack(t *testing.T) {
	holder := NewBoard()
	for _, topic := range []wire.Topic{{Name: "policy", Step: 3}, {Name: "homes/llm/w1", Term: 1, Step: 1}, {Name: "homes/llm/w2", Term: 1, Step: 7}, {Name: WaitsTopic, Term: 4}, {Name: ZoneTopic, Step: 1}} {
		holder.Put(topic)
	}
	cases := []struct {
		name    string
		has     []wire.Topic
		service string
		asked   bool // for its list
		told    []string
	}{
		{"nothing yet", nil, "homes/llm", false, []string{"homes/llm/w1", "homes/llm/w2"}},
		{"the same", []wire.Topic{{Name: "homes/llm/w1", Term: 1, Step: 1}, {Name: "homes/llm/w2", Term: 1, Step: 7}}, "homes/llm", false, nil},
		{"one is older", []wire.Topic{{Name: "homes/llm/w1", Term: 1, Step: 1}, {Name: "homes/llm/w2", Term: 1, Step: 6}}, "homes/llm", true, []string{"homes/llm/w2"}},
		{"one is newer than here", []wire.Topic{{Name: "homes/llm/w1", Term: 1, Step: 1}, {Name: "homes/llm/w2", Term: 2}}, "homes/llm", true, nil},
		{"the marks of two are those of each other", []wire.Topic{{Name: "homes/llm/w1", Term: 1, Step: 7}, {Name: "homes/llm/w2", Term: 1, Step: 1}}, "homes/llm", true, []string{"homes/llm/w2"}},
		{"all, but waits and a zone of its own", []wire.Topic{{Name: "policy", Step: 3}, {Name: "homes/llm/w1", Term: 1, Step: 1}, {Name: "homes/llm/w2", Term: 1, Step: 7}, {Name: ZoneTopic, Step: 1}}, "", false, nil},
		{"another service of which nobody holds anything", nil, "homes/app", false, nil},
	}
	for _, one := range cases {
		t.Run(one.name, func(t *testing.T) {
			c := qt.New(t)
			board := NewBoard()
			for _, topic := range one.has {
				board.Put(topic)
			}
			kind, answer := holder.Answers(board.Asks(one.service))
			if asked, is := answer.(*wire.Subscribe); is {
				c.Check(one.asked && asked.Tell && kind == wire.KindSubscribe, qt.IsTrue)
				_, listed := board.Answers(asked)
				kind, answer = holder.Answers(listed.(*wire.Subscribe))
			} else {
				c.Check(one.asked, qt.IsFalse)
			}
			var told []string
			if one.told != nil {
				c.Assert(kind, qt.Equals, wire.KindNews)
				for _, topic := range answer.(*wire.News).Topics {
					told = append(told, topic.Name)
				}
			}
			c.Check(told, qt.DeepEquals, one.told)
			c.Check(answer != nil, qt.Equals, one.told != nil)
		})
	}
}

func TestFreshIsToldOnce(t *testing.T) {
	c := qt.New(t)
	board := NewBoard()
	board.Put(wire.Topic{Name: "policy", Step: 3})
	board.Put(wire.Topic{Name: "homes/llm/w1", Term: 1, Step: 1})
	c.Check(board.Fresh(), qt.HasLen, 2)
	c.Check(board.Fresh(), qt.HasLen, 0)
	board.Renew("policy")
	c.Check(board.Fresh(), qt.HasLen, 1)
}

// All agents of a zone agree on a home, homes are spread over services, and
// only those services move whose home broke down.
func TestHomes(t *testing.T) {
	c := qt.New(t)
	agents := []wire.Member{{ID: "l1", Zone: "z1"}, {ID: "l2", Zone: "z1"}, {ID: "l3", Zone: "z1"}, {ID: "l4", Zone: "z2"}}
	homes := map[string]int{}
	for _, service := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"} {
		home := Home(service, "z1", agents)
		homes[home]++
		if home != "l2" {
			c.Check(Home(service, "z1", append(agents[:1:1], agents[2:]...)), qt.Equals, home)
		}
	}
	c.Check(len(homes), qt.Equals, 3)
	c.Check(Home("a", "z9", agents), qt.Equals, "")
}
