package adminapi

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"applequay/internal/configuration"
	"applequay/internal/controlplane/controller"
	"applequay/internal/transport/wire"
)

const wall = 1_800_000_000_000

// healthy is a page on which the doctor finds nothing.
func healthy(c *qt.C) *controller.Page {
	table, faults, _ := configuration.Parse([]byte(`{"store":{"mb_per_s":1000,"turns":2},"kinds":[{"name":"k","weight":1}],
		"models":[{"name":"m1","pool":"llm","size_mb":900}],
		"services":[{"name":"s","type":"model","pool":"llm"}],
		"openings":[{"name":"o","at":"2027-01-15T08:01:00Z","models":["m1"],"lead_ms":30000}]}`), 3)
	c.Assert(faults, qt.HasLen, 0)
	page := &controller.Page{ID: "l1~1", Policy: table, Partitions: 2, Seeds: []string{"a:1"},
		Core:    wire.CoreSet{Epoch: 2, Rereplicated: true, Voters: []wire.Voter{{ID: "c1~1", Name: "c1"}, {ID: "c2~1", Name: "c2"}, {ID: "c3~1", Name: "c3"}}},
		Workers: map[string]wire.Worker{"w1": {Name: "w1", Pool: "llm", RoomMb: 1000}}, Rooms: map[string]wire.WorkerNews{"w1": {Worker: "w1"}}}
	for _, name := range []string{"c1", "c2", "c3"} {
		page.Members = append(page.Members, wire.Member{ID: name + "~1", Name: name, Role: "controller", Addr: map[string]string{"c1": "a:1"}[name],
			Fact: map[string]string{"mark": "3", "owned": map[string]string{"c1": "0", "c2": "1"}[name], "settings": "same", "sync_ms": "50", "disk_free_pct": "60"}})
	}
	page.Members = append(page.Members, wire.Member{ID: "l1~1", Name: "l1", Role: "agent", Fact: map[string]string{"mark": "3", "settings": "same"}})
	return page
}

// Each finding has a page that causes it and it alone.
func TestDoctorFinds(t *testing.T) {
	c := qt.New(t)
	removed := int64(wire.StandingRemoved)
	fact := func(at int, name, value string) func(*controller.Page) {
		return func(p *controller.Page) { p.Members[at].Fact[name] = value }
	}
	cases := []struct {
		what, where string
		spoil       func(*controller.Page)
	}{
		{"", "", func(*controller.Page) {}},
		{"a seed cannot be reached", "b:2", func(p *controller.Page) { p.Seeds = append(p.Seeds, "b:2") }},
		{"there is no core set", "l1~1", func(p *controller.Page) { p.Core = wire.CoreSet{} }},
		{"a core set member is absent", "c3 (c3~1)", func(p *controller.Page) { p.Members[2].Standing = removed }},
		{"the core has no majority", "core", func(p *controller.Page) {
			p.Core.Voters = append(p.Core.Voters, wire.Voter{ID: "x"}, wire.Voter{ID: "y"}, wire.Voter{ID: "z"})
		}},
		{"a change of the core set is under way", "core", func(p *controller.Page) { p.Core.Rereplicated = false }},
		{"a disk is slow", "c2", fact(1, "sync_ms", "300")},
		{"a disk is nearly full", "c2", fact(1, "disk_free_pct", "4")},
		{"a clock jumped", "l1", fact(3, "clock_jump_ms", "-3600000")},
		{"the platform's worker list cannot be used", "c1", fact(0, "list_fault", "answered 500")},
		{"settings disagree", "all nodes", fact(3, "settings", "other")},
		{"a front is behind", "l1", fact(3, "mark", "2")},
		{"partitions have no owner", "1", fact(1, "owned", "")},
		{"a model fits nowhere", "items.m1", func(p *controller.Page) { p.Workers["w1"] = wire.Worker{Name: "w1", Pool: "llm", RoomMb: 800} }},
		{"an opening cannot be ready in time", "o", func(p *controller.Page) { p.Policy.Store.MbPerS = 10 }},
		{"a controller has no seat", "c4", func(p *controller.Page) {
			p.Members = append(p.Members, wire.Member{ID: "c4~1", Name: "c4", Role: "controller", Born: wall - 60000})
		}},
		{"the core bears no loss", "core", func(p *controller.Page) {
			p.Core.Voters = p.Core.Voters[:2]
			p.Members[2].Born = wall - 1000
		}},
		{"workers are listed and not looked at", "llm", func(p *controller.Page) {
			p.Workers["w2"] = wire.Worker{Name: "w2", Pool: "llm", RoomMb: 1000}
			p.Workers["a1"] = wire.Worker{Name: "a1", Pool: "app"}
			p.Workers["w3"] = wire.Worker{Name: "w3", Pool: "llm", Leaving: true}
		}},
		{"loads wait for the weight store", "store", func(p *controller.Page) {
			p.Policy.Store.LoadsPer1000S = 90
			p.Rooms["w1"] = wire.WorkerNews{Worker: "w1", Loaded: []wire.Loaded{{Item: "m1"}}}
		}},
		{"a service has no standing server", "s", func(p *controller.Page) { p.Rooms["w1"] = wire.WorkerNews{Dark: true} }},
	}
	for _, one := range cases {
		c.Run(one.what, func(c *qt.C) {
			page := healthy(c)
			one.spoil(page)
			findings := Findings(page, wall)
			if one.what == "" {
				c.Assert(findings, qt.HasLen, 0, qt.Commentf("%+v", findings))
				return
			}
			found := false
			for _, finding := range findings {
				if finding.What == one.what {
					found = true
					c.Check(finding.Where, qt.Contains, one.where)
					c.Check(finding.Evidence != "" && finding.Do != "", qt.IsTrue)
				}
			}
			c.Check(found, qt.IsTrue, qt.Commentf("%+v", findings))
			if one.what != "the core has no majority" && one.what != "there is no core set" {
				c.Check(findings, qt.HasLen, 1, qt.Commentf("%+v", findings))
			}
		})
	}
}
