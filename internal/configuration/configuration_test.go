package configuration

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

const whole = `{"store":{"mb_per_s":2000,"turns":4},"kinds":[{"name":"hint","weight":5}],
"models":[{"name":"m1","pool":"llm","size_mb":900}],"adapters":[{"name":"a1","model":"m1","size_mb":40}],
"services":[{"name":"hints","type":"model","pool":"llm"}],"routes":[{"path":"/v1/hints","service":"hints","kind":"hint"}],
"openings":[{"name":"crossword","at":"2026-12-02T07:00:00Z","models":["m1"],"adapters":["a1"],"weights":{"hint":50},"lead_ms":60000,"last_ms":600000}]}`

func TestFaultsByPath(t *testing.T) {
	c := qt.New(t)
	cases := []struct {
		name, body string
		paths      []string
		syntax     bool
	}{
		{"whole", whole, nil, false},
		{"empty", `{}`, nil, false},
		{"not JSON", `{"kinds":`, []string{""}, true},
		{"not an object", `[]`, []string{""}, false},
		{"unknown fields", `{"colour":1,"kinds":[{"name":"a","weight":1,"hue":2}]}`, []string{"colour", "kinds[0].hue"}, false},
		{"wrong types", `{"kinds":{},"store":{"mb_per_s":"fast","turns":1.5}}`, []string{"kinds", "store.mb_per_s", "store.turns"}, false},
		{"a field twice", `{"kinds":[],"kinds":[]}`, []string{"kinds"}, false},
		{"a name twice", `{"models":[{"name":"m","pool":"p","size_mb":1},{"name":"m","pool":"p","size_mb":1}]}`, []string{"models[1].name"}, false},
		{"an adapter named as a model", `{"models":[{"name":"m","pool":"p","size_mb":1}],"adapters":[{"name":"m","model":"m","size_mb":1}]}`, []string{"adapters[0].model", "adapters[0].name"}, false},
		{"missing", `{"models":[{"name":""}]}`, []string{"models[0].name", "models[0].pool", "models[0].size_mb"}, false},
		{"no such service or kind", `{"routes":[{"path":"/x","service":"s","kind":"k"}]}`, []string{"routes[0].kind", "routes[0].service"}, false},
		{"a route twice", `{"kinds":[{"name":"k","weight":1}],"services":[{"name":"s","type":"app","pool":"p"}],"routes":[{"path":"/x","service":"s","kind":"k"},{"path":"/x","method":"POST","service":"s","kind":"k"}]}`, []string{"routes[1]"}, false},
		{"bad path and method", `{"kinds":[{"name":"k","weight":1}],"services":[{"name":"s","type":"app","pool":"p"}],"routes":[{"path":"x{y}","method":"PUSH","service":"s","kind":"k"}]}`, []string{"routes[0].method", "routes[0].path"}, false},
		{"opening of what is not there", `{"openings":[{"name":"o","at":"soon","models":["m"],"weights":{"k":0}}]}`, []string{"openings[0].at", "openings[0].models", "openings[0].weights.k", "openings[0].weights.k"}, false},
		{"weights out of bounds", `{"kinds":[{"name":"k","weight":0}]}`, []string{"kinds[0].weight"}, false},
		{"retries over a fifth", `{"services":[{"name":"s","type":"app","pool":"p","retry_percent":21}]}`, []string{"services[0].retry_percent"}, false},
	}
	for _, one := range cases {
		c.Run(one.name, func(c *qt.C) {
			table, faults, syntax := Parse([]byte(one.body), 3)
			c.Check(syntax, qt.Equals, one.syntax)
			c.Assert(faults, qt.HasLen, len(one.paths), qt.Commentf("%v", faults))
			for at, path := range one.paths {
				c.Check(faults[at].Path, qt.Equals, path)
			}
			if len(faults) == 0 {
				c.Check(table.Version, qt.Equals, int64(3))
			}
		})
	}
}

func TestPatch(t *testing.T) {
	c := qt.New(t)
	cases := []struct {
		name, patch string
		faults      int
		holds       func(*Table) bool
	}{
		{"replaces by name", `{"kinds":[{"name":"hint","weight":9}]}`, 0, func(t *Table) bool { return t.Kinds["hint"].Weight == 9 && len(t.Items) == 2 }},
		{"adds", `{"models":[{"name":"m2","pool":"llm","size_mb":3}]}`, 0, func(t *Table) bool { return t.Items["m2"].SizeMb == 3 && len(t.Items) == 3 }},
		{"removes", `{"openings":[{"name":"crossword","remove":true}]}`, 0, func(t *Table) bool { return len(t.Openings) == 0 }},
		{"tells routes by method and path", `{"routes":[{"path":"/v1/hints","service":"hints","kind":"hint","deadline_ms":900}]}`, 0, func(t *Table) bool { return len(t.Routes) == 1 && t.Routes[0].DeadlineMs == 900 }},
		{"removes what is not there", `{"kinds":[{"name":"x","remove":true}]}`, 1, nil},
		{"names nothing", `{"kinds":[{"weight":3}]}`, 1, nil},
		{"unknown list", `{"colours":[]}`, 1, nil},
	}
	for _, one := range cases {
		c.Run(one.name, func(c *qt.C) {
			body, faults, _ := Patch([]byte(whole), []byte(one.patch))
			c.Assert(faults, qt.HasLen, one.faults, qt.Commentf("%v", faults))
			if one.faults > 0 {
				return
			}
			table, faults, _ := Parse(body, 1)
			c.Assert(faults, qt.HasLen, 0, qt.Commentf("%s", body))
			c.Check(one.holds(table), qt.IsTrue, qt.Commentf("%s", body))
		})
	}
}

func TestOpeningsRaiseWeights(t *testing.T) {
	c := qt.New(t)
	table, faults, _ := Parse([]byte(whole), 1)
	c.Assert(faults, qt.HasLen, 0)
	at := table.Openings[0].AtMs
	for _, one := range []struct{ at, weight int64 }{{at - 60001, 5}, {at - 60000, 50}, {at, 50}, {at + 599999, 50}, {at + 600000, 5}} {
		c.Check(table.Weight("hint", one.at), qt.Equals, one.weight)
	}
	c.Check(table.Roomless(map[string]int64{"llm": 930}), qt.HasLen, 1)
	c.Check(table.Roomless(map[string]int64{"other": 1}), qt.HasLen, 0)
}
