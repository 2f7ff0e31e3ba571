package agent

import (
	"math/rand"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"

	"applequay/internal/controlplane/controller"
	"applequay/internal/controlplane/register"
	"applequay/internal/transport/wire"
)

// A front that was started again feeds its proxy no policy older than one
// that it may have gone by before.
func TestFirstPolicy(t *testing.T) {
	c := qt.New(t)
	news := func(version int64) func(*Agent) wire.Outputs {
		return func(l *Agent) wire.Outputs {
			return l.Hear(10, "l2~b", &wire.News{Topics: []wire.Topic{{Name: controller.PolicyKey, Step: version, Body: []byte("{}")}}})
		}
	}
	// read is a majority's word by a controller, or, without a version, that none is had.
	read := func(fate register.Fate, version int64) func(*Agent) wire.Outputs {
		return func(l *Agent) wire.Outputs {
			if fate != register.FateDone {
				var out wire.Outputs
				for now := int64(100); now <= 100+2*l.boot.CallMs; now += 100 {
					out.Add(l.Tick(now, now))
				}
				return out
			}
			return l.Hear(10, "c1~z", &wire.News{Confirms: l.boot.ID, Topics: []wire.Topic{{Name: controller.PolicyKey, Step: version, Body: []byte("{}")}}})
		}
	}
	// late is such a word for another life of this front.
	late := func(version int64) func(*Agent) wire.Outputs {
		return func(l *Agent) wire.Outputs {
			return l.Hear(10, "c1~z", &wire.News{Confirms: "l1~earlier", Topics: []wire.Topic{{Name: controller.PolicyKey, Step: version, Body: []byte("{}")}}})
		}
	}
	heard := func(version int) func(*Agent) wire.Outputs {
		return func(l *Agent) wire.Outputs {
			l.Hear(10, "l2~b", &wire.Probe{Members: []wire.Member{{ID: "l2~b", Role: "agent", Addr: "10.0.1.2:1", Born: 5, Fact: map[string]string{newestFact: strconv.Itoa(version)}}}})
			return l.Tick(11, 11)
		}
	}
	subscribe := func(from string) func(*Agent) wire.Outputs {
		return func(l *Agent) wire.Outputs { return l.Hear(10, from, &wire.Subscribe{}) }
	}
	cases := []struct {
		name  string
		steps []func(*Agent) wire.Outputs
		fed   []int64
	}{
		{"nothing before the first read", []func(*Agent) wire.Outputs{news(4), subscribe("s1~x")}, nil},
		{"nothing by what was read for an earlier life", []func(*Agent) wire.Outputs{late(4), subscribe("s1~x")}, nil},
		{"what the read found", []func(*Agent) wire.Outputs{read(register.FateDone, 5)}, []int64{5}},
		{"older news after it", []func(*Agent) wire.Outputs{read(register.FateDone, 5), news(4)}, []int64{5}},
		{"no core, and the peers have the newest", []func(*Agent) wire.Outputs{heard(4), news(4), read(register.FateNone, 0)}, []int64{4}},
		{"no core, and somebody has heard of a newer one", []func(*Agent) wire.Outputs{heard(5), news(4), read(register.FateNone, 0), subscribe("s1~x")}, nil},
		{"and then it comes", []func(*Agent) wire.Outputs{heard(5), news(4), read(register.FateNone, 0), news(5)}, []int64{5}},
		{"a front that has begun goes on with what it has", []func(*Agent) wire.Outputs{read(register.FateDone, 4), heard(6), news(5)}, []int64{4, 5}},
		{"peers get all there is", []func(*Agent) wire.Outputs{heard(5), news(4), subscribe("l2~b")}, []int64{4}},
	}
	for _, one := range cases {
		c.Run(one.name, func(c *qt.C) {
			line := New(1, Boot{ID: "l1~a", Name: "l1", Addr: "10.0.1.1:1", Proxy: "10.0.2.1:1", LeaseMs: 3200, ProbeMs: 200, CallMs: 1600, KeyMs: 60000, Partitions: 1}, rand.New(rand.NewSource(1)))
			line.proposer.Learn(wire.CoreSet{Epoch: 1, Voters: []wire.Voter{{ID: "c1~z", Addr: "10.0.0.1:1"}}})
			var fed []int64
			for _, step := range one.steps {
				for _, send := range step(line).Sends {
					told, is := send.Body.(*wire.News)
					if !is {
						continue
					}
					for _, topic := range told.Topics {
						if topic.Name == controller.PolicyKey {
							fed = append(fed, topic.Step)
						}
					}
				}
			}
			c.Check(fed, qt.DeepEquals, one.fed)
		})
	}
}

// The first question may come before the core is up: it is asked again soon, of one
// controller after the other, until the first answer. No register is read over this
// front's link.
func TestFirstPolicyIsAskedForAgain(t *testing.T) {
	c := qt.New(t)
	line := New(1, Boot{ID: "l1~a", Name: "l1", Addr: "10.0.1.1:1", Proxy: "10.0.2.1:1", LeaseMs: 3200, ProbeMs: 200, CallMs: 1600, KeyMs: 60000, Partitions: 1}, rand.New(rand.NewSource(1)))
	line.proposer.Learn(wire.CoreSet{Epoch: 1, Voters: []wire.Voter{{ID: "c1~z", Addr: "10.0.0.1:1"}, {ID: "c2~z", Addr: "10.0.0.2:1"}}})
	asked := map[string]int{}
	ask := func(from, to int64) (questions int) {
		for now := from; now < to; now += 25 {
			for _, send := range line.Tick(now, now).Sends {
				c.Check(send.Kind, qt.Not(qt.Equals), wire.KindQuery)
				if told, is := send.Body.(*wire.Subscribe); is && told.Confirm {
					questions++
					asked[send.To]++
				}
			}
		}
		return questions
	}
	c.Check(ask(25, 425) >= 3, qt.IsTrue)
	c.Check(asked, qt.HasLen, 2)
	c.Check(line.begun, qt.IsFalse)
	line.Hear(430, "c1~z", &wire.News{Confirms: "l1~a", Topics: []wire.Topic{{Name: controller.PolicyKey, Step: 5, Body: []byte("{}")}}})
	c.Check(line.begun, qt.IsTrue)
	c.Check(line.fedVersion, qt.Equals, int64(5))
	c.Check(ask(450, 2450), qt.Equals, 0)
}
