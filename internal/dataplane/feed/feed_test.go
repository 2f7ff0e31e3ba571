package feed

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"applequay/internal/configuration"
	"applequay/internal/controlplane/idempotency"
	"applequay/internal/dataplane/pipeline"
	"applequay/internal/dataplane/protocol"
	"applequay/internal/dataplane/upstream"
	"applequay/internal/transport"
	"applequay/internal/transport/wire"
)

// The wishes of two lives of a proxy have other numbers, so that the agent's word
// on one of the first is none on one of the second.
func TestWishesOfTwoLives(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	seen := map[int64]bool{}
	for range 4 {
		p := New("127.0.0.1:1", transport.New(ctx, "p1", "127.0.0.1:2", "127.0.0.1:2", time.Second, transport.FrontDepth), configuration.Native)
		p.book.Hear(1, &wire.Contact{KeyMs: 60000, AnswerMs: 800, GraceMs: 6400})
		out := p.book.Take(1, 1, idempotency.Call{Key: "k", Choice: "b1@10.0.0.1:1", Open: func(string) bool { return true }})
		c.Assert(out.Sends, qt.HasLen, 1)
		op := out.Sends[0].Body.(*wire.TicketWish).Op
		c.Check(seen[op], qt.IsFalse)
		seen[op] = true
	}
}

// While nothing waits, what a proxy has to say goes with the answers to its agent's
// words of contact, and takes no batch of its own.
func TestRestingProxySpeaksInAnswers(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	serve := func(handler http.Handler) (addr string, posts *atomic.Int64) {
		posts = &atomic.Int64{}
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			posts.Add(1)
			handler.ServeHTTP(w, r)
		}))
		c.Cleanup(server.Close)
		return server.Listener.Addr().String(), posts
	}
	reports := make(chan wire.Record, 64)
	router := http.NewServeMux()
	agentAddr, agentPosts := serve(router)
	agent := transport.New(ctx, "l1", agentAddr, "127.0.0.1:0", 8*time.Second, transport.FrontDepth)
	router.Handle("/trunk", agent.Handler(func(one transport.Arrived) bool {
		reports <- one.Body
		one.Heard()
		return true
	}))
	proxyRouter := http.NewServeMux()
	proxyAddr, _ := serve(proxyRouter)
	messages := transport.New(ctx, "s1", proxyAddr, "127.0.0.1:0", 8*time.Second, transport.FrontDepth)
	p := New(agentAddr, messages, configuration.Native)
	p.Serve(pipeline.New(pipeline.Limits{}, upstream.New(time.Second), p, protocol.Own{}, time.Now()))
	proxyRouter.Handle("/trunk", messages.Handler(p.Deliver))
	go func() { _ = p.Run(ctx) }()
	<-time.After(2 * restEvery)
	began, before := agentPosts.Load(), len(reports)
	for range 6 {
		agent.Send(proxyAddr, wire.KindContact, &wire.Contact{KeyMs: 60000, AnswerMs: 800, GraceMs: 6400})
		<-time.After(restEvery - slack)
	}
	c.Check(len(reports)-before >= 4, qt.IsTrue, qt.Commentf("%d messages", len(reports)-before))
	c.Check(agentPosts.Load()-began <= 1, qt.IsTrue, qt.Commentf("%d batches", agentPosts.Load()-began))
}
