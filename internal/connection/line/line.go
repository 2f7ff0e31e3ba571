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
		return conn, nil
	}
	return &Lines{
		Once: &http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true},
		Many: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second, DisableCompression: true},
	}
}
