// Package socket makes connections that notice when the other side is gone
// without a word: a machine without power, or one behind a cut.
package socket

import (
	"net"
	"syscall"
	"time"
)

// userTimeout is TCP_USER_TIMEOUT, after which unacknowledged bytes end a
// connection.
const userTimeout = 0x12

// probes of a silent connection before it is given up.
const probes = 2

// Dialer makes connections within wait, and gives up one on which nothing was
// acknowledged for silence.
//
//	dialer := socket.Dialer(800*time.Millisecond, 3200*time.Millisecond)
func Dialer(wait, silence time.Duration) *net.Dialer {
	pause := max((silence / (probes + 1)).Truncate(time.Second), time.Second)
	return &net.Dialer{
		Timeout:         wait,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: pause, Interval: pause, Count: probes},
		Control: func(_, _ string, raw syscall.RawConn) error {
			// A system that lacks the option does without.
			return raw.Control(func(fd uintptr) {
				_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, userTimeout, int(silence.Milliseconds()))
			})
		},
	}
}
