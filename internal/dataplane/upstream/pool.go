package upstream

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync/atomic"
	"syscall"
	"time"
)

// Pool is where the idle connections to one server are kept. The list is never
// changed once made; whoever takes a connection puts a shorter list in its place.
type Pool struct {
	idle atomic.Pointer[[]*conn]
	used atomic.Int64
	shut atomic.Bool
}

// Open is how many connections to the server are open, in use or idle.
//
//	if server.Load.Pool.Open() >= most { ... }
func (p *Pool) Open() int64 {
	count := p.used.Load()
	if kept := p.idle.Load(); kept != nil {
		count += int64(len(*kept))
	}
	return count
}

// Shut closes what is idle; what is in use is closed once it is done.
//
//	server.Load.Pool.Shut()
func (p *Pool) Shut() {
	p.shut.Store(true)
	if kept := p.idle.Swap(nil); kept != nil {
		for _, one := range *kept {
			_ = one.Close()
		}
	}
}

// pop takes the connection used last, and closes those that were idle too long.
func (p *Pool) pop(now time.Time) *conn {
	for {
		kept := p.idle.Load()
		if kept == nil || len(*kept) == 0 {
			return nil
		}
		var rest, late []*conn
		for _, one := range *kept {
			if now.Before(one.idleTo) {
				rest = append(rest, one)
			} else {
				late = append(late, one)
			}
		}
		var taken *conn
		if len(rest) > 0 {
			taken, rest = rest[len(rest)-1], rest[:len(rest)-1]
		}
		if p.idle.CompareAndSwap(kept, &rest) {
			for _, one := range late {
				_ = one.Close()
			}
			return taken
		}
	}
}

func (p *Pool) push(one *conn, most int) bool {
	for {
		kept := p.idle.Load()
		var next []*conn
		if kept != nil {
			next = slices.Clone(*kept)
		}
		if len(next) >= most || p.shut.Load() {
			return false
		}
		next = append(next, one)
		if p.idle.CompareAndSwap(kept, &next) {
			if p.shut.Load() {
				p.Shut()
			}
			return true
		}
	}
}

// take finds a connection that is still good, or makes one.
func (l *Client) take(ctx context.Context, plug *Pool, attempt *Attempt) (*conn, error) {
	for !attempt.Fresh {
		one := plug.pop(time.Now())
		if one == nil {
			break
		}
		if one.reused = true; quiet(one.Conn) {
			return one, nil
		}
		_ = one.Close()
	}
	made, err := l.dialer.DialContext(ctx, "tcp", attempt.Addr)
	if err != nil {
		return nil, err
	}
	one := &conn{Conn: made, keep: l.idle}
	one.reader = bufio.NewReaderSize(one, 2048)
	return one, nil
}

func (l *Client) keep(plug *Pool, one *conn, told string) {
	if told != "" {
		one.keep = keepFor(told, l.idle)
	}
	one.idleTo = time.Now().Add(one.keep)
	if !plug.push(one, l.most) {
		_ = one.Close()
	}
}

// quiet tells whether an idle connection is open and nothing came on it: what
// comes while no request is out belongs to none.
func quiet(one net.Conn) bool {
	tcp, ok := one.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	good := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peeked := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		good = peeked == syscall.EAGAIN
		return true
	})
	return err == nil && good
}
