package socket

import (
	"context"
	"net"
	"time"
)

// Dial makes a connection.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Again dials once more beside a try that has no answer after a pause, and
// takes the first connection: what was sent to a machine before it was up is
// lost, and the system says it again only after a second.
//
//	transport := &http.Transport{DialContext: socket.Again(dialer.DialContext, 100*time.Millisecond)}
func Again(dial Dial, pause time.Duration) Dial {
	type made struct {
		conn net.Conn
		err  error
	}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		all := make(chan made)
		try := func() {
			conn, err := dial(ctx, network, addr)
			select {
			case all <- made{conn, err}:
			case <-ctx.Done():
				if err == nil {
					_ = conn.Close()
				}
			}
		}
		ticker := time.NewTicker(pause)
		defer ticker.Stop()
		go try()
		for {
			select {
			case one := <-all:
				return one.conn, one.err
			case <-ticker.C:
				go try()
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
	}
}
