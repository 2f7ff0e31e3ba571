package settings

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// drained is a clients' side on loopback whose handler waits to be let on.
type drained struct {
	addr   string
	came   chan struct{}
	let    chan struct{}
	leave  context.CancelFunc
	served chan error
	// goes is closed when the side tells that nothing is to be handed on any more.
	goes chan struct{}
}

func drain(c *qt.C, notice time.Duration) *drained {
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	d := &drained{addr: plain.Addr().String(), came: make(chan struct{}, 16), let: make(chan struct{}, 16), served: make(chan error, 1), goes: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	d.leave = cancel
	c.Cleanup(cancel)
	side := &Clients{Drain: Drain{Notice: notice, Cutoff: 19 * time.Second, End: 20 * time.Second}, Head: 5 * time.Second, Idle: time.Minute, HeadBytes: 1 << 14, Leave: func() { close(d.goes) },
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			d.came <- struct{}{}
			<-d.let
			_, _ = w.Write([]byte("whole"))
		})}
	go func() { d.served <- side.serve(ctx, plain) }()
	return d
}

type client struct {
	net.Conn
	answers *bufio.Reader
}

func (d *drained) call(c *qt.C) *client {
	conn, err := net.Dial("tcp", d.addr)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	return &client{Conn: conn, answers: bufio.NewReader(conn)}
}

func (one *client) ask(c *qt.C) {
	_, err := fmt.Fprint(one, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	c.Assert(err, qt.IsNil)
}

func (one *client) answer(c *qt.C) *http.Response {
	answer, err := http.ReadResponse(one.answers, nil)
	c.Assert(err, qt.IsNil)
	body := make([]byte, 5)
	_, err = answer.Body.Read(body)
	c.Assert(string(body), qt.Equals, "whole", qt.Commentf("%v", err))
	return answer
}

// What was read gets its answer, idle connections are closed, and the end comes
// with the last answer rather than with the drain.
func TestDrainLetsWorkFinish(t *testing.T) {
	c := qt.New(t)
	d := drain(c, 0)
	idle, busy := d.call(c), d.call(c)
	d.let <- struct{}{}
	idle.ask(c)
	c.Check(idle.answer(c).Close, qt.IsFalse, qt.Commentf("nobody leaves yet"))
	<-d.came
	busy.ask(c)
	<-d.came
	d.leave()
	_, err := idle.answers.ReadByte()
	c.Check(err, qt.IsNotNil, qt.Commentf("the idle connection ends"))
	select {
	case err := <-d.served:
		c.Fatalf("it ended with a request in work: %v", err)
	default:
	}
	d.let <- struct{}{}
	busy.answer(c)
	c.Check(<-d.served, qt.IsNil)
}

// New clients are served while not everybody has noticed, and are told to close.
func TestDrainGivesNotice(t *testing.T) {
	c := qt.New(t)
	d := drain(c, 300*time.Millisecond)
	d.leave()
	for told := false; !told; {
		one := d.call(c)
		one.ask(c)
		<-d.came
		d.let <- struct{}{}
		told = one.answer(c).Close
	}
	c.Check(<-d.served, qt.IsNil)
	_, err := net.Dial("tcp", d.addr)
	c.Check(err, qt.IsNotNil)
}

// fakeConn has bytes to read at any time, and notes deadlines.
type fakeConn struct {
	net.Conn
	past bool
}

func (f *fakeConn) Read([]byte) (int, error) { return 1, nil }
func (f *fakeConn) SetReadDeadline(at time.Time) error {
	f.past = !at.IsZero()
	return nil
}

// A connection that was just to be closed, but from which a request was read,
// goes on; a busy one is never closed.
func TestReadWinsOverClose(t *testing.T) {
	c := qt.New(t)
	plain := &fakeConn{}
	one := &conn{Conn: plain, conns: &conns{}}
	one.close(connFresh)
	c.Check(plain.past, qt.IsTrue)
	_, _ = one.Read(nil)
	c.Check(plain.past, qt.IsFalse)
	c.Check(one.state.Load(), qt.Equals, connBusy)
	one.close(connIdle)
	c.Check(plain.past, qt.IsFalse)
	(&conns{}).state(one, http.StateIdle)
	one.close(connIdle)
	c.Check(plain.past, qt.IsTrue)
}

// What cannot be ended gets an answer before the drain is over: a client whose
// request was read whole is never left with a closed connection.
func TestDrainAnswersWhatIsLeft(t *testing.T) {
	c := qt.New(t)
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	came, goes := make(chan struct{}), make(chan struct{})
	side := &Clients{Drain: Drain{Cutoff: time.Second - time.Second/16, End: time.Second}, Head: 5 * time.Second, Idle: time.Minute, HeadBytes: 1 << 14, Leave: func() { close(goes) },
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			came <- struct{}{}
			<-r.Context().Done()
			w.WriteHeader(http.StatusServiceUnavailable)
		})}
	served := make(chan error, 1)
	go func() { served <- side.serve(ctx, plain) }()
	one := (&drained{addr: plain.Addr().String()}).call(c)
	one.ask(c)
	<-came
	leave()
	answer, err := http.ReadResponse(one.answers, nil)
	c.Assert(err, qt.IsNil)
	c.Check(answer.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Check(<-served, qt.IsNil)
	<-goes
}

// Whoever hands requests on hears of the end of the notice: a connection that was
// busy then may bring another request at any later time, and that one cannot wait
// for its end here.
func TestLeaveComesWithTheNotice(t *testing.T) {
	c := qt.New(t)
	d := drain(c, 100*time.Millisecond)
	one := d.call(c)
	one.ask(c)
	<-d.came
	d.leave()
	select {
	case <-d.goes:
	case <-time.After(10 * time.Second):
		c.Errorf("requests are still handed on long after the notice")
	}
	d.let <- struct{}{}
	one.answer(c)
	c.Check(<-d.served, qt.IsNil)
}
