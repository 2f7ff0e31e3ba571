package wire

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// A configuration may be larger than the codec's default bound of one MiB: it
// passes between nodes, and what the journal holds of it can be read again.
func TestLargeFields(t *testing.T) {
	c := qt.New(t)
	value := make([]byte, 3<<20)
	value[len(value)-1] = 7
	kept := Encode(&AcceptorRecord{Key: "policy", Value: value})
	var back AcceptorRecord
	c.Assert(back.Unmarshal(kept), qt.IsNil)
	c.Check(len(back.Value) == len(value) && back.Value[len(value)-1] == 7, qt.IsTrue)
	var batch Messages
	c.Assert(batch.Unmarshal(Encode(&Messages{Messages: []Message{{Kind: int64(KindAcceptorRecord), Body: kept}}})), qt.IsNil)
	c.Check(batch.Messages[0].Body, qt.HasLen, len(kept))
}

// Bytes that are no whole record are refused, before memory is taken for what
// they announce.
func TestMalformed(t *testing.T) {
	c := qt.New(t)
	whole := Encode(&News{Topics: []Topic{{Name: "policy", Term: 4, Step: 2, Body: []byte("body")}}})
	cases := map[string][]byte{
		"an array of 2^40":          {0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x01},
		"the least count":           {0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01, 0x00},
		"nothing":                   {},
		"a number without an end":   {0x80},
		"bytes after the record":    append(append([]byte{}, whole...), 0),
		"a field longer than there": {0x02, 0x7e, 'a'},
	}
	for cut := range whole {
		cases[fmt.Sprintf("cut at %d", cut)] = whole[:cut]
	}
	for name, body := range cases {
		var back News
		c.Check(back.Unmarshal(body), qt.IsNotNil, qt.Commentf("%s", name))
	}
	var back News
	c.Check(back.Unmarshal(whole), qt.IsNil)
	c.Check(back.Topics, qt.HasLen, 1)
}
