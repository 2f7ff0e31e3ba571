package transport

import (
	"bufio"
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

	"applequay/internal/transport/wire"
)

// other is a node to which a trunk sends; its answers are what a test says.
type other struct {
	addr    string
	batches atomic.Int64
	conns   atomic.Int64
}

func newOther(c *qt.C, answer http.HandlerFunc) *other {
	o := &other{}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		o.batches.Add(1)
		answer(w, r)
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			o.conns.Add(1)
		}
	}
	server.Start()
	c.Cleanup(server.Close)
	o.addr = server.Listener.Addr().String()
	return o
}

func taken(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }

func newTransport(c *qt.C) *Transport {
	ctx, cancel := context.WithCancel(context.Background())
	c.Cleanup(cancel)
	return New(ctx, "n1~7f", "127.0.0.1:1", "127.0.0.1:0", 2*time.Second, FrontDepth)
}

// A batch leaves once: not again where its kept connection breaks under it, and
// not to another address that an answer names. It counts as lost then.
func TestABatchLeavesOnce(t *testing.T) {
	c := qt.New(t)
	elsewhere := newOther(c, taken)
	cases := []struct {
		name   string
		answer http.HandlerFunc
	}{
		{"taken", taken},
		{"another address", func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "http://"+elsewhere.addr+"/trunk", http.StatusTemporaryRedirect)
		}},
		{"reset", func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := w.(http.Hijacker).Hijack()
			c.Check(err, qt.IsNil)
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}},
		{"another program", http.NotFound},
	}
	for at, one := range cases {
		c.Run(one.name, func(c *qt.C) {
			messages := newTransport(c)
			var bad atomic.Bool
			o := newOther(c, func(w http.ResponseWriter, r *http.Request) {
				if bad.Load() {
					one.answer(w, r)
					return
				}
				taken(w, r)
			})
			batch := &wire.Messages{From: "n1~7f", Messages: []wire.Message{{Kind: int64(wire.KindQuery), Body: wire.Encode(&wire.Query{Op: 1})}}}
			c.Assert(messages.post(o.addr, batch), qt.IsNil)
			bad.Store(true)
			err := messages.post(o.addr, batch)
			c.Check(err == nil, qt.Equals, at == 0, qt.Commentf("%v", err))
			c.Check(o.batches.Load(), qt.Equals, int64(2))
			c.Check(o.conns.Load(), qt.Equals, int64(1), qt.Commentf("the second went on the kept connection"))
			c.Check(elsewhere.batches.Load(), qt.Equals, int64(0))
		})
	}
}

// A batch that stops in the middle is waited for no longer than its sender would
// take; on a connection whose batches come whole the next one has its own time.
func TestBatchesThatStop(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	c.Cleanup(cancel)
	messages := New(ctx, "n1~7f", "127.0.0.1:1", "127.0.0.1:0", 100*time.Millisecond, FrontDepth)
	server := httptest.NewServer(messages.Handler(func(Arrived) bool { return true }))
	c.Cleanup(server.Close)
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	c.Assert(conn.SetDeadline(time.Now().Add(30*time.Second)), qt.IsNil)
	answers := bufio.NewReader(conn)
	batch := wire.Encode(&wire.Messages{From: "n2~1"})
	for range 2 {
		_, err = fmt.Fprintf(conn, "POST /trunk HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(batch), batch)
		c.Assert(err, qt.IsNil)
		answer, failed := http.ReadResponse(answers, nil)
		c.Assert(failed, qt.IsNil)
		c.Check(answer.StatusCode, qt.Equals, http.StatusNoContent)
		<-time.After(150 * time.Millisecond)
	}
	_, err = fmt.Fprintf(conn, "POST /trunk HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nhalf")
	c.Assert(err, qt.IsNil)
	answer, err := http.ReadResponse(answers, nil)
	c.Assert(err, qt.IsNil)
	c.Check(answer.StatusCode, qt.Equals, http.StatusRequestEntityTooLarge)
}

// A batch that is no whole one is refused and nothing of it delivered; of a whole
// one, messages that cannot be read are left out.
func TestBadBatches(t *testing.T) {
	c := qt.New(t)
	query := wire.Message{Kind: int64(wire.KindQuery), Body: wire.Encode(&wire.Query{Op: 1, Key: "policy"})}
	whole := string(wire.Encode(&wire.Messages{From: "n2~1", Messages: []wire.Message{query, {Kind: 9999, Body: []byte("?")}, {Kind: query.Kind, Body: query.Body[:3]}, query}}))
	cases := []struct {
		name, body string
		status     int
		heard      int
	}{
		{"whole", whole, http.StatusNoContent, 2},
		{"cut", whole[:len(whole)-1], http.StatusBadRequest, 0},
		{"more than whole", whole + "x", http.StatusBadRequest, 0},
		{"nothing", "", http.StatusBadRequest, 0},
		{"a count of 2^40", "\x00\x00\x80\x80\x80\x80\x80\x80\x01", http.StatusBadRequest, 0},
	}
	for _, one := range cases {
		c.Run(one.name, func(c *qt.C) {
			heard := 0
			handler := newTransport(c).Handler(func(message Arrived) bool {
				heard++
				c.Check(message.Body, qt.DeepEquals, wire.Record(&wire.Query{Op: 1, Key: "policy"}))
				return true
			})
			answer := httptest.NewRecorder()
			handler.ServeHTTP(answer, httptest.NewRequest(http.MethodPost, "/trunk", strings.NewReader(one.body)))
			c.Check(answer.Code, qt.Equals, one.status)
			c.Check(heard, qt.Equals, one.heard)
		})
	}
}

// node is a transport that listens; handle says what its receiver does.
type node struct {
	*Transport
	posts atomic.Int64
	heard chan Arrived
}

func newNode(c *qt.C, id string, handle func(n *node, one Arrived)) *node {
	ctx, cancel := context.WithCancel(context.Background())
	c.Cleanup(cancel)
	n := &node{heard: make(chan Arrived, 64)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	addr := listener.Addr().String()
	n.Transport = New(ctx, id, addr, "127.0.0.1:0", 2*time.Second, FrontDepth)
	inner := n.Handler(func(one Arrived) bool {
		n.heard <- one
		go handle(n, one)
		return true
	})
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.posts.Add(1)
		inner.ServeHTTP(w, r)
	}))
	_ = server.Listener.Close()
	server.Listener = listener
	server.Start()
	c.Cleanup(server.Close)
	return n
}

// What a receiver sends back while it handles a batch goes with the answer; what is
// longer than an answer holds, or comes after the answer went, goes by itself.
func TestAnswersCarryWhatIsSentBack(t *testing.T) {
	c := qt.New(t)
	back := func(size int) wire.Record { return &wire.Chosen{Key: "policy", Value: make([]byte, size)} }
	cases := []struct {
		name   string
		handle func(n *node, one Arrived)
		posts  int64
	}{
		{"at once", func(n *node, one Arrived) { n.Send(one.Addr, wire.KindChosen, back(10)); one.Heard() }, 0},
		{"twice heard", func(n *node, one Arrived) { n.Send(one.Addr, wire.KindChosen, back(10)); one.Heard(); one.Heard() }, 0},
		{"long", func(n *node, one Arrived) { n.Send(one.Addr, wire.KindChosen, back(answerBytes)); one.Heard() }, 1},
		{"after it was handled", func(n *node, one Arrived) {
			one.Heard()
			<-time.After(50 * time.Millisecond)
			n.Send(one.Addr, wire.KindChosen, back(10))
		}, 1},
		{"never handled", func(n *node, one Arrived) { <-time.After(time.Second); n.Send(one.Addr, wire.KindChosen, back(10)) }, 1},
		{"elsewhere", func(n *node, one Arrived) {
			n.Send("127.0.0.1:1", wire.KindChosen, back(10))
			n.Send(one.Addr, wire.KindChosen, back(10))
			one.Heard()
		}, 0},
	}
	for _, one := range cases {
		c.Run(one.name, func(c *qt.C) {
			asker := newNode(c, "n1~1", func(_ *node, one Arrived) { one.Heard() })
			other := newNode(c, "n2~1", one.handle)
			asker.Send(other.addr, wire.KindQuery, &wire.Query{Op: 1, Key: "policy"})
			select {
			case got := <-asker.heard:
				c.Check(got.From, qt.Equals, "n2~1")
				c.Check(got.Addr, qt.Equals, other.addr)
				c.Check(got.Body.(*wire.Chosen).Key, qt.Equals, "policy")
			case <-time.After(20 * time.Second):
				c.Fatal("nothing came back")
			}
			c.Check(asker.posts.Load(), qt.Equals, one.posts)
			c.Check(other.posts.Load(), qt.Equals, int64(1))
		})
	}
}
