package configuration

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/valyala/fastjson"
	"sigs.k8s.io/yaml"
)

// ObjectsVersion is the apiVersion of objects that are taken as policy.
const ObjectsVersion = "applequay/v1"

// objectLists are the kinds of objects and the lists that they go to.
var objectLists = map[string]string{
	"RequestKind": "kinds", "Model": "models", "Adapter": "adapters", "Pool": "pools", "Service": "services", "Route": "routes", "Opening": "openings",
}

// objectParts are the kinds of objects that are there once.
var objectParts = map[string]string{"Store": "store", "Limits": "limits"}

// Objects is a policy written as objects (apiVersion, kind, metadata, spec), in
// YAML or JSON, one or several, turned into the native form. Faults name the
// place in the objects; Path translates those that Parse finds later.
type Objects struct {
	Native []byte
	Faults Faults
	Syntax bool
	places [][2]string
}

// ReadObjects reads objects; a list object's items count as objects too.
//
//	read := configuration.ReadObjects([]byte("apiVersion: applequay/v1\nkind: Model\nmetadata: {name: m1}\nspec: {pool: llm, size_mb: 900}"))
func ReadObjects(body []byte) *Objects {
	o := &Objects{}
	native := fastjson.MustParse("{}")
	number := 0
	for _, document := range bytes.Split(append([]byte("\n"), body...), []byte("\n---")) {
		if len(bytes.TrimSpace(document)) == 0 {
			continue
		}
		text, err := yaml.YAMLToJSONStrict(document)
		if err != nil {
			o.Syntax = true
			o.Faults = append(o.Faults, Fault{Path: fmt.Sprintf("objects[%d]", number), Said: "is not YAML or JSON: " + err.Error()})
			continue
		}
		value, err := fastjson.ParseBytes(text)
		if err != nil {
			o.Syntax = true
			o.Faults = append(o.Faults, Fault{Path: fmt.Sprintf("objects[%d]", number), Said: err.Error()})
			continue
		}
		items := []*fastjson.Value{value}
		if string(value.GetStringBytes("kind")) == "List" {
			items = value.GetArray("items")
		}
		for _, item := range items {
			o.object(native, fmt.Sprintf("objects[%d]", number), item)
			number++
		}
	}
	o.Native = native.MarshalTo(nil)
	return o
}

func (o *Objects) object(native *fastjson.Value, path string, value *fastjson.Value) {
	r := newReader(&o.Faults, path, value)
	if version := r.text("apiVersion", true); version != "" && version != ObjectsVersion {
		r.fault("apiVersion", "must be "+ObjectsVersion)
	}
	kind, name := r.text("kind", true), ""
	if metadata := r.take("metadata", true); metadata != nil {
		m := newReader(&o.Faults, r.at("metadata"), metadata)
		name = m.text("name", true)
		for _, ignored := range []string{"labels", "annotations", "namespace"} {
			m.take(ignored, false)
		}
		m.done()
	}
	spec := r.take("spec", true)
	r.done()
	if spec == nil || kind == "" {
		return
	}
	if spec.Type() != fastjson.TypeObject {
		r.fault("spec", "must be an object")
		return
	}
	var arena fastjson.Arena
	if part, whole := objectParts[kind]; whole {
		o.place(part, r.at("spec"))
		native.Set(part, spec)
		return
	}
	list, known := objectLists[kind]
	if !known {
		r.fault("kind", "is not a kind of object that applequay takes")
		return
	}
	if kind != "Route" {
		if spec.Exists("name") {
			r.fault("spec.name", "belongs into metadata")
		}
		spec.Set("name", arena.NewString(name))
	}
	if !native.Exists(list) {
		native.Set(list, arena.NewArray())
	}
	at := len(native.GetArray(list))
	native.Get(list).SetArrayItem(at, spec)
	entry := fmt.Sprintf("%s[%d]", list, at)
	o.place(entry+".name", r.at("metadata.name"))
	o.place(entry, r.at("spec"))
}

func (o *Objects) place(native, object string) {
	o.places = append(o.places, [2]string{native, object})
}

// Path translates a path of the native form into that of the objects.
//
//	path := read.Path("models[0].size_mb") // objects[2].spec.size_mb
func (o *Objects) Path(native string) string {
	for _, place := range o.places {
		if rest, ok := strings.CutPrefix(native, place[0]); ok && (rest == "" || rest[0] == '.' || rest[0] == '[') {
			return place[1] + rest
		}
	}
	return native
}

// Translate gives faults of the native form the paths of the objects.
//
//	faults = read.Translate(faults)
func (o *Objects) Translate(faults Faults) Faults {
	out := make(Faults, len(faults))
	for at, fault := range faults {
		out[at] = Fault{Path: o.Path(fault.Path), Said: fault.Said}
	}
	return out
}
