package protocol

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fastjson"
)

// FuzzPieces reads any bytes as a worker's stream: its pieces follow each other
// from the one asked for, are of one run, and it is never complete without an
// end marker.
func FuzzPieces(f *testing.F) {
	for _, seed := range []string{"{\"run\":\"r1\",\"piece\":0}\n{\"run\":\"r1\",\"piece\":1}\n{\"run\":\"r1\",\"end\":true,\"pieces\":2}\n",
		"{\"run\":\"r1\",\"piece\":0}\n{\"run\":\"r2\",\"piece\":1}\n", "\n{\"run\":\"\",\"piece\":0}", "{", "{\"run\":\"r1\",\"end\":true}"} {
		f.Add([]byte(seed), "", int64(0))
		f.Add([]byte(seed), "w3:r1", int64(1))
	}
	f.Fuzz(func(t *testing.T, text []byte, run string, from int64) {
		if from < 0 || from > 1<<40 {
			return
		}
		c := qt.New(t)
		stream := Own{}.Open(&http.Response{}, bufio.NewReader(bytes.NewReader(text)), Ask{Run: run, From: from}, "w3")
		first := ""
		for number := from; ; number++ {
			piece, err := stream.Next()
			if err != nil {
				c.Check(errors.Is(err, io.EOF), qt.IsFalse)
				return
			}
			c.Check(piece.Number, qt.Equals, number)
			value, err := fastjson.ParseBytes(piece.Bytes)
			c.Assert(err, qt.IsNil)
			named := string(value.GetStringBytes("run"))
			if first == "" {
				first = named
			}
			c.Check(named, qt.Equals, first)
			if piece.End {
				return
			}
		}
	})
}

// FuzzAsk gives any body of a client's request.
func FuzzAsk(f *testing.F) {
	f.Add([]byte(`{"model":"m1","adapter":"a1","prompt":"once"}`), true)
	f.Add([]byte(`[]`), true)
	f.Fuzz(func(t *testing.T, body []byte, model bool) {
		ask, refusal := Own{}.Ask(&http.Request{Header: http.Header{}}, body, model)
		qt.New(t).Check(refusal != nil || !model || ask.Model != "", qt.IsTrue)
	})
}
