package wire

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/samber/oops"
)

// A configuration of a thousand routes is hundreds of kilobytes of repeated field
// names, and each change of it goes whole to every front. Compressed once, where
// it enters distribution, it is a tenth of that on every link that it crosses.

const (
	// packAbove is from how many bytes a body is compressed.
	packAbove = 1 << 10
	// mostUnpacked bounds what a compressed body may become.
	mostUnpacked = 64 << 20
)

// ErrUnpackable is the code of an error that says a topic's body cannot be read.
const ErrUnpackable = "topic_unpackable"

// Pack compresses a topic's body where that makes it shorter.
//
//	board.Put(wire.Pack(wire.Topic{Name: "policy", Step: 7, Body: body}))
func Pack(topic Topic) Topic {
	if !topic.Packed {
		topic.Body, topic.Packed = packed(topic.Body)
	}
	return topic
}

// Unpack is a topic's body as it was before it was packed; the error's code is
// ErrUnpackable where it cannot be read, or is larger than 64 MB.
//
//	body, err := wire.Unpack(topic)
func Unpack(topic Topic) ([]byte, error) {
	if !topic.Packed {
		return topic.Body, nil
	}
	return unpacked(topic.Body)
}

// EncodeValue writes a register's value, its body compressed where that makes it
// shorter: a value crosses the links between a proposer and all voters, and lasts on
// each voter's disk.
//
//	accept.Value = wire.EncodeValue(value)
func EncodeValue(value Value) []byte {
	if !value.Packed {
		value.Body, value.Packed = packed(value.Body)
	}
	return Encode(&value)
}

// DecodeValue reads what EncodeValue wrote, with the body as it was.
//
//	value, err := wire.DecodeValue(record.Value)
func DecodeValue(body []byte) (Value, error) {
	var value Value
	if err := value.Unmarshal(body); err != nil || !value.Packed {
		return value, err
	}
	var err error
	value.Body, err = unpacked(value.Body)
	value.Packed = false
	return value, err
}

// packed is a body, compressed where that makes it shorter.
func packed(body []byte) ([]byte, bool) {
	if len(body) < packAbove {
		return body, false
	}
	var out bytes.Buffer
	writer, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return body, false
	}
	if _, err = writer.Write(body); err != nil || writer.Close() != nil || out.Len() >= len(body) {
		return body, false
	}
	return out.Bytes(), true
}

// unpacked is a body before it was compressed.
func unpacked(packed []byte) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), mostUnpacked+1))
	if err != nil {
		return nil, oops.Code(ErrUnpackable).Wrapf(err, "a compressed body")
	}
	if len(body) > mostUnpacked {
		return nil, oops.Code(ErrUnpackable).Errorf("a body is larger than %d bytes", mostUnpacked)
	}
	return body, nil
}
