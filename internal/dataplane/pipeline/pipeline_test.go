package pipeline

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fastjson"

	"applequay/internal/configuration"
	"applequay/internal/controlplane/idempotency"
	"applequay/internal/dataplane/protocol"
	"applequay/internal/dataplane/upstream"
	"applequay/internal/routing"
	"applequay/internal/transport/wire"
)

// book is a ledger with the real machine of tickets, alone on its front.
type book struct {
	tickets *idempotency.Book
	holds   chan int64
}

func (b *book) Hold(_ string, _, change int64) { b.holds <- change }
func (b *book) Work(string, int64, int64)      {}
func (b *book) Ask(string, int64)              {}
func (b *book) Come(string, int64, int64)      {}
func (b *book) Ticket(_ context.Context, call idempotency.Call) idempotency.Decision {
	out := b.tickets.Take(1, 1, call)
	for len(out.Answers) == 0 {
		wish := out.Sends[0].Body.(*wire.TicketWish)
		out = b.tickets.Hear(1, &wire.TicketDone{Op: wish.Op, Ok: true})
	}
	return out.Answers[0].Body.(idempotency.Decision)
}

type bench struct {
	c      *qt.C
	proxy  *Proxy
	ledger *book
	news   routing.News
}

// busyMachine is how long a connection may take; no test here is about that.
const busyMachine = 5 * time.Second

func newBench(c *qt.C) *bench {
	parsed, faults, _ := configuration.Parse([]byte(`{"kinds":[{"name":"till","weight":10},{"name":"hint","weight":1}],
		"models":[{"name":"m1","pool":"llm","size_mb":1},{"name":"m2","pool":"llm","size_mb":1}],"adapters":[{"name":"a1","model":"m1","size_mb":1}],
		"services":[{"name":"hints","type":"model","pool":"llm"},{"name":"booking","type":"app","pool":"app"}],
		"routes":[{"path":"/v1/hints","service":"hints","kind":"hint","deadline_ms":3000},{"path":"/v1/book","service":"booking","kind":"till","deadline_ms":3000}]}`), 1)
	c.Assert(faults, qt.HasLen, 0)
	b := &bench{c: c, ledger: &book{tickets: idempotency.New(1, "agent", 0), holds: make(chan int64, 64)}}
	b.ledger.tickets.Hear(1, &wire.Contact{KeyMs: 60000, AnswerMs: 800, GraceMs: 6400})
	limits := LimitsFor(8, 1024, 400*time.Millisecond)
	b.proxy = New(limits, upstream.New(busyMachine), b.ledger, protocol.Own{}, time.Now())
	b.news = routing.News{Policy: parsed, Rooms: map[string]wire.WorkerNews{}, Refused: map[string]int64{}}
	b.put()
	return b
}

func (b *bench) put() { b.proxy.Put(b.proxy.Table().After(b.news)) }

// server adds a back end; items make it a model worker.
func (b *bench) server(name string, handler http.HandlerFunc, items ...string) *httptest.Server {
	back := httptest.NewServer(handler)
	b.c.Cleanup(back.Close)
	b.list(name, back.Listener.Addr().String(), items...)
	return back
}

func (b *bench) list(name, addr string, items ...string) {
	pool := "app"
	if len(items) > 0 {
		pool = "llm"
	}
	b.news.Workers = append(b.news.Workers, wire.Worker{Name: name, Addr: addr, Pool: pool})
	room := wire.WorkerNews{Worker: name, Pool: pool}
	for _, item := range items {
		room.Loaded = append(room.Loaded, wire.Loaded{Item: item, Ready: true})
	}
	b.news.Rooms[name] = room
	b.put()
}

// nobody is an address at which nothing listens.
func (b *bench) nobody() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	b.c.Assert(err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func (b *bench) ask(path, body string, headers ...string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	for at := 0; at < len(headers); at += 2 {
		request.Header.Set(headers[at], headers[at+1])
	}
	answer := httptest.NewRecorder()
	b.proxy.ServeHTTP(answer, request)
	return answer
}

func ran(answer *httptest.ResponseRecorder) string {
	return string(fastjson.GetBytes(answer.Body.Bytes(), "ran"))
}

func pieces(run string, numbers ...int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		for _, number := range numbers {
			if number < 0 {
				_, _ = fmt.Fprintf(w, `{"run":%q,"end":true,"pieces":%d}`+"\n", run, -number)
				continue
			}
			_, _ = fmt.Fprintf(w, `{"run":%q,"piece":%d,"text":"t"}`+"\n", run, number)
		}
	}
}

func TestAnswersOfTheProxy(t *testing.T) {
	c := qt.New(t)
	cases := []struct {
		name, path, body string
		headers          []string
		status           int
	}{
		{"no route", "/v1/other", `{}`, nil, 404},
		{"a route's path and more", "/v1/hints/more", `{}`, nil, 404},
		{"body too large", "/v1/book", strings.Repeat("x", 2000), nil, 413},
		{"not JSON", "/v1/hints", `{`, nil, 400},
		{"no model named", "/v1/hints", `{}`, nil, 422},
		{"no such model", "/v1/hints", `{"model":"m9"}`, nil, 404},
		{"an adapter of another model", "/v1/hints", `{"model":"m2","adapter":"a1"}`, nil, 404},
		{"an adapter as a model", "/v1/hints", `{"model":"a1"}`, nil, 404},
		{"bad deadline", "/v1/book", `{}`, []string{protocol.HeaderDeadline, "soon"}, 400},
		{"a key that is too long", "/v1/book", `{}`, []string{protocol.HeaderKey, strings.Repeat("k", 257)}, 400},
		{"a key with control characters", "/v1/book", `{}`, []string{protocol.HeaderKey, "k\x07"}, 400},
		{"a key that is no text", "/v1/book", `{}`, []string{protocol.HeaderKey, "k\xff"}, 400},
		{"an empty key", "/v1/book", `{}`, []string{protocol.HeaderKey, ""}, 400},
		{"bad position", "/v1/hints", `{}`, []string{protocol.HeaderRun, "w1:r", protocol.HeaderFrom, "-1"}, 400},
		{"a run of nobody", "/v1/hints", `{}`, []string{protocol.HeaderRun, "w7:r", protocol.HeaderFrom, "1"}, 410},
		{"no server at all", "/v1/book", `{}`, nil, 503},
		{"a model that does not come up", "/v1/hints", `{"model":"m1"}`, nil, 503},
	}
	for _, one := range cases {
		c.Run(one.name, func(c *qt.C) {
			answer := newBench(c).ask(one.path, one.body, one.headers...)
			c.Check(answer.Code, qt.Equals, one.status)
			c.Check(ran(answer), qt.Equals, "no")
			c.Check(answer.Header().Get("Retry-After") != "", qt.Equals, one.status == 503)
		})
	}
}

// What is not a model gets one attempt; ran is no only if no byte was written.
func TestOneAttempt(t *testing.T) {
	c := qt.New(t)
	breaks := func(count *atomic.Int64) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			count.Add(1)
			_, _ = io.Copy(io.Discard, r.Body)
			conn, _, err := w.(http.Hijacker).Hijack()
			if err == nil {
				_ = conn.Close()
			}
		}
	}
	for _, key := range []string{"", "k1"} {
		c.Run("breaks off, key "+key, func(c *qt.C) {
			b, count := newBench(c), atomic.Int64{}
			b.server("b1", breaks(&count))
			b.server("b2", breaks(&count))
			headers := []string{"X-Other", "1"}
			if key != "" {
				headers = []string{protocol.HeaderKey, key}
			}
			answer := b.ask("/v1/book", `{}`, headers...)
			c.Check(answer.Code, qt.Equals, 502)
			c.Check(ran(answer), qt.Equals, "unknown")
			c.Check(count.Load(), qt.Equals, int64(1))
		})
	}
	c.Run("cut in the middle of the answer", func(c *qt.C) {
		b := newBench(c)
		b.server("b1", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte(`{"half":`))
		})
		answer := b.ask("/v1/book", `{}`)
		c.Check(answer.Code, qt.Equals, 502)
		c.Check(ran(answer), qt.Equals, "unknown")
	})
	c.Run("nobody listens: another server is tried, within the budget", func(c *qt.C) {
		b := newBench(c)
		fine := func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{}`)) }
		b.server("b2", fine)
		for range 10 {
			c.Assert(b.ask("/v1/book", `{}`).Code, qt.Equals, 200)
		}
		b.list("b1", b.nobody())
		refused := 0
		for range 10 {
			if answer := b.ask("/v1/book", `{}`); answer.Code != 200 {
				refused++
				c.Check(ran(answer), qt.Equals, "no")
			}
		}
		budget := b.proxy.Table().Budgets["booking"]
		c.Check(budget.Retries.Load() <= budget.Normal.Load()/5, qt.IsTrue)
		c.Check(refused < 10, qt.IsTrue)
	})
}

// A key sticks to its server, on which it may be tried again only while no
// byte was written; it never goes to another, and not to one that took its place.
func TestKeysStick(t *testing.T) {
	c := qt.New(t)
	b := newBench(c)
	hits := map[string]int{}
	for _, name := range []string{"b1", "b2", "b3"} {
		b.server(name, func(w http.ResponseWriter, r *http.Request) {
			hits[name+r.Header.Get(protocol.HeaderKey)]++
			_, _ = w.Write([]byte(`{}`))
		})
	}
	for turn := range 30 {
		c.Assert(b.ask("/v1/book", `{}`, protocol.HeaderKey, fmt.Sprintf("k%d", turn%5)).Code, qt.Equals, 200)
	}
	c.Check(hits, qt.HasLen, 5, qt.Commentf("%v", hits))
	first := b.ask("/v1/book", `{}`, protocol.HeaderKey, "k0").Header().Get(protocol.HeaderServer)
	for at := range b.news.Workers {
		if b.news.Workers[at].Name == first {
			b.news.Workers[at].Leaving = true
		}
	}
	b.put()
	answer := b.ask("/v1/book", `{}`, protocol.HeaderKey, "k0")
	c.Check(answer.Code, qt.Equals, 502)
	c.Check(answer.Header().Get("Retry-After"), qt.Equals, "", qt.Commentf("it will not go better"))
	c.Check(ran(answer), qt.Equals, "unknown")
}
