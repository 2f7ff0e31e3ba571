package configuration

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const wide = `{"store":{"mb_per_s":2000,"turns":4,"loads_per_1000_s":18000},"limits":{"header_bytes":4096,"body_bytes":9000,"header_ms":3000,"idle_ms":15000},
"kinds":[{"name":"hint","weight":5}],"models":[{"name":"m1","pool":"llm","size_mb":900,"load_ms":1900}],"adapters":[{"name":"a1","model":"m1","size_mb":40,"light":true}],
"pools":[{"name":"llm","health_path":"/health","most_lines":370,"slots":64,"cache_tokens":150000,"stride":6,"room_mb":2200,"adapter_slots":8}],
"services":[{"name":"hints","type":"model","pool":"llm"},{"name":"app","type":"app","pool":"web"}],
"routes":[{"name":"r","host":"H.example","path":"/v1/","method":"ANY","prefix":true,"split":[{"service":"hints","weight":90},{"service":"app","weight":10},{"service":"app","weight":0}],"kind":"hint",
"safe":true,"stream":true,"resumable":true,"tries":2,"target_ms":400,"pause_ms":300,"rank":1,"sticky":true,"deadline_ms":9000},
{"path":"/v1/","service":"app","kind":"hint"},{"path":"/v1/","host":"h.example","service":"app","kind":"hint"},{"path":"/v1/","host":"h.example","prefix":true,"service":"app","kind":"hint"}]}`

// All that a policy may say comes into the table, by objects too.
func TestWideFields(t *testing.T) {
	c := qt.New(t)
	table, faults, _ := Parse([]byte(wide), 1)
	c.Assert(faults, qt.HasLen, 0)
	c.Check(table.Store, qt.Equals, Store{MbPerS: 2000, Turns: 4, LoadsPer1000S: 18000})
	c.Check(table.Limits, qt.Equals, Limits{HeaderBytes: 4096, BodyBytes: 9000, HeaderMs: 3000, IdleMs: 15000})
	c.Check(table.Items["m1"].LoadMs, qt.Equals, int64(1900))
	c.Check(table.Items["a1"].Light, qt.IsTrue)
	c.Check(table.Pools["llm"], qt.Equals, Pool{Name: "llm", HealthPath: "/health", MostLines: 370, Slots: 64, CacheTokens: 150000, Stride: 6, RoomMb: 2200, AdapterSlots: 8})
	c.Check(table.Routes[0], qt.DeepEquals, Route{Name: "r", Host: "h.example", Path: "/v1/", Prefix: true, Service: "hints", Kind: "hint", DeadlineMs: 9000,
		Split: []Share{{Service: "hints", Weight: 90}, {Service: "app", Weight: 10}}, Safe: true, Stream: true, Resumable: true, Tries: 2, TargetMs: 400, PauseMs: 300, Rank: 1, Sticky: true})
	c.Check(table.Routes[1], qt.DeepEquals, Route{Path: "/v1/", Method: "POST", Service: "app", Kind: "hint", DeadlineMs: 30000})
	read := ReadObjects([]byte("apiVersion: applequay/v1\nkind: Pool\nmetadata: {name: llm}\nspec: {slots: 4}\n---\napiVersion: applequay/v1\nkind: Limits\nmetadata: {name: limits}\nspec: {body_bytes: 77}"))
	c.Assert(read.Faults, qt.HasLen, 0)
	table, faults, _ = Parse(read.Native, 1)
	c.Assert(faults, qt.HasLen, 0)
	c.Check(table.Pools["llm"].Slots, qt.Equals, int64(4))
	c.Check(table.Limits.BodyBytes, qt.Equals, int64(77))
}

func TestWideFaults(t *testing.T) {
	c := qt.New(t)
	route := func(fields string) string {
		return `{"kinds":[{"name":"k","weight":1}],"services":[{"name":"s","type":"app","pool":"p"}],"routes":[{"path":"/x","service":"s","kind":"k"},{"kind":"k",` + fields + `}]}`
	}
	cases := []struct {
		name, body string
		paths      []string
	}{
		{"unknown service in a split", route(`"path":"/y","split":[{"service":"s","weight":1},{"service":"t","weight":0}]`), []string{"routes[1].split[1].service"}},
		{"weights of 0", route(`"path":"/y","split":[{"service":"s","weight":0}]`), []string{"routes[1].split"}},
		{"an empty split", route(`"path":"/y","split":[]`), []string{"routes[1].split"}},
		{"a weight missing", route(`"path":"/y","split":[{"service":"s"}]`), []string{"routes[1].split[0].weight"}},
		{"no service", route(`"path":"/y"`), []string{"routes[1].service"}},
		{"a deadline of 0", route(`"path":"/y","service":"s","deadline_ms":0`), []string{"routes[1].deadline_ms"}},
		{"the same twice", route(`"path":"/x","service":"s"`), []string{"routes[1]"}},
		{"another host, prefix or method", route(`"path":"/x","service":"s","host":"h"},{"kind":"k","path":"/x","service":"s","method":"ANY"},{"kind":"k","path":"/x/","service":"s","prefix":true`), nil},
		{"a prefix without a slash", route(`"path":"/x","service":"s","prefix":true`), []string{"routes[1].path"}},
		{"only streams are resumable", route(`"path":"/y","service":"s","resumable":true`), []string{"routes[1].resumable"}},
		{"wrong types at once", route(`"path":"/y","service":"s","safe":1,"tries":0,"rank":-1`), []string{"routes[1].rank", "routes[1].safe", "routes[1].tries"}},
		{"pools and limits", `{"limits":{"body_bytes":0,"hue":1},"pools":[{"name":"p"},{"name":"p","health_path":"x"}]}`, []string{"limits.body_bytes", "limits.hue", "pools[1].health_path", "pools[1].name"}},
	}
	for _, one := range cases {
		c.Run(one.name, func(c *qt.C) {
			_, faults, _ := Parse([]byte(one.body), 3)
			c.Assert(faults, qt.HasLen, len(one.paths), qt.Commentf("%v", faults))
			for at, path := range one.paths {
				c.Check(faults[at].Path, qt.Equals, path)
			}
		})
	}
}

func TestPatchOfWideFields(t *testing.T) {
	c := qt.New(t)
	body, faults, _ := Patch([]byte(wide), []byte(`{"limits":{"body_bytes":5},"pools":[{"name":"llm","slots":2},{"name":"web"}],"routes":[{"path":"/v1/","host":"h.example","prefix":true,"remove":true}]}`))
	c.Assert(faults, qt.HasLen, 0)
	table, faults, _ := Parse(body, 2)
	c.Assert(faults, qt.HasLen, 0)
	c.Check(table.Limits, qt.Equals, Limits{BodyBytes: 5})
	c.Check(table.Pools["llm"], qt.Equals, Pool{Name: "llm", Slots: 2})
	c.Check(table.Pools, qt.HasLen, 2)
	c.Check(table.Routes, qt.HasLen, 3)
}

// While two policies are on their way, the lower of each bound holds.
func TestPlacementKeepsTheLowerBounds(t *testing.T) {
	c := qt.New(t)
	next := strings.NewReplacer("18000", "9000", `"room_mb":2200`, `"room_mb":1000`, `"light":true`, `"light":false`, `"load_ms":1900`, `"load_ms":2500`).Replace(wide)
	body, err := Roll([]byte(wide), []byte(next), []string{"a"}, 2000, 5)
	c.Assert(err, qt.IsNil)
	placed := parsed(c, body).Placement()
	c.Check(placed.Store.LoadsPer1000S, qt.Equals, int64(9000))
	c.Check(placed.Pools["llm"].RoomMb, qt.Equals, int64(1000))
	c.Check(placed.Pools["llm"].Slots, qt.Equals, int64(64))
	c.Check(placed.Items["a1"].Light, qt.IsFalse)
	c.Check(placed.Items["m1"].LoadMs, qt.Equals, int64(2500))
	c.Check(placed.Limits.BodyBytes, qt.Equals, int64(9000))
}

// A name that two pools hold is found by pool.
func TestNamesByPool(t *testing.T) {
	c := qt.New(t)
	table := Empty()
	for _, item := range []Item{{Name: "m", Pool: "a"}, {Name: InPool("m", "b"), Pool: "b"}, {Name: InPool("m", "b") + "/x", Base: InPool("m", "b"), Pool: "b"}} {
		table.Items[item.Name] = item
	}
	for _, one := range []struct{ pool, plain, want string }{{"a", "m", "m"}, {"b", "m", "m@b"}, {"b", "m/x", "m@b/x"}, {"a", "m/x", ""}, {"c", "m", ""}} {
		item, ok := table.Called(one.pool, one.plain)
		c.Check(ok, qt.Equals, one.want != "")
		if ok {
			c.Check(item.Name, qt.Equals, one.want)
			c.Check(item.Plain(), qt.Equals, one.plain)
		}
	}
}
