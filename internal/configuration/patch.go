package configuration

import (
	"fmt"
	"strings"

	"github.com/valyala/fastjson"
)

// namedLists are the lists whose entries a patch names one by one; routes are
// told apart by host, method, path and prefix.
var namedLists = []string{"kinds", "models", "adapters", "pools", "services", "routes", "openings"}

// wholeParts are replaced whole.
var wholeParts = []string{"store", "limits"}

// Patch makes small changes to a policy: an entry of a list replaces the one
// of the same name, or is added; an entry with "remove": true goes. The store
// and the limits are replaced whole.
//
//	body, faults := configuration.Patch(current, []byte(`{"kinds":[{"name":"hint","weight":9}]}`))
func Patch(current, change []byte) (body []byte, faults Faults, syntax bool) {
	if len(current) == 0 {
		current = []byte("{}")
	}
	base, err := fastjson.ParseBytes(current)
	if err != nil {
		return nil, Faults{{Said: "the policy kept is not JSON: " + err.Error()}}, true
	}
	if err = StrictJSON(change); err != nil {
		return nil, Faults{{Said: "is not JSON: " + err.Error()}}, true
	}
	patch, err := fastjson.ParseBytes(change)
	if err != nil {
		return nil, Faults{{Said: "is not JSON: " + err.Error()}}, true
	}
	top := newReader(&faults, "", patch)
	for _, part := range wholeParts {
		if value := top.take(part, false); value != nil {
			base.Set(part, value)
		}
	}
	for _, list := range namedLists {
		top.list(list, func(path string, entry *fastjson.Value) {
			patchEntry(&faults, base, list, path, entry)
		})
	}
	top.done()
	return base.MarshalTo(nil), faults, false
}

func entryName(list string, entry *fastjson.Value) string {
	if list != "routes" {
		return string(entry.GetStringBytes("name"))
	}
	method := string(entry.GetStringBytes("method"))
	if method == "" {
		method = "POST"
	}
	path := entry.GetStringBytes("path")
	if len(path) == 0 {
		return ""
	}
	return routeKey(strings.ToLower(string(entry.GetStringBytes("host"))), method, string(path), entry.GetBool("prefix"))
}

func patchEntry(faults *Faults, base *fastjson.Value, list, path string, entry *fastjson.Value) {
	name := entryName(list, entry)
	if name == "" {
		*faults = append(*faults, Fault{Path: path, Said: "must say which entry it is"})
		return
	}
	remove := entry.GetBool("remove")
	kept := base.GetArray(list)
	if !base.Exists(list) {
		var arena fastjson.Arena
		base.Set(list, arena.NewArray())
	}
	array := base.Get(list)
	for at, old := range kept {
		if entryName(list, old) != name {
			continue
		}
		if remove {
			array.Del(fmt.Sprint(at))
		} else {
			array.SetArrayItem(at, entry)
		}
		return
	}
	if remove {
		*faults = append(*faults, Fault{Path: path, Said: "removes " + name + ", which is not there"})
		return
	}
	array.SetArrayItem(len(kept), entry)
}
