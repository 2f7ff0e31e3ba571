package configuration

import (
	"fmt"
	"slices"
	"strings"

	"github.com/valyala/fastjson"
)

// anyMethod is how a route says that it takes every method.
const anyMethod = "ANY"

// mostShare bounds one weight of a split.
const mostShare = 1000000

func (p *parse) route(path string, value *fastjson.Value) {
	r := newReader(p.faults, path, value)
	split := r.take("split", false)
	route := Route{Name: r.text("name", false), Host: strings.ToLower(r.text("host", false)), Method: r.text("method", false), Path: r.text("path", true), Prefix: r.yes("prefix"),
		Service: r.text("service", split == nil), Kind: r.text("kind", true), DeadlineMs: r.number("deadline_ms", false, 50, mostDeadline, 30000),
		Safe: r.yes("safe"), Stream: r.yes("stream"), Resumable: r.yes("resumable"), Sticky: r.yes("sticky"),
		Tries: r.number("tries", false, 1, 64, 0), TargetMs: r.number("target_ms", false, 1, mostDeadline, 0), PauseMs: r.number("pause_ms", false, 1, mostDeadline, 0), Rank: r.number("rank", false, 0, 255, 0)}
	if split != nil {
		p.split(r, &route)
	}
	r.done()
	switch {
	case route.Method == "":
		route.Method = "POST"
	case route.Method == anyMethod:
		route.Method = ""
	case !slices.Contains([]string{"GET", "POST", "PUT", "PATCH", "DELETE"}, route.Method):
		r.fault("method", "must be GET, POST, PUT, PATCH, DELETE or ANY")
	}
	switch {
	case route.Path == "":
	case route.Path[0] != '/' || strings.ContainsAny(route.Path, "{}?# "):
		r.fault("path", "must start with a slash and be a plain path")
	case route.Prefix && !strings.HasSuffix(route.Path, "/"):
		r.fault("path", "must end with a slash where it is a prefix")
	}
	if route.Resumable && !route.Stream {
		r.fault("resumable", "needs a stream")
	}
	p.refer(r.at("service"), route.Service, "service", p.isService)
	p.refer(r.at("kind"), route.Kind, "kind", p.isKind)
	p.table.Routes = append(p.table.Routes, route)
}

// split reads how a route's requests are shared out. Where no service is said,
// the first of the split stands for the route.
func (p *parse) split(r *reader, route *Route) {
	sum := int64(0)
	r.list("split", func(path string, value *fastjson.Value) {
		s := newReader(p.faults, path, value)
		share := Share{Service: s.text("service", true), Weight: s.number("weight", true, 0, mostShare, 1)}
		s.done()
		p.refer(s.at("service"), share.Service, "service", p.isService)
		if sum += share.Weight; share.Weight > 0 {
			route.Split = append(route.Split, share)
		}
	})
	if sum == 0 {
		r.fault("split", "has weights that add up to 0")
		return
	}
	if route.Service == "" {
		route.Service = route.Split[0].Service
	}
}

func (p *parse) pool(path string, value *fastjson.Value) {
	r := newReader(p.faults, path, value)
	pool := Pool{Name: r.text("name", true), HealthPath: r.text("health_path", false), MostLines: r.number("most_lines", false, 1, mostSizeMb, 0),
		Slots: r.number("slots", false, 1, mostSizeMb, 0), CacheTokens: r.number("cache_tokens", false, 1, 1<<40, 0), Stride: r.number("stride", false, 1, mostSizeMb, 0),
		RoomMb: r.number("room_mb", false, 1, mostSizeMb, 0), AdapterSlots: r.number("adapter_slots", false, 1, mostSizeMb, 0)}
	r.done()
	if _, twice := p.table.Pools[pool.Name]; twice {
		r.fault("name", "stands twice: "+pool.Name)
	}
	if pool.HealthPath != "" && pool.HealthPath[0] != '/' {
		r.fault("health_path", "must start with a slash")
	}
	p.table.Pools[pool.Name] = pool
}

func (p *parse) limits(value *fastjson.Value) {
	r := newReader(p.faults, "limits", value)
	p.table.Limits = Limits{HeaderBytes: r.number("header_bytes", false, 256, 1<<40, 0), BodyBytes: r.number("body_bytes", false, 1, 1<<40, 0),
		HeaderMs: r.number("header_ms", false, 1, mostMoment, 0), IdleMs: r.number("idle_ms", false, 1, mostMoment, 0)}
	r.done()
}

// duplicates notes routes that take the very same requests.
func (p *parse) duplicates() {
	seen := map[string]int{}
	for i, route := range p.table.Routes {
		key := routeKey(route.Host, route.Method, route.Path, route.Prefix)
		if first, twice := seen[key]; twice {
			*p.faults = append(*p.faults, Fault{Path: routePath(i), Said: "says the same as " + routePath(first)})
		}
		seen[key] = i
	}
}

func routeKey(host, method, path string, prefix bool) string {
	if prefix {
		path += "*"
	}
	return host + " " + method + " " + path
}

func routePath(i int) string { return fmt.Sprintf("routes[%d]", i) }
