package wire

import (
	"bytes"
	"compress/flate"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// routesText is a configuration of so many routes.
func routesText(routes int) []byte {
	var text strings.Builder
	for at := range routes {
		fmt.Fprintf(&text, `{"name":"r-%x","host":"h.example","path":"/p%d/","prefix":true,"kind":"k","service":"s","deadline_ms":15000,"target_ms":3000,"tries":1},`, at*7919, at*31)
	}
	return []byte(text.String())
}

// A body comes back as it was, whatever it is; a long text crosses links as a
// fifth of itself at most.
func TestPackedBodies(t *testing.T) {
	noise := make([]byte, 1<<14)
	for at := range noise {
		noise[at] = byte(at * at * 2654435761 >> 7)
	}
	cases := []struct {
		name string
		body []byte
		most int
	}{
		{"nothing", nil, 0},
		{"a word", []byte("whole"), 5},
		{"a short text", routesText(3), packAbove},
		{"1,700 routes", routesText(1700), len(routesText(1700)) / 5},
		{"what is not to be compressed", noise, len(noise)},
	}
	for _, one := range cases {
		t.Run(one.name, func(t *testing.T) {
			c := qt.New(t)
			packed := Pack(Topic{Name: "policy", Term: 1, Step: 7, Body: one.body})
			c.Check(len(packed.Body) <= one.most, qt.IsTrue, qt.Commentf("%d bytes of %d", len(packed.Body), len(one.body)))
			c.Check(packed.Step, qt.Equals, int64(7))
			again := Pack(packed)
			c.Check(again, qt.DeepEquals, packed)
			body, err := Unpack(packed)
			c.Assert(err, qt.IsNil)
			c.Check(bytes.Equal(body, one.body), qt.IsTrue)
		})
	}
}

// What is damaged, or would fill the memory, is an error and no body.
func TestBodiesThatCannotBeRead(t *testing.T) {
	c := qt.New(t)
	whole := Pack(Topic{Name: "policy", Body: routesText(100)})
	c.Assert(whole.Packed, qt.IsTrue)
	var bomb bytes.Buffer
	writer, err := flate.NewWriter(&bomb, flate.BestSpeed)
	c.Assert(err, qt.IsNil)
	for range mostUnpacked>>20 + 1 {
		_, err = writer.Write(make([]byte, 1<<20))
		c.Assert(err, qt.IsNil)
	}
	c.Assert(writer.Close(), qt.IsNil)
	for name, body := range map[string][]byte{"cut short": whole.Body[:len(whole.Body)/2], "empty": nil, "no such format": []byte("whole"), "too large": bomb.Bytes()} {
		read, err := Unpack(Topic{Name: "policy", Packed: true, Body: body})
		c.Check(err, qt.IsNotNil, qt.Commentf(name))
		c.Check(read, qt.IsNil, qt.Commentf(name))
	}
}
