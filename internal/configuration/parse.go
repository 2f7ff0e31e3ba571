package configuration

import (
	"slices"
	"sort"
	"strings"

	"github.com/valyala/fastjson"
)

var parsers fastjson.ParserPool

// Bounds of what a policy may say, all in one place.
const (
	mostSizeMb   = 1 << 24
	mostWeight   = 1000
	mostDeadline = 10 * 60 * 1000
	mostMoment   = 24 * 60 * 60 * 1000
)

// Parse reads and checks a policy. All faults are listed at once; syntax is
// true where the text is not JSON at all.
//
//	table, faults, syntax := configuration.Parse(body, 7)
func Parse(body []byte, version int64) (table *Table, faults Faults, syntax bool) {
	if err := StrictJSON(body); err != nil {
		return nil, Faults{{Path: "", Said: "is not JSON: " + err.Error()}}, true
	}
	parser := parsers.Get()
	defer parsers.Put(parser)
	value, err := parser.ParseBytes(body)
	if err != nil {
		return nil, Faults{{Path: "", Said: "is not JSON: " + err.Error()}}, true
	}
	table = Empty()
	table.Version = version
	p := &parse{table: table, faults: &faults}
	p.read(value)
	sort.SliceStable(faults, func(i, j int) bool { return faults[i].Path < faults[j].Path })
	return table, faults, false
}

// read reads and checks one policy, be it whole or the next one of a roll-out.
func (p *parse) read(value *fastjson.Value) {
	p.whole(value)
	p.links()
	p.duplicates()
}

type parse struct {
	table  *Table
	faults *Faults
	refs   []reference
}

// reference is a name that must be there once all is read.
type reference struct {
	path, name string
	known      func(string) bool
	what       string
}

func (p *parse) refer(path, name, what string, known func(string) bool) {
	if name != "" {
		p.refs = append(p.refs, reference{path: path, name: name, known: known, what: what})
	}
}

func (p *parse) links() {
	for _, ref := range p.refs {
		if !ref.known(ref.name) {
			*p.faults = append(*p.faults, Fault{Path: ref.path, Said: "names " + ref.what + " " + ref.name + ", which is not there"})
		}
	}
}

func (p *parse) isKind(name string) bool    { _, ok := p.table.Kinds[name]; return ok }
func (p *parse) isService(name string) bool { _, ok := p.table.Services[name]; return ok }
func (p *parse) isModel(name string) bool {
	item, ok := p.table.Items[name]
	return ok && item.Base == ""
}
func (p *parse) isAdapter(name string) bool {
	item, ok := p.table.Items[name]
	return ok && item.Base != ""
}

func (p *parse) whole(value *fastjson.Value) {
	top := newReader(p.faults, "", value)
	if store := top.take("store", false); store != nil {
		r := newReader(p.faults, "store", store)
		p.table.Store.MbPerS = r.number("mb_per_s", true, 1, mostSizeMb, 1000)
		p.table.Store.Turns = r.number("turns", true, 1, 64, 4)
		p.table.Store.LoadsPer1000S = r.number("loads_per_1000_s", false, 1, mostSizeMb, 0)
		r.done()
	}
	if limits := top.take("limits", false); limits != nil {
		p.limits(limits)
	}
	top.list("kinds", p.kind)
	top.list("models", func(path string, value *fastjson.Value) { p.item(path, value, false) })
	top.list("adapters", func(path string, value *fastjson.Value) { p.item(path, value, true) })
	top.list("pools", p.pool)
	top.list("services", p.service)
	top.list("routes", p.route)
	top.list("openings", p.opening)
	if rollout := top.take("rollout", false); rollout != nil {
		p.rollout(rollout)
	}
	top.done()
}

func (p *parse) kind(path string, value *fastjson.Value) {
	r := newReader(p.faults, path, value)
	kind := Kind{Name: r.text("name", true), Weight: r.number("weight", true, 1, mostWeight, 1)}
	r.done()
	if p.isKind(kind.Name) {
		r.fault("name", "stands twice: "+kind.Name)
	}
	p.table.Kinds[kind.Name] = kind
}

func (p *parse) item(path string, value *fastjson.Value, adapter bool) {
	r := newReader(p.faults, path, value)
	item := Item{Name: r.text("name", true), SizeMb: r.number("size_mb", true, 1, mostSizeMb, 1)}
	if adapter {
		item.Base = r.text("model", true)
		p.refer(r.at("model"), item.Base, "model", p.isModel)
		item.Pool = p.table.Items[item.Base].Pool
		item.Light = r.yes("light")
	} else {
		item.LoadMs = r.number("load_ms", false, 1, mostMoment, 0)
		item.Pool = r.text("pool", true)
	}
	r.done()
	if strings.ContainsAny(item.Name, "/ ") {
		r.fault("name", "must hold no slash and no blank")
	}
	if _, twice := p.table.Items[item.Name]; twice {
		r.fault("name", "stands twice: "+item.Name)
	}
	p.table.Items[item.Name] = item
}

func (p *parse) service(path string, value *fastjson.Value) {
	r := newReader(p.faults, path, value)
	service := Service{Name: r.text("name", true), Pool: r.text("pool", true), RetryPercent: r.number("retry_percent", false, 0, 20, 20)}
	switch kind := r.text("type", true); kind {
	case "model":
		service.Model, service.Again = true, true
	case "app", "":
	default:
		r.fault("type", "must be model or app")
	}
	r.done()
	if p.isService(service.Name) {
		r.fault("name", "stands twice: "+service.Name)
	}
	p.table.Services[service.Name] = service
}

func (p *parse) opening(path string, value *fastjson.Value) {
	r := newReader(p.faults, path, value)
	opening := Opening{Name: r.text("name", true), AtMs: r.moment("at"), Copies: r.number("copies", false, 1, 64, 1), Weights: map[string]int64{},
		LeadMs: r.number("lead_ms", false, 0, mostMoment, 60000), LastMs: r.number("last_ms", false, 1000, mostMoment, 600000)}
	models, adapters := r.names("models"), r.names("adapters")
	opening.Items = append(models, adapters...)
	for i, name := range opening.Items {
		if i < len(models) {
			p.refer(r.at("models"), name, "model", p.isModel)
		} else {
			p.refer(r.at("adapters"), name, "adapter", p.isAdapter)
		}
	}
	if weights := r.take("weights", false); weights != nil {
		w := newReader(p.faults, r.at("weights"), weights)
		for kind := range w.fields {
			opening.Weights[kind] = w.number(kind, true, 1, mostWeight, 1)
			p.refer(w.at(kind), kind, "kind", p.isKind)
		}
	}
	r.done()
	if slices.ContainsFunc(p.table.Openings, func(o Opening) bool { return o.Name == opening.Name }) {
		r.fault("name", "stands twice: "+opening.Name)
	}
	p.table.Openings = append(p.table.Openings, opening)
}
