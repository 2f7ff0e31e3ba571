package wire

import (
	"github.com/hamba/avro/v2"
	"github.com/samber/oops"
	"github.com/valyala/fastjson"
)

// named are the records made so far; others refer to them by name.
var named = map[string]*avro.RecordSchema{}

// reader is one text being read; a record is written out where a text names it
// first, and referred to from then on.
type reader struct {
	seen map[string]bool
}

var schemaParser fastjson.Parser

// schemaOf makes the schema of a generated record. It does what avro.MustParse
// does for the few forms that messages.avsc has, in a fiftieth of its time and
// memory: every process makes all schemas at its start.
func schemaOf(text string) avro.Schema {
	value, err := schemaParser.Parse(text)
	if err != nil {
		panic(oops.Wrapf(err, "schema %s", text))
	}
	schema, err := (&reader{seen: map[string]bool{}}).schema(value)
	if err != nil {
		panic(oops.Wrapf(err, "schema %s", text))
	}
	return schema
}

func (r *reader) schema(value *fastjson.Value) (avro.Schema, error) {
	if value.Type() == fastjson.TypeString {
		name := string(value.GetStringBytes())
		if record, ok := named[name]; ok {
			if r.seen[name] {
				return avro.NewRefSchema(record), nil
			}
			r.seen[name] = true
			return record, nil
		}
		switch kind := avro.Type(name); kind {
		case avro.Long, avro.String, avro.Bytes, avro.Boolean:
			return avro.NewPrimitiveSchema(kind, nil), nil
		}
		return nil, oops.Errorf("no type %q", name)
	}
	switch kind := string(value.GetStringBytes("type")); kind {
	case "array":
		items, err := r.schema(value.Get("items"))
		if err != nil {
			return nil, err
		}
		return avro.NewArraySchema(items), nil
	case "map":
		values, err := r.schema(value.Get("values"))
		if err != nil {
			return nil, err
		}
		return avro.NewMapSchema(values), nil
	case "record":
		return r.record(value)
	default:
		return nil, oops.Errorf("no type %q", kind)
	}
}

func (r *reader) record(value *fastjson.Value) (avro.Schema, error) {
	name := string(value.GetStringBytes("name"))
	var fields []*avro.Field
	for _, field := range value.GetArray("fields") {
		kind, err := r.schema(field.Get("type"))
		if err != nil {
			return nil, err
		}
		one, err := avro.NewField(string(field.GetStringBytes("name")), kind)
		if err != nil {
			return nil, err
		}
		fields = append(fields, one)
	}
	record, err := avro.NewRecordSchema(name, "", fields)
	if err != nil {
		return nil, err
	}
	named[name] = record
	return record, nil
}
