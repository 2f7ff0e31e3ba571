// Package line holds the connections from a switchboard to servers.
package line

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

// Lines are the two ways to a server. Once makes a connection for one request
// and never sends it again by itself: net/http would repeat, on a connection
// that it reuses, a request with an idempotency key. Many keeps connections.
type Lines struct {
	Once, Many http.RoundTripper
}

// ErrNoLine says that no connection came about, so that no byte of a request
// can have left.
var ErrNoLine = errors.New("no connection")

// New makes lines; wait is how long a connection may take to come about.
//
//	lines := line.New(300 * time.Millisecond)
func New(wait time.Duration) *Lines {
	dialer := &net.Dialer{Timeout: wait}
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, addr)
		if err != nil {
			return nil, errors.Join(ErrNoLine, err)
		}
		if until, ok := ctx.Value(untilKey{}).(time.Time); ok {
			return &guarded{Conn: conn, until: until}, nil
		}
		return conn, nil
	}
	return &Lines{
		Once: &http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true},
		Many: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second, DisableCompression: true},
	}
}

// untilKey is under which a request carries the moment after which it must not
// begin to leave.
type untilKey struct{}

// Until makes a request's connection refuse to be written to after a moment: a
// process that was frozen between its decision and the sending does not send.
//
//	request = request.WithContext(line.Until(ctx, deadline))
func Until(ctx context.Context, until time.Time) context.Context {
	return context.WithValue(ctx, untilKey{}, until)
}

var errTooLate = errors.New("too late to send")

type guarded struct {
	net.Conn
	until time.Time
	begun bool
}

// Write refuses to begin after the moment.
//
//	n, err := conn.Write(head)
func (g *guarded) Write(body []byte) (int, error) {
	if !g.begun && time.Now().After(g.until) {
		return 0, errTooLate
	}
	g.begun = true
	return g.Conn.Write(body)
}
