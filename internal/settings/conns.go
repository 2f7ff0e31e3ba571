package settings

import (
	"errors"
	"net"
	"net/http"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"time"
)

// States of a client's connection. From the first byte of a request that was
// read until its answer is out, it is busy and nothing closes it.
const (
	connFresh int32 = iota
	connBusy
	connIdle
	connSetting // the deadline of its reads is being set to the past
	connClosing // no more is read
)

// freshFor is how long a new connection is waited for that sent nothing yet.
const freshFor = time.Second

// conns are the clients' open connections. Of most there are no more at a time,
// unless it is nought; idle is how long one may rest.
type conns struct {
	open  sync.Map // *conn to true
	count atomic.Int64
	most  int64
	idle  func() time.Duration
}

type conn struct {
	net.Conn
	conns *conns
	state atomic.Int32
	came  time.Time
	rests atomic.Int64 // since when, in ns of the monotonic clock after came
}

type listener struct {
	net.Listener
	conns *conns
}

// Accept notes the connection. One for which there is no room, though no other
// rests, is closed unread: its client may go elsewhere with anything.
//
//	conn, err := listener.Accept()
func (l *listener) Accept() (net.Conn, error) {
	for {
		plain, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if !l.conns.room() {
			_ = plain.Close()
			continue
		}
		one := &conn{Conn: plain, conns: l.conns, came: time.Now()}
		l.conns.open.Store(one, true)
		l.conns.count.Add(1)
		return one, nil
	}
}

// room makes room for one more connection: where there are as many as there may
// be, the one that rested longest ends.
func (s *conns) room() bool {
	if s.most == 0 || s.count.Load() < s.most {
		return true
	}
	now := time.Now()
	var longest *conn
	var rested time.Duration
	s.open.Range(func(key, _ any) bool {
		if one := key.(*conn); one.state.Load() == connIdle && (longest == nil || one.rested(now) > rested) {
			longest, rested = one, one.rested(now)
		}
		return true
	})
	return longest != nil && longest.close(connIdle)
}

// rested is how long a connection has been idle.
func (c *conn) rested(now time.Time) time.Duration {
	return now.Sub(c.came) - time.Duration(c.rests.Load())
}

// Read makes the connection busy with its first byte, even one that was about
// to be closed: what was read gets its answer. An idle one reads on while it may
// rest, by the bound in force now rather than when it began to.
//
//	n, err := conn.Read(buffer)
func (c *conn) Read(buffer []byte) (int, error) {
	for {
		n, err := c.Conn.Read(buffer)
		if n > 0 {
			c.begin()
		}
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !c.restsOn() {
			return n, err
		}
	}
}

// SetReadDeadline hears from the server, which knows no bound of idle
// connections, that one begins to rest.
//
//	err := conn.SetReadDeadline(time.Time{})
func (c *conn) SetReadDeadline(at time.Time) error {
	if at.IsZero() && c.state.Load() == connIdle && c.restsOn() {
		return nil
	}
	return c.Conn.SetReadDeadline(at)
}

// restsOn gives an idle connection what is left of its rest; false if nothing is
// or if it is not idle.
func (c *conn) restsOn() bool {
	left := c.conns.idle() - c.rested(time.Now())
	if left <= 0 || !c.state.CompareAndSwap(connIdle, connSetting) {
		return false
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(left))
	c.state.Store(connIdle)
	return true
}

func (c *conn) begin() {
	for {
		switch state := c.state.Load(); state {
		case connBusy:
			return
		case connSetting:
			runtime.Gosched()
		case connClosing:
			if c.state.CompareAndSwap(state, connBusy) {
				_ = c.Conn.SetReadDeadline(time.Time{})
				return
			}
		default:
			if c.state.CompareAndSwap(state, connBusy) {
				return
			}
		}
	}
}

// close lets no more be read; what was read already goes on.
func (c *conn) close(from int32) bool {
	if !c.state.CompareAndSwap(from, connSetting) {
		return false
	}
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	c.state.Store(connClosing)
	return true
}

// state hears from the server how its connections stand.
func (s *conns) state(plain net.Conn, now http.ConnState) {
	one, ok := plain.(*conn)
	if !ok {
		return
	}
	switch now {
	case http.StateActive:
		// The request may have come together with the one before: no byte of it
		// is read any more.
		one.begin()
	case http.StateIdle:
		one.rests.Store(int64(time.Since(one.came)))
		one.state.CompareAndSwap(connBusy, connIdle)
	case http.StateClosed, http.StateHijacked:
		if _, was := s.open.LoadAndDelete(one); was {
			s.count.Add(-1)
		}
	}
}

// quiet ends the connections on which nothing is in work and tells how many
// there still are.
func (s *conns) quiet(now time.Time) int64 {
	s.open.Range(func(key, _ any) bool {
		one := key.(*conn)
		switch state := one.state.Load(); {
		case state == connIdle, state == connClosing, state == connFresh && now.Sub(one.came) > freshFor:
			one.close(state)
		}
		return true
	})
	return s.count.Load()
}
