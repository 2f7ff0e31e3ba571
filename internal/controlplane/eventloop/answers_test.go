package eventloop

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"applequay/internal/controlplane/controller"
	"applequay/internal/controlplane/journal"
	"applequay/internal/controlplane/register"
	"applequay/internal/transport"
	"applequay/internal/transport/wire"
)

// acceptor answers each Prepare once a record of it lasts, each Query at once, and
// notes what else it hears.
type acceptor struct{ heard chan wire.Record }

func (a *acceptor) Hear(_ int64, from string, body wire.Record) wire.Outputs {
	var out wire.Outputs
	switch told := body.(type) {
	case *wire.Prepare:
		out.Write(wire.KindAcceptorRecord, &wire.AcceptorRecord{Key: told.Key})
		out.After(from, wire.KindPromise, &wire.Promise{Op: told.Op, Ok: true})
	case *wire.Query:
		out.Send(from, wire.KindPromise, &wire.Promise{Op: told.Op, Query: true})
	default:
		a.heard <- body
	}
	return out
}

func (a *acceptor) Tick(int64, int64) wire.Outputs                   { return wire.Outputs{} }
func (a *acceptor) Change(int64, int64, register.Write) wire.Outputs { return wire.Outputs{} }
func (a *acceptor) Read(int64, int64, string) wire.Outputs           { return wire.Outputs{} }
func (a *acceptor) Learnt(int64, string, wire.Value) wire.Outputs    { return wire.Outputs{} }
func (a *acceptor) Leave(int64) wire.Outputs                         { return wire.Outputs{} }
func (a *acceptor) Addr(string) (string, bool)                       { return "", false }
func (a *acceptor) Page(int64) controller.Page                       { return controller.Page{} }
func (a *acceptor) Fact(string, string)                              {}
func (a *acceptor) DueMs(now int64) int64                            { return now + 1000 }

// started runs a loop with a journal behind a transport; posts counts its batches.
func started(c *qt.C, id string) (messages *transport.Transport, addr string, machine *acceptor, posts *atomic.Int64) {
	ctx, cancel := context.WithCancel(context.Background())
	c.Cleanup(cancel)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	addr = listener.Addr().String()
	folder, err := journal.OpenFolder(c.TempDir(), 0)
	c.Assert(err, qt.IsNil)
	kept, _, err := journal.Open(folder, id, controller.EmptySnapshot())
	c.Assert(err, qt.IsNil)
	machine, posts = &acceptor{heard: make(chan wire.Record, 8)}, &atomic.Int64{}
	messages = transport.New(ctx, id, addr, "127.0.0.1:0", 8*time.Second, transport.ControllerDepth)
	writer := NewWriter(kept, 1<<20, controller.EmptySnapshot)
	loop := New(Options{Machine: machine, Self: id, Messages: messages, Log: zap.NewNop(), Writer: writer, Epoch: time.Now(), Tick: 50 * time.Millisecond})
	go func() { _ = writer.Run(ctx) }()
	go func() { _ = loop.Run(ctx) }()
	handler := messages.Handler(loop.Deliver)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		posts.Add(1)
		handler.ServeHTTP(w, r)
	}))
	_ = server.Listener.Close()
	server.Listener = listener
	server.Start()
	c.Cleanup(server.Close)
	return messages, addr, machine, posts
}

// What a machine sends back goes with the answer to the batch that asked for it,
// also where it waits for the disk.
func TestAnswersWaitForTheDisk(t *testing.T) {
	for _, one := range []struct {
		name string
		kind wire.Kind
		body wire.Record
	}{
		{"at once", wire.KindQuery, &wire.Query{Op: 4, Key: "policy"}},
		{"once it lasts", wire.KindPrepare, &wire.Prepare{Op: 4, Key: "policy"}},
	} {
		t.Run(one.name, func(t *testing.T) {
			c := qt.New(t)
			messages, _, machine, posts := started(c, "c1~1")
			_, addr, _, otherPosts := started(c, "c2~1")
			messages.Send(addr, one.kind, one.body)
			select {
			case got := <-machine.heard:
				c.Check(got.(*wire.Promise).Op, qt.Equals, int64(4))
			case <-time.After(20 * time.Second):
				c.Fatal("no promise came")
			}
			c.Check(posts.Load(), qt.Equals, int64(0))
			c.Check(otherPosts.Load(), qt.Equals, int64(1))
		})
	}
}
