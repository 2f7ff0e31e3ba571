package orders

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"applequay/internal/transport/wire"
)

// The product's own form: an order and the list leave once and on connections of
// their own, whatever becomes of them; looks share one.
func TestNativeCallsLeaveOnce(t *testing.T) {
	c := qt.New(t)
	var orders, lists, conns, away atomic.Int64
	var bad atomic.Bool
	elsewhere := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { away.Add(1) }))
	c.Cleanup(elsewhere.Close)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		switch {
		case r.URL.Path == "/workers":
			lists.Add(1)
			if bad.Load() {
				panic(http.ErrAbortHandler)
			}
			_, _ = io.WriteString(w, `{"workers":[]}`)
		case strings.Contains(string(body), `"look"`):
			_, _ = io.WriteString(w, `{"ok":true}`)
		default:
			c.Check(r.Close, qt.IsTrue)
			if orders.Add(1); bad.Load() {
				http.Redirect(w, r, elsewhere.URL, http.StatusPermanentRedirect)
				return
			}
			_, _ = io.WriteString(w, `{"ok":true,"seq":7}`)
		}
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			conns.Add(1)
		}
	}
	server.Start()
	c.Cleanup(server.Close)
	addr := strings.TrimPrefix(server.URL, "http://")
	workers, ctx := Native(addr), context.Background()
	for at, op := range []string{"look", "load", "look", "look"} {
		_, err := workers.Order(ctx, &wire.Order{Worker: "w1", Addr: addr, Op: op, Seq: 7})
		c.Assert(err, qt.IsNil)
		c.Check(conns.Load(), qt.Equals, int64(min(at+1, 2)), qt.Commentf("%s, call %d", op, at))
	}
	c.Check(orders.Load(), qt.Equals, int64(1))
	for range 2 {
		_, err := workers.List(ctx)
		c.Assert(err, qt.IsNil)
	}
	c.Check([]int64{lists.Load(), conns.Load()}, qt.DeepEquals, []int64{2, 4})
	bad.Store(true)
	_, err := workers.Order(ctx, &wire.Order{Worker: "w1", Addr: addr, Op: "load", Seq: 8})
	c.Check(err, qt.IsNotNil)
	_, err = workers.List(ctx)
	c.Check(err, qt.IsNotNil)
	c.Check([]int64{orders.Load(), lists.Load(), away.Load()}, qt.DeepEquals, []int64{2, 3, 0})
}
