package settings

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// echo is a clients' side that answers at once, or waits to be let on where a
// path says so.
func echo(c *qt.C, side *Clients) *drained {
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	d := &drained{addr: plain.Addr().String(), came: make(chan struct{}, 16), let: make(chan struct{}, 16), served: make(chan error, 1)}
	ctx, cancel := context.WithCancel(context.Background())
	d.leave = cancel
	c.Cleanup(cancel)
	side.Drain, side.Head, side.HeadBytes = Drain{Cutoff: 19 * time.Second, End: 20 * time.Second}, 5*time.Second, 1<<14
	side.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/waits" {
			d.came <- struct{}{}
			select {
			case <-d.let:
			case <-r.Context().Done():
				return
			}
		}
		_, _ = w.Write([]byte("whole"))
	})
	go func() { d.served <- side.serve(ctx, plain) }()
	return d
}

// ends tells whether a connection is closed before long.
func (one *client) ends(c *qt.C, within time.Duration) bool {
	c.Assert(one.SetReadDeadline(time.Now().Add(within)), qt.IsNil)
	_, err := one.answers.ReadByte()
	c.Assert(err, qt.IsNotNil)
	late, ok := err.(net.Error)
	return !ok || !late.Timeout()
}

// waitForIdle waits until so many connections rest: a client has its answer before
// the server says that the connection rests, and only what rests makes room.
func (s *Clients) waitForIdle(c *qt.C, count int) {
	for until := time.Now().Add(20 * time.Second); ; {
		idle := 0
		s.conns.open.Range(func(key, _ any) bool {
			if key.(*conn).state.Load() == connIdle {
				idle++
			}
			return true
		})
		if idle == count {
			return
		}
		c.Assert(time.Now().Before(until), qt.IsTrue, qt.Commentf("%d connections rest, not %d", idle, count))
		runtime.Gosched()
	}
}

// Of clients' connections there are never more than may be: the one that rested
// longest makes room, and where none rests the newcomer is closed unread.
func TestConnectionsAreBounded(t *testing.T) {
	c := qt.New(t)
	side := &Clients{Idle: time.Minute, Most: 2}
	d := echo(c, side)
	oldest, newer := d.call(c), d.call(c)
	for at, one := range []*client{oldest, newer} {
		one.ask(c)
		one.answer(c)
		side.waitForIdle(c, at+1)
	}
	third := d.call(c)
	third.ask(c)
	third.answer(c)
	c.Check(oldest.ends(c, 5*time.Second), qt.IsTrue)
	for _, one := range []*client{newer, third} {
		_, err := fmt.Fprint(one, "GET /waits HTTP/1.1\r\nHost: x\r\n\r\n")
		c.Assert(err, qt.IsNil)
		select {
		case <-d.came:
		case <-time.After(20 * time.Second):
			c.Fatal("a request on a connection that was to stay does not arrive")
		}
	}
	fourth := d.call(c)
	c.Check(fourth.ends(c, 5*time.Second), qt.IsTrue, qt.Commentf("all are at work"))
	d.let <- struct{}{}
	d.let <- struct{}{}
	newer.answer(c)
	third.answer(c)
}

// A connection rests for as long as the policy in force says, also where that
// changed while it rested.
func TestIdleTimeFollowsThePolicy(t *testing.T) {
	c := qt.New(t)
	var told atomic.Int64
	told.Store(int64(100 * time.Millisecond))
	d := echo(c, &Clients{Idle: time.Minute, IdleTold: func() time.Duration { return time.Duration(told.Load()) }})
	short := d.call(c)
	short.ask(c)
	short.answer(c)
	began := time.Now()
	c.Check(short.ends(c, 10*time.Second), qt.IsTrue)
	c.Check(time.Since(began) >= 80*time.Millisecond, qt.IsTrue, qt.Commentf("four fifths of it are callers' to use"))
	longer := d.call(c)
	longer.ask(c)
	longer.answer(c)
	told.Store(int64(time.Minute))
	c.Check(longer.ends(c, 400*time.Millisecond), qt.IsFalse)
	longer.ask(c)
	c.Assert(longer.SetReadDeadline(time.Time{}), qt.IsNil)
	longer.answer(c)
	told.Store(0)
	c.Check(longer.ends(c, 300*time.Millisecond), qt.IsFalse, qt.Commentf("the settings hold where the policy says nothing"))
}

// Two requests in one packet are two requests: the second is at work, not idle,
// though no byte of it is read after the first was answered.
func TestPipelinedRequestIsAtWork(t *testing.T) {
	c := qt.New(t)
	d := echo(c, &Clients{Idle: time.Minute})
	one := d.call(c)
	_, err := fmt.Fprint(one, "GET / HTTP/1.1\r\nHost: x\r\n\r\nGET /waits HTTP/1.1\r\nHost: x\r\n\r\n")
	c.Assert(err, qt.IsNil)
	one.answer(c)
	<-d.came
	d.leave()
	select {
	case ended := <-d.served:
		c.Fatalf("it ended with a request in work: %v", ended)
	case <-time.After(200 * time.Millisecond):
	}
	d.let <- struct{}{}
	answer, err := http.ReadResponse(bufio.NewReader(one.answers), nil)
	c.Assert(err, qt.IsNil)
	body, err := io.ReadAll(answer.Body)
	c.Check(string(body), qt.Equals, "whole", qt.Commentf("%v", err))
	c.Check(<-d.served, qt.IsNil)
}
