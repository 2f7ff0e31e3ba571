package pipeline

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A front that was cut off does not say that a route is not there, nor a model:
// it may have been added since. Once it is back it does.
func TestOutOfContact(t *testing.T) {
	c := qt.New(t)
	b := newBench(c)
	for _, one := range []struct {
		forMs  int64
		status int
	}{{60000, 404}, {1, 503}, {60000, 404}} {
		b.proxy.Contact(one.forMs)
		for began := b.proxy.Now(); b.proxy.Now() < began+5; {
			<-time.After(time.Millisecond)
		}
		for _, path := range []string{"/v1/other", "/v1/hints"} {
			answer := b.ask(path, `{"model":"m9"}`)
			c.Check(answer.Code, qt.Equals, one.status)
			c.Check(ran(answer), qt.Equals, "no")
			c.Check(answer.Header().Get("Retry-After") != "", qt.Equals, one.status == 503)
		}
	}
}
