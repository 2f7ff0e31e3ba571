package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// scripted is a server that reads a request and does what the next step says.
type scripted struct {
	c     *qt.C
	addr  string
	conns atomic.Int64
	asked atomic.Int64
	lines *Client
	plug  Pool
}

const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// newScripted runs a step on each request; false ends the connection.
func newScripted(c *qt.C, step func(conn net.Conn, request *http.Request) bool) *scripted {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = listener.Close() })
	s := &scripted{c: c, addr: listener.Addr().String(), lines: New(time.Second)}
	c.Cleanup(s.plug.Shut)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go s.serve(conn, step)
		}
	}()
	return s
}

func (s *scripted) serve(conn net.Conn, step func(net.Conn, *http.Request) bool) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err = io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		s.asked.Add(1)
		if !step(conn, request) {
			return
		}
	}
}

// ask makes one attempt and reads its body, whole or not.
func (s *scripted) ask(ctx context.Context, attempt Attempt, read bool) (string, error) {
	attempt.Addr, attempt.Host = s.addr, "x"
	if attempt.Method == "" {
		attempt.Method, attempt.Target = http.MethodPost, "/a"
	}
	answer, err := s.lines.Do(ctx, &s.plug, &attempt)
	if err != nil {
		return "", err
	}
	defer answer.Close()
	if !read {
		return "", nil
	}
	body, err := io.ReadAll(answer.Reader)
	return fmt.Sprint(answer.StatusCode, " ", string(body)), err
}

func answers(text string) func(net.Conn, *http.Request) bool {
	return func(conn net.Conn, _ *http.Request) bool {
		_, err := io.WriteString(conn, text)
		return err == nil
	}
}

// A connection serves the next request only where the answer before was read
// whole and nothing stood behind it.
func TestReuse(t *testing.T) {
	c := qt.New(t)
	cases := []struct {
		name, answer string
		method       string
		read, kept   bool
	}{
		{"whole", whole, "POST", true, true},
		{"in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "POST", true, true},
		{"a length and chunks", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "POST", true, true},
		{"nothing in it", "HTTP/1.1 204 No Content\r\n\r\n", "POST", true, true},
		{"to HEAD, with the length of what it has not", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", "HEAD", true, true},
		{"the body unread", whole, "POST", false, false},
		{"the body still to come", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", "POST", false, false},
		{"a surplus answer with it", whole + whole, "POST", true, false},
		{"one byte too many", whole + "x", "POST", true, false},
		{"a body to HEAD", whole, "HEAD", true, false},
		{"the server closes", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", "POST", true, false},
		{"an older protocol", "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok", "POST", true, false},
		{"it keeps none", "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok", "POST", true, false},
	}
	for _, one := range cases {
		c.Run(one.name, func(c *qt.C) {
			s := newScripted(c, answers(one.answer))
			for range 3 {
				_, err := s.ask(context.Background(), Attempt{Method: one.method, Target: "/a"}, one.read)
				c.Assert(err, qt.IsNil)
			}
			want := int64(3)
			if one.kept {
				want = 1
			}
			c.Check(s.conns.Load(), qt.Equals, want)
			c.Check(s.plug.used.Load(), qt.Equals, int64(0))
		})
	}
}

// What comes on an idle connection belongs to no request: it is not used again.
func TestSurplusOnAnIdleConnection(t *testing.T) {
	c := qt.New(t)
	let, sent := make(chan bool), make(chan bool)
	s := newScripted(c, func(conn net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(conn, whole)
		<-let
		_, _ = io.WriteString(conn, strings.Replace(whole, "ok", "no", 1))
		sent <- true
		return true
	})
	for range 4 {
		got, err := s.ask(context.Background(), Attempt{}, true)
		c.Assert(err, qt.IsNil)
		c.Check(got, qt.Equals, "200 ok")
		let <- true
		<-sent
	}
	c.Check(s.conns.Load(), qt.Equals, int64(4))
}

// A request whose time ran out leaves no connection behind on which its answer
// could meet the next one.
func TestNoReuseAfterADeadline(t *testing.T) {
	c := qt.New(t)
	let := make(chan bool, 1)
	first := atomic.Bool{}
	s := newScripted(c, func(conn net.Conn, _ *http.Request) bool {
		if first.CompareAndSwap(false, true) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nla")
			<-let
			_, _ = io.WriteString(conn, "te")
			return true
		}
		_, _ = io.WriteString(conn, whole)
		return true
	})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := s.ask(ctx, Attempt{}, true)
	c.Assert(err, qt.IsNotNil)
	let <- true
	got, err := s.ask(context.Background(), Attempt{}, true)
	c.Assert(err, qt.IsNil)
	c.Check(got, qt.Equals, "200 ok")
	c.Check(s.conns.Load(), qt.Equals, int64(2))
	c.Check(s.asked.Load(), qt.Equals, int64(2), qt.Commentf("nothing is sent again by itself"))
}

// Heads that only say to wait are passed over; bytes that are no answer, a change
// of protocol that nobody asked for and heads without end are errors.
func TestHeads(t *testing.T) {
	c := qt.New(t)
	long := strings.Repeat("a", 2*mostHead)
	cases := []struct {
		name, answer, got string
	}{
		{"it says to wait", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + whole, "200 ok"},
		{"another protocol", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n" + whole, ""},
		{"no status", "HTTP/1.1 099 What\r\n\r\n" + whole, ""},
		{"no answer", "what is this\r\n\r\n" + whole, ""},
		{"a head without end", "HTTP/1.1 200 OK\r\nX: " + long, ""},
		{"one says to wait without end", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", mostHead/20), ""},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok!", ""},
	}
	for _, one := range cases {
		c.Run(one.name, func(c *qt.C) {
			s := newScripted(c, answers(one.answer))
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			got, err := s.ask(ctx, Attempt{}, true)
			c.Check(got, qt.Equals, one.got)
			c.Check(err == nil, qt.Equals, one.got != "")
			c.Check(ctx.Err(), qt.IsNil, qt.Commentf("it is known at once"))
			c.Check(errors.Is(err, ErrNotSent), qt.IsFalse)
		})
	}
}

// What must not leave late does not, also where the connection came about late.
func TestLateRequestsDoNotLeave(t *testing.T) {
	c := qt.New(t)
	s := newScripted(c, answers(whole))
	s.lines.dialer.Control = func(string, string, syscall.RawConn) error {
		<-time.After(60 * time.Millisecond)
		return nil
	}
	_, err := s.ask(context.Background(), Attempt{Fresh: true, Until: time.Now().Add(20 * time.Millisecond)}, true)
	c.Check(errors.Is(err, ErrNotSent), qt.IsTrue)
	c.Check(s.asked.Load(), qt.Equals, int64(0))
}

// A kept connection that is reset under a request is an error to whoever asked:
// nothing goes out again by itself.
func TestStale(t *testing.T) {
	c := qt.New(t)
	var answered atomic.Bool
	s := newScripted(c, func(conn net.Conn, _ *http.Request) bool {
		if answered.CompareAndSwap(false, true) {
			_, err := io.WriteString(conn, whole)
			return err == nil
		}
		_ = conn.(*net.TCPConn).SetLinger(0)
		return false
	})
	_, err := s.ask(context.Background(), Attempt{}, true)
	c.Assert(err, qt.IsNil)
	_, err = s.ask(context.Background(), Attempt{}, true)
	c.Check(errors.Is(err, ErrStale), qt.IsTrue, qt.Commentf("%v", err))
	c.Check(s.asked.Load(), qt.Equals, int64(2))
	c.Check(s.conns.Load(), qt.Equals, int64(1))
	_, err = s.ask(context.Background(), Attempt{Fresh: true}, true)
	c.Check(err, qt.IsNotNil)
	c.Check(errors.Is(err, ErrStale), qt.IsFalse, qt.Commentf("a new connection is no kept one"))
}
