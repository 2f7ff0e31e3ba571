package pipeline

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"applequay/internal/dataplane/protocol"
)

// bareSpeech is a speech in which a request to a model service may name no model.
type bareSpeech struct{ protocol.Own }

func (bareSpeech) Ask(r *http.Request, _ []byte, _ bool) (protocol.Ask, *protocol.Refusal) {
	return protocol.Ask{Model: r.Header.Get("X-Model")}, nil
}

// A request to a model service that names no model runs on any server of the
// service, whatever it holds, and its answer is passed on whole; it is held for no model.
func TestRequestsThatNameNoModel(t *testing.T) {
	c := qt.New(t)
	b := newBench(c)
	b.proxy.speech = bareSpeech{}
	whole := func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("any bytes")) }
	ask := func(model string) *httptest.ResponseRecorder {
		return b.ask("/v1/hints", `{}`, "X-Model", model)
	}
	c.Check(ask("").Code, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("no server at all"))
	b.server("w1", whole, "m2")
	answer := ask("")
	c.Check(answer.Code, qt.Equals, http.StatusOK)
	c.Check(answer.Body.String(), qt.Equals, "any bytes")
	c.Check(b.ledger.holds, qt.HasLen, 0)
	c.Check(ask("m9").Code, qt.Equals, http.StatusNotFound, qt.Commentf("a model that is named must be there"))
	c.Check(strings.Contains(ask("m1").Body.String(), "any bytes"), qt.IsFalse, qt.Commentf("a model that is named must be held"))
}
