package pipeline

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Who waits for a model on a front that leaves hears at once that it did not
// run, and so does who comes to wait there later.
func TestLeavingRefusesWhoWaits(t *testing.T) {
	c := qt.New(t)
	b := newBench(c)
	b.board.limits.Hold = 1 << 40
	answered := make(chan int, 1)
	go func() { answered <- b.ask("/v1/hints", `{"model":"m1","prompt":"p"}`).Code }()
	c.Assert(<-b.ledger.holds, qt.Equals, int64(1))
	b.board.Leave()
	b.board.Leave()
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
		b.board.ServeHTTP(answer, request)
	}()
	<-came
	end()
	<-done
	c.Check(answer.Code, qt.Equals, http.StatusBadGateway)
}
