package fleet

import (
	"context"
	"io"
	"math/rand"
	"net"
	"sync/atomic"
	"time"
)

// links is what the proxies in front of all nodes obey. Machines speak from
// their own addresses, so a proxy knows who calls.
type links struct {
	cut    atomic.Pointer[map[[2]string]bool] // from host, to host
	kbPerS atomic.Int64
	// losePercent of the connections are dropped when something goes over them,
	// and each thing sent takes delayMs.
	losePercent, delayMs atomic.Int64
	bytes                atomic.Int64
}

func newLinks(kbPerS int64) *links {
	l := &links{}
	l.cut.Store(&map[[2]string]bool{})
	l.kbPerS.Store(kbPerS)
	return l
}

func (l *links) isCut(from, to string) bool { return (*l.cut.Load())[[2]string{from, to}] }

// relay serves one node: what comes to its public address goes to its own.
func (l *links) relay(ctx context.Context, public, private string) error {
	var listener net.Listener
	var err error
	// The address may still be held by a world that is just being closed.
	for range 40 {
		if listener, err = (&net.ListenConfig{}).Listen(ctx, "tcp", public); err == nil {
			break
		}
		<-time.After(50 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	host, _, err := net.SplitHostPort(private)
	if err != nil {
		return err
	}
	go func() {
		<-ctx.Done()
		_ = listener.Close()
	}()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.carry(ctx, conn, private, host)
		}
	}()
	return nil
}

func (l *links) carry(ctx context.Context, conn net.Conn, private, to string) {
	defer func() { _ = conn.Close() }()
	from, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err != nil {
		return
	}
	// Dialling may fail: then the client's connection ends, as if refused.
	onward, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", private)
	if err != nil {
		return
	}
	defer func() { _ = onward.Close() }()
	done := make(chan struct{}, 2)
	go func() { l.pump(ctx, onward, conn, from, to); done <- struct{}{} }()
	go func() { l.pump(ctx, conn, onward, to, from); done <- struct{}{} }()
	<-done
}

// pump carries one direction. While it is cut, bytes stay where they are.
func (l *links) pump(ctx context.Context, into io.Writer, from net.Conn, fromHost, toHost string) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		for l.isCut(fromHost, toHost) {
			select {
			case <-ctx.Done():
				return
			case <-time.After(50 * time.Millisecond):
			}
		}
		if wait := l.delayMs.Load(); wait > 0 && n > 0 {
			<-time.After(time.Duration(wait) * time.Millisecond)
		}
		if n > 0 && rand.Int63n(100) < l.losePercent.Load() {
			return
		}
		if n > 0 {
			l.bytes.Add(int64(n))
			if rate := l.kbPerS.Load(); rate > 0 {
				<-time.After(time.Duration(n) * time.Second / time.Duration(rate<<10))
			}
			if _, failed := into.Write(buffer[:n]); failed != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
