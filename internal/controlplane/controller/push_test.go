package controller

import (
	"fmt"
	"math/rand"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"applequay/internal/controlplane/distribution"
	"applequay/internal/transport/wire"
)

// A subscriber hears of the service it names, and of nothing it has; a home of
// homes is not sent the policy over and over. The policy goes to nobody from the
// board alone: who lacks it waits until a majority was asked.
func TestSubscriberHearsOfItsService(t *testing.T) {
	c := qt.New(t)
	f := New(1, Boot{ID: "c1~1", Name: "c1", Addr: "10.0.0.1:7000", Zone: "z1", Partitions: 2, LeaseMs: 3200, PollMs: 500, ProbeMs: 200, CallMs: 1600}, rand.New(rand.NewSource(1)), &wire.Snapshot{}, nil)
	f.board.Put(wire.Topic{Name: PolicyKey, Step: 7, Body: []byte("whole")})
	f.board.Put(wire.Topic{Name: "homes/llm/w1", Term: 1, Step: 3, Body: []byte("w1")})
	cases := []struct {
		name  string
		asked wire.Subscribe
		told  []string
		waits bool
	}{
		{"all", wire.Subscribe{}, []string{"homes/llm/w1"}, true},
		{"homes of a pool", wire.Subscribe{Service: "homes/llm"}, []string{"homes/llm/w1"}, false},
		{"control", wire.Subscribe{Service: distribution.ControlService}, nil, true},
		{"the policy it has", wire.Subscribe{Service: distribution.ControlService, Have: []wire.Topic{{Name: PolicyKey, Step: 7}}}, nil, false},
		{"homes it has", wire.Subscribe{Service: "homes/llm", Have: []wire.Topic{{Name: "homes/llm/w1", Term: 1, Step: 3}}}, nil, false},
		{"homes of another pool", wire.Subscribe{Service: "homes/app"}, nil, false},
	}
	for _, one := range cases {
		c.Run(one.name, func(c *qt.C) {
			out := f.Hear(2, "l1~1", &one.asked)
			var told []string
			for _, send := range out.Sends {
				for _, topic := range send.Body.(*wire.News).Topics {
					told = append(told, topic.Name)
				}
			}
			c.Check(told, qt.DeepEquals, one.told)
			c.Check(len(f.confirming.waits) > 0, qt.Equals, one.waits)
			f.confirming.waits = nil
		})
	}
}

// A configuration of 1,700 routes is told to each front of the controller's own zone
// at once and by itself, to one front of every zone that has no controller, and to
// nobody where another controller stands; no copy takes more than a fifth of the
// text on a link.
func TestLargePolicyOnThinLinks(t *testing.T) {
	c := qt.New(t)
	f := New(1, Boot{ID: "c1~1", Name: "c1", Addr: "10.0.0.1:7000", Zone: "z1", Partitions: 2, LeaseMs: 3200, PollMs: 500, ProbeMs: 200, CallMs: 1600, Born: 1}, rand.New(rand.NewSource(1)), &wire.Snapshot{}, nil)
	zones := map[string]string{}
	members := []wire.Member{{ID: "c2~1", Role: "controller", Zone: "z2", Addr: "10.0.0.2:7000", Born: 5}}
	for at := range 30 {
		front := wire.Member{ID: fmt.Sprintf("l%d~1", at), Role: "agent", Zone: fmt.Sprintf("z%d", 1+at%3), Addr: fmt.Sprintf("10.0.1.%d:7000", at), Born: 5}
		members, zones[front.ID] = append(members, front), front.Zone
	}
	f.Hear(2, "c2~1", &wire.ProbeAck{Members: members})
	var text strings.Builder
	text.WriteString(`{"kinds":[{"name":"k","weight":1}],"services":[{"name":"s","type":"app","pool":"p"}],"routes":[`)
	for at := range 1700 {
		fmt.Fprintf(&text, `{"name":"r-%x","host":"h.example","path":"/p%d/","prefix":true,"kind":"k","service":"s","deadline_ms":15000,"target_ms":3000,"tries":1},`, at*7919, at)
	}
	body := []byte(strings.TrimSuffix(text.String(), ",") + "]}")
	var out wire.Outputs
	f.learn(3, &out, PolicyKey, wire.Value{Version: 7, Body: body})
	c.Assert(f.view.Policy.Routes, qt.HasLen, 1700)
	told := map[string]int{}
	for _, send := range out.Sends {
		news, is := send.Body.(*wire.News)
		c.Assert(is, qt.IsTrue)
		told[zones[send.To]]++
		c.Check(len(wire.Encode(news)) < len(body)/5, qt.IsTrue, qt.Commentf("%d bytes of %d", len(wire.Encode(news)), len(body)))
		read, err := wire.Unpack(news.Topics[0])
		c.Assert(err, qt.IsNil)
		c.Check(string(read) == string(body), qt.IsTrue)
	}
	c.Check(told, qt.DeepEquals, map[string]int{"z1": 10, "z3": 1})
}
