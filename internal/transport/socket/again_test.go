package socket

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A machine that is not up yet answers no try made before; one that refuses
// does so at once.
func TestAgain(t *testing.T) {
	refused := errors.New("refused")
	cases := []struct {
		name  string
		upTry int64 // the first try that is answered
		fault error
		tries int64
	}{
		{"at once", 1, nil, 1}, {"after two that are lost", 3, nil, 3}, {"refused", 1, refused, 1},
	}
	for _, one := range cases {
		t.Run(one.name, func(t *testing.T) {
			c := qt.New(t)
			var tries atomic.Int64
			near, far := net.Pipe()
			defer func() { _, _ = near.Close(), far.Close() }()
			dial := Again(func(ctx context.Context, _, _ string) (net.Conn, error) {
				if tries.Add(1) < one.upTry {
					<-ctx.Done()
					return nil, ctx.Err()
				}
				return near, one.fault
			}, 20*time.Millisecond)
			conn, err := dial(context.Background(), "tcp", "10.0.0.1:1")
			c.Check(err, qt.Equals, one.fault)
			c.Check(conn == near || one.fault != nil, qt.IsTrue)
			c.Check(tries.Load() >= one.tries, qt.IsTrue)
		})
	}
}
