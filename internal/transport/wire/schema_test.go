package wire

import (
	"os"
	"regexp"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/hamba/avro/v2"
)

// texts are the schemas as messages_gen.go has them.
func texts(c *qt.C) []string {
	body, err := os.ReadFile("messages_gen.go")
	c.Assert(err, qt.IsNil)
	var out []string
	for _, found := range regexp.MustCompile("schemaOf\\(`(.*)`\\)").FindAllSubmatch(body, -1) {
		out = append(out, string(found[1]))
	}
	c.Assert(len(out) > 80, qt.IsTrue)
	return out
}

// Each schema is the one that the library itself reads.
func TestSchemasAreTheLibrarys(t *testing.T) {
	c := qt.New(t)
	cache := &avro.SchemaCache{}
	for _, text := range texts(c) {
		theirs, err := avro.ParseWithCache(text, "", cache)
		c.Assert(err, qt.IsNil)
		ours := schemaOf(text)
		c.Check(ours.String(), qt.Equals, theirs.String())
		c.Check(ours.Fingerprint(), qt.Equals, theirs.Fingerprint())
	}
}

func TestSchemaFaults(t *testing.T) {
	c := qt.New(t)
	for _, text := range []string{
		`{"name":"A","type":"record","fields":[{"name":"a","type":"lang"}]}`,
		`{"name":"A","type":"record","fields":[{"name":"a","type":{"type":"array","items":"lang"}}]}`,
		`{"name":"A","type":"record","fields":[{"name":"a","type":{"type":"map","values":"lang"}}]}`,
		`{"name":"A","type":"record","fields":[{"name":"1 a","type":"long"}]}`,
		`{"name":"1 A","type":"record","fields":[]}`,
		`{"name":"A","type":"fixed"}`,
	} {
		c.Check(func() { schemaOf(text) }, qt.PanicMatches, ".*")
	}
}

// Messages of all kinds come back as they were sent.
func TestEveryKindIsRead(t *testing.T) {
	c := qt.New(t)
	for kind, maker := range makers {
		back, err := Decode(kind, Encode(maker()))
		c.Assert(err, qt.IsNil, qt.Commentf("%s", kind))
		c.Check(back, qt.Not(qt.IsNil))
	}
}
