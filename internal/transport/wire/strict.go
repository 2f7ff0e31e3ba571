package wire

import (
	"encoding/binary"

	"github.com/hamba/avro/v2"
	"github.com/samber/oops"
)

// codec decodes what the strict check let pass. The check bounds every length
// by the bytes that are there, so the codec's own bounds are switched off: its
// default refuses any field above one MiB, which a configuration may be.
var codec = avro.Config{MaxByteSliceSize: -1}.Freeze()

// ErrMalformed is the code of an error that says bytes are no whole record of
// the kind they are said to be.
const ErrMalformed = "wire_malformed"

// unmarshal decodes a whole record. Bytes that end early, go on after the
// record or announce more than is there are refused before anything is
// allocated for them: the codec itself takes a record that ends early for a
// whole one and allocates whatever a count asks for.
func unmarshal(record Record, body []byte) error {
	rest, err := skip(record.Schema(), body)
	if err != nil {
		return err
	}
	if len(rest) > 0 {
		return malformed("%d bytes after the record", len(rest))
	}
	return codec.Unmarshal(record.Schema(), body, record)
}

func malformed(format string, args ...any) error {
	return oops.Code(ErrMalformed).Errorf(format, args...)
}

// skip checks one value of a schema at the start of a body and returns what
// follows it.
func skip(schema avro.Schema, body []byte) ([]byte, error) {
	switch kind := schema.(type) {
	case *avro.RecordSchema:
		return skipFields(kind, body)
	case *avro.RefSchema:
		return skip(kind.Schema(), body)
	case *avro.ArraySchema:
		return skipBlocks(body, kind.Items(), false)
	case *avro.MapSchema:
		return skipBlocks(body, kind.Values(), true)
	}
	switch schema.Type() {
	case avro.Long:
		_, rest, err := long(body)
		return rest, err
	case avro.String, avro.Bytes:
		return skipBytes(body)
	case avro.Boolean:
		if len(body) == 0 || body[0] > 1 {
			return nil, malformed("no truth value")
		}
		return body[1:], nil
	default:
		return nil, malformed("type %s is not spoken here", schema.Type())
	}
}

func skipFields(record *avro.RecordSchema, body []byte) ([]byte, error) {
	for _, field := range record.Fields() {
		var err error
		if body, err = skip(field.Type(), body); err != nil {
			return nil, err
		}
	}
	return body, nil
}

// skipBlocks checks an array or a map. Every element takes a byte or more, so
// a count above the bytes that are left is a lie.
func skipBlocks(body []byte, items avro.Schema, keyed bool) ([]byte, error) {
	for {
		count, rest, err := long(body)
		if err != nil {
			return nil, err
		}
		if count < 0 {
			// A negative count is followed by the size of the block in bytes.
			if _, rest, err = long(rest); err != nil {
				return nil, err
			}
			count = -count
		}
		if count < 0 || count > int64(len(rest)) {
			return nil, malformed("%d elements in %d bytes", count, len(rest))
		}
		if body = rest; count == 0 {
			return body, nil
		}
		for range count {
			if keyed {
				if body, err = skipBytes(body); err != nil {
					return nil, err
				}
			}
			if body, err = skip(items, body); err != nil {
				return nil, err
			}
		}
	}
}

func skipBytes(body []byte) ([]byte, error) {
	size, rest, err := long(body)
	if err != nil {
		return nil, err
	}
	if size < 0 || size > int64(len(rest)) {
		return nil, malformed("a field of %d bytes in %d", size, len(rest))
	}
	return rest[size:], nil
}

// long reads a zigzag number.
func long(body []byte) (int64, []byte, error) {
	value, size := binary.Varint(body)
	if size <= 0 {
		return 0, nil, malformed("no number")
	}
	return value, body[size:], nil
}
