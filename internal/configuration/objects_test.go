package configuration

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

const objects = `
apiVersion: applequay/v1
kind: Store
metadata: {name: store}
spec: {mb_per_s: 2000, turns: 4}
---
apiVersion: applequay/v1
kind: List
items:
- {apiVersion: applequay/v1, kind: RequestKind, metadata: {name: hint}, spec: {weight: 5}}
- {apiVersion: applequay/v1, kind: Model, metadata: {name: m1, labels: {team: a}}, spec: {pool: llm, size_mb: 900}}
- {apiVersion: applequay/v1, kind: Adapter, metadata: {name: a1}, spec: {model: m1, size_mb: 40}}
- {apiVersion: applequay/v1, kind: Service, metadata: {name: hints}, spec: {type: model, pool: llm}}
- {apiVersion: applequay/v1, kind: Route, metadata: {name: r}, spec: {path: /v1/hints, service: hints, kind: hint}}
---
apiVersion: applequay/v1
kind: Opening
metadata: {name: crossword}
spec: {at: "2026-12-02T07:00:00Z", models: [m1], adapters: [a1], weights: {hint: 50}}
`

// Objects give the very table that the native form gives.
func TestObjectsGiveTheSameTable(t *testing.T) {
	c := qt.New(t)
	read := ReadObjects([]byte(objects))
	c.Assert(read.Faults, qt.HasLen, 0)
	table, faults, _ := Parse(read.Native, 1)
	c.Assert(faults, qt.HasLen, 0)
	native, faults, _ := Parse([]byte(whole), 1)
	c.Assert(faults, qt.HasLen, 0)
	c.Check(table, qt.DeepEquals, native)
}

func TestObjectFaults(t *testing.T) {
	c := qt.New(t)
	cases := []struct {
		name, body string
		paths      []string
		syntax     bool
	}{
		{"not YAML", "a: [", []string{"objects[0]"}, true},
		{"a key twice", "kind: Model\nkind: Model", []string{"objects[0]"}, true},
		{"another version and kind", "apiVersion: apps/v1\nkind: Deployment\nmetadata: {name: x}\nspec: {}", []string{"objects[0].apiVersion", "objects[0].kind"}, false},
		{"no name, no spec", "apiVersion: applequay/v1\nkind: Model\nmetadata: {}", []string{"objects[0].metadata.name", "objects[0].spec"}, false},
		{"unknown fields", "apiVersion: applequay/v1\nkind: Model\nmetadata: {name: m, hue: 1}\nspec: {pool: p, size_mb: 1, colour: 2}\nstatus: {}", []string{"objects[0].metadata.hue", "objects[0].spec.colour", "objects[0].status"}, false},
		{"a fault in the second object", "apiVersion: applequay/v1\nkind: Model\nmetadata: {name: m}\nspec: {pool: p, size_mb: 1}\n---\napiVersion: applequay/v1\nkind: Model\nmetadata: {name: m}\nspec: {pool: p, size_mb: x}", []string{"objects[1].metadata.name", "objects[1].spec.size_mb"}, false},
		{"a name that is not there", "apiVersion: applequay/v1\nkind: Route\nmetadata: {name: r}\nspec: {path: /x, service: s, kind: k}", []string{"objects[0].spec.kind", "objects[0].spec.service"}, false},
	}
	for _, one := range cases {
		c.Run(one.name, func(c *qt.C) {
			read := ReadObjects([]byte(one.body))
			c.Check(read.Syntax, qt.Equals, one.syntax)
			faults := read.Faults
			if !read.Syntax {
				_, more, _ := Parse(read.Native, 1)
				faults = append(faults, read.Translate(more)...)
			}
			paths := map[string]bool{}
			for _, fault := range faults {
				paths[fault.Path] = true
			}
			c.Assert(paths, qt.HasLen, len(one.paths), qt.Commentf("%v", faults))
			for _, path := range one.paths {
				c.Check(paths[path], qt.IsTrue, qt.Commentf("%s in %v", path, faults))
			}
		})
	}
}
