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
	if topic.Packed || len(topic.Body) < packAbove {
		return topic
	}
	var packed bytes.Buffer
	writer, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return topic
	}
	if _, err = writer.Write(topic.Body); err != nil || writer.Close() != nil || packed.Len() >= len(topic.Body) {
		return topic
	}
	topic.Body, topic.Packed = packed.Bytes(), true
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
	reader := flate.NewReader(bytes.NewReader(topic.Body))
	body, err := io.ReadAll(io.LimitReader(reader, mostUnpacked+1))
	if err != nil {
		return nil, oops.Code(ErrUnpackable).Wrapf(err, "topic %s", topic.Name)
	}
	if len(body) > mostUnpacked {
		return nil, oops.Code(ErrUnpackable).Errorf("topic %s is larger than %d bytes", topic.Name, mostUnpacked)
	}
	return body, nil
}
