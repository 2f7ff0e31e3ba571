package configuration

import (
	"fmt"
	"time"

	"github.com/valyala/fastjson"
)

// reader walks one JSON object, noting every fault by its path.
type reader struct {
	faults *Faults
	path   string
	fields map[string]*fastjson.Value
	used   map[string]bool
}

func newReader(faults *Faults, path string, value *fastjson.Value) *reader {
	r := &reader{faults: faults, path: path, fields: map[string]*fastjson.Value{}, used: map[string]bool{}}
	object, err := value.Object()
	if err != nil {
		r.fault("", "must be an object")
		return r
	}
	object.Visit(func(key []byte, field *fastjson.Value) {
		if _, twice := r.fields[string(key)]; twice {
			r.fault(string(key), "stands twice")
		}
		r.fields[string(key)] = field
	})
	return r
}

func (r *reader) at(field string) string {
	switch {
	case field == "":
		return r.path
	case r.path == "":
		return field
	}
	return r.path + "." + field
}

func (r *reader) fault(field, said string) {
	*r.faults = append(*r.faults, Fault{Path: r.at(field), Said: said})
}

func (r *reader) take(field string, need bool) *fastjson.Value {
	r.used[field] = true
	value, ok := r.fields[field]
	if !ok && need {
		r.fault(field, "is missing")
	}
	return value
}

func (r *reader) text(field string, need bool) string {
	value := r.take(field, need)
	if value == nil {
		return ""
	}
	body, err := value.StringBytes()
	if err != nil {
		r.fault(field, "must be a string")
		return ""
	}
	if need && len(body) == 0 {
		r.fault(field, "must not be empty")
	}
	if len(body) > 200 {
		r.fault(field, "is longer than 200 bytes")
	}
	return string(body)
}

func (r *reader) number(field string, need bool, least, most, otherwise int64) int64 {
	value := r.take(field, need)
	if value == nil {
		return otherwise
	}
	number, err := value.Int64()
	if err != nil {
		r.fault(field, "must be a whole number")
		return otherwise
	}
	if number < least || number > most {
		r.fault(field, fmt.Sprintf("must be from %d to %d", least, most))
		return otherwise
	}
	return number
}

func (r *reader) yes(field string) bool {
	value := r.take(field, false)
	if value == nil {
		return false
	}
	said, err := value.Bool()
	if err != nil {
		r.fault(field, "must be true or false")
	}
	return said
}

func (r *reader) moment(field string) int64 {
	text := r.text(field, true)
	if text == "" {
		return 0
	}
	moment, err := time.Parse(time.RFC3339, text)
	if err != nil {
		r.fault(field, "must be a moment such as 2026-12-02T07:00:00Z")
		return 0
	}
	return moment.UnixMilli()
}

func (r *reader) list(field string, each func(path string, value *fastjson.Value)) {
	value := r.take(field, false)
	if value == nil {
		return
	}
	entries, err := value.Array()
	if err != nil {
		r.fault(field, "must be a list")
		return
	}
	for i, entry := range entries {
		each(fmt.Sprintf("%s[%d]", r.at(field), i), entry)
	}
}

func (r *reader) names(field string) []string {
	var out []string
	r.list(field, func(path string, value *fastjson.Value) {
		body, err := value.StringBytes()
		if err != nil {
			*r.faults = append(*r.faults, Fault{Path: path, Said: "must be a string"})
			return
		}
		out = append(out, string(body))
	})
	return out
}

// done notes every field that nobody asked for.
func (r *reader) done() {
	for field := range r.fields {
		if !r.used[field] {
			r.fault(field, "is not a known field")
		}
	}
}
