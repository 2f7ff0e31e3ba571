package configuration

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

const (
	oldBody = `{"kinds":[{"name":"k","weight":1}],"models":[{"name":"m1","pool":"llm","size_mb":5}],"store":{"mb_per_s":10,"turns":4}}`
	newBody = `{"kinds":[{"name":"k","weight":9}],"models":[{"name":"m1","pool":"llm","size_mb":7},{"name":"m2","pool":"llm","size_mb":3}],"store":{"mb_per_s":90,"turns":2}}`
)

func parsed(c *qt.C, body []byte) *Table {
	table, faults, _ := Parse(body, 4)
	c.Assert(faults, qt.HasLen, 0, qt.Commentf("%s", body))
	return table
}

// A roll-out goes from zone to zone, then is the policy; halted, nobody goes by
// the next one.
func TestRollout(t *testing.T) {
	c := qt.New(t)
	goesBy := func(body []byte, zone string) int64 { return parsed(c, body).For(zone).Kinds["k"].Weight }
	body, err := Roll([]byte(oldBody), []byte(newBody), []string{"a", "b"}, 2000, 7)
	c.Assert(err, qt.IsNil)
	steps := []struct{ a, b, other int64 }{{9, 1, 1}, {9, 9, 1}, {9, 9, 9}}
	for at, step := range steps {
		c.Check(goesBy(body, "a"), qt.Equals, step.a, qt.Commentf("step %d", at))
		c.Check(goesBy(body, "b"), qt.Equals, step.b, qt.Commentf("step %d", at))
		c.Check(goesBy(body, "z"), qt.Equals, step.other, qt.Commentf("step %d", at))
		if at == len(steps)-1 {
			break
		}
		c.Check(parsed(c, body).Rollout.PauseMs, qt.Equals, int64(2000))
		placed := parsed(c, body).Placement()
		c.Check(placed.Items["m1"].SizeMb, qt.Equals, int64(7))
		c.Check(placed.Items["m2"].SizeMb, qt.Equals, int64(3))
		c.Check(placed.Store, qt.Equals, Store{MbPerS: 10, Turns: 2})
		halted, err := Halt(body, "why")
		c.Assert(err, qt.IsNil)
		c.Check(goesBy(halted, "a"), qt.Equals, int64(1))
		c.Check(parsed(c, halted).Placement().Items, qt.HasLen, 1)
		c.Check(parsed(c, halted).Rollout.Halted, qt.Equals, "why")
		body, err = Step(body)
		c.Assert(err, qt.IsNil)
	}
	c.Check(parsed(c, body).Rollout, qt.IsNil)
}

func TestRolloutFaults(t *testing.T) {
	c := qt.New(t)
	cases := []struct{ rollout, path string }{
		{`{"order":["a"]}`, "rollout.next"},
		{`{"next":{}}`, "rollout.order"},
		{`{"next":{},"order":["a","a"]}`, "rollout.order"},
		{`{"next":{},"order":["a"],"done":2}`, "rollout.done"},
		{`{"next":{},"order":["a"],"halt_percent":0}`, "rollout.halt_percent"},
		{`{"next":{"kinds":[{"name":"k"}]},"order":["a"]}`, "rollout.next.kinds[0].weight"},
		{`{"next":{"rollout":{"next":{},"order":["a"]}},"order":["a"]}`, "rollout.next.rollout"},
		{`{"next":{},"order":["a"],"hue":1}`, "rollout.hue"},
	}
	for _, one := range cases {
		_, faults, _ := Parse([]byte(`{"rollout":`+one.rollout+`}`), 1)
		c.Assert(faults, qt.HasLen, 1, qt.Commentf("%s: %v", one.rollout, faults))
		c.Check(faults[0].Path, qt.Equals, one.path)
	}
}
