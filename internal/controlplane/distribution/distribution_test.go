package distribution

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"applequay/internal/transport/wire"
)

func TestMarksOnlyRise(t *testing.T) {
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
	c := qt.New(t)
	board := NewBoard()
	board.Put(wire.Topic{Name: "policy", Step: 3})
	board.Put(wire.Topic{Name: "homes/llm/w1", Term: 1, Step: 1})
	told := board.Since(&wire.Subscribe{Have: []wire.Topic{{Name: "policy", Step: 3}}}, nil)
	c.Check(told.Topics, qt.HasLen, 1)
	c.Check(told.Topics[0].Name, qt.Equals, "homes/llm/w1")
	c.Check(board.Fresh(), qt.HasLen, 2)
	c.Check(board.Fresh(), qt.HasLen, 0)
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
