package pipeline

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Who waits for a model on a front that leaves hears at once that it did not
// run, and so does who comes to wait there later.
func TestLeavingRefusesWhoWaits(t *testing.T) {
	c := qt.New(t)
	b := newBench(c)
	b.proxy.limits.Hold = 1 << 40
	answered := make(chan int, 1)
	go func() { answered <- b.ask("/v1/hints", `{"model":"m1","prompt":"p"}`).Code }()
	c.Assert(<-b.ledger.holds, qt.Equals, int64(1))
	b.proxy.Leave()
	b.proxy.Leave()
	c.Check(<-answered, qt.Equals, http.StatusServiceUnavailable)
	c.Check(b.ask("/v1/hints", `{"model":"m1","prompt":"p"}`).Code, qt.Equals, http.StatusServiceUnavailable)
}

// What is at a server when the front's time is up gets an answer that does not
// promise anything.
func TestEndOfTheFrontAnswers(t *testing.T) {
	c := qt.New(t)
	b := newBench(c)
	came, over := make(chan struct{}, 1), make(chan struct{})
	defer close(over)
	b.server("w1", func(http.ResponseWriter, *http.Request) {
		came <- struct{}{}
		<-over
	}, "m1")
	ctx, end := context.WithCancel(context.Background())
	defer end()
	request := httptest.NewRequestWithContext(ctx, http.MethodPost, "/v1/hints", strings.NewReader(`{"model":"m1","prompt":"p"}`))
	answer, done := httptest.NewRecorder(), make(chan struct{})
	go func() {
		defer close(done)
		b.proxy.ServeHTTP(answer, request)
	}()
	<-came
	end()
	<-done
	c.Check(answer.Code, qt.Equals, http.StatusBadGateway)
}

// A front that leaves hands nothing on that it did not hand on before: it could not
// wait for its end. What came late, on a connection that was busy or with a body that
// came slowly, hears that it did not run, and goes elsewhere while there is time.
func TestLeavingPassesNothingOn(t *testing.T) {
	c := qt.New(t)
	b := newBench(c)
	var ran atomic.Int64
	b.server("w1", func(w http.ResponseWriter, r *http.Request) {
		ran.Add(1)
		pieces("r1", 1, -1)(w, r)
	}, "m1")
	body, rest := io.Pipe()
	slow := httptest.NewRequest(http.MethodPost, "/v1/hints", body)
	answer, done := httptest.NewRecorder(), make(chan struct{})
	go func() {
		defer close(done)
		b.proxy.ServeHTTP(answer, slow)
	}()
	_, err := rest.Write([]byte(`{"model":"m1",`))
	c.Assert(err, qt.IsNil)
	b.proxy.Leave()
	_, err = rest.Write([]byte(`"prompt":"p"}`))
	c.Assert(err, qt.IsNil)
	c.Assert(rest.Close(), qt.IsNil)
	<-done
	c.Check(answer.Code, qt.Equals, http.StatusServiceUnavailable)
	c.Check(ran.Load(), qt.Equals, int64(0), qt.Commentf("its body came after the notice"))
	c.Check(b.ask("/v1/hints", `{"model":"m1","prompt":"p"}`).Code, qt.Equals, http.StatusServiceUnavailable)
	c.Check(ran.Load(), qt.Equals, int64(0), qt.Commentf("it came after the notice"))
}
