package settings

import (
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"time"
)

// States of a caller's connection. From the first byte of a request that was
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

// conns are the callers' open connections.
type conns struct {
	open  sync.Map // *conn to true
	count atomic.Int64
}

type conn struct {
	net.Conn
	state atomic.Int32
	came  time.Time
}

type listener struct {
	net.Listener
	conns *conns
}

// Accept notes the connection.
//
//	conn, err := listener.Accept()
func (l *listener) Accept() (net.Conn, error) {
	plain, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	one := &conn{Conn: plain, came: time.Now()}
	l.conns.open.Store(one, true)
	l.conns.count.Add(1)
	return one, nil
}

// Read makes the connection busy with its first byte, even one that was about
// to be closed: what was read gets its answer.
//
//	n, err := conn.Read(buffer)
func (c *conn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n > 0 {
		c.begin()
	}
	return n, err
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
func (c *conn) close(from int32) {
	if c.state.CompareAndSwap(from, connSetting) {
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
		c.state.Store(connClosing)
	}
}

// state hears from the server how its connections stand.
func (s *conns) state(plain net.Conn, now http.ConnState) {
	one, ok := plain.(*conn)
	if !ok {
		return
	}
	switch now {
	case http.StateIdle:
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
