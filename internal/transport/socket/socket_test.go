package socket

import (
	"net"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A connection has the option set, before it comes about.
func TestSilentConnectionsAreGivenUp(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = listener.Close() })
	conn, err := Dialer(time.Second, 2500*time.Millisecond).Dial("tcp", listener.Addr().String())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	raw, err := conn.(*net.TCPConn).SyscallConn()
	c.Assert(err, qt.IsNil)
	var got int
	c.Assert(raw.Control(func(fd uintptr) {
		got, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, userTimeout)
	}), qt.IsNil)
	c.Assert(err, qt.IsNil)
	c.Check(got, qt.Equals, 2500)
}
