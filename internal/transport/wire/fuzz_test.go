package wire

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// FuzzDecode gives any bytes to any kind: they are refused, or are a record that
// is the same once it was encoded and decoded again. Nothing ends the process.
func FuzzDecode(f *testing.F) {
	for kind, maker := range makers {
		f.Add(int64(kind), Encode(maker()))
	}
	f.Add(int64(KindNews), Encode(&News{Topics: []Topic{{Name: "policy", Term: 4, Step: 2, Body: []byte("body")}, {Name: "zone"}}}))
	f.Add(int64(KindProbe), Encode(&Probe{Seq: 7, Members: []Member{{ID: "c1~7f", Fact: map[string]string{"a": "b", "c": "d"}}}}))
	f.Add(int64(KindCoreSet), Encode(&CoreSet{Epoch: 3, Voters: []Voter{{ID: "a"}, {ID: "b"}}, Joining: []Voter{{ID: "c"}}, Rereplicated: true}))
	f.Add(int64(KindNews), []byte{0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x01})
	f.Add(int64(KindNews), []byte{0x01, 0x00, 0x00})
	f.Fuzz(func(t *testing.T, kind int64, body []byte) {
		record, err := Decode(Kind(kind), body)
		if err != nil {
			return
		}
		c := qt.New(t)
		once := Encode(record)
		again, err := Decode(Kind(kind), once)
		c.Assert(err, qt.IsNil)
		c.Check(again, qt.DeepEquals, record)
	})
}

// FuzzBatch gives any bytes to the reader of what one node posts to another.
func FuzzBatch(f *testing.F) {
	f.Add(Encode(&Messages{}))
	f.Add(Encode(&Messages{From: "c1~7f", Addr: "10.0.0.1:1", Messages: []Message{{Kind: int64(KindQuery), Body: Encode(&Query{Op: 1, Key: "policy"})}}}))
	f.Fuzz(func(t *testing.T, body []byte) {
		var batch, again Messages
		if batch.Unmarshal(body) != nil {
			return
		}
		c := qt.New(t)
		c.Assert(again.Unmarshal(Encode(&batch)), qt.IsNil)
		c.Check(again, qt.DeepEquals, batch)
		for _, one := range batch.Messages {
			_, _ = Decode(Kind(one.Kind), one.Body)
		}
	})
}
