package orders

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"applequay/internal/transport/wire"
)

// deafWorkers is a worker to which no connection comes up.
type deafWorkers struct{ gaveUp chan time.Time }

func (d *deafWorkers) Order(ctx context.Context, _ *wire.Order) (*wire.Seen, error) {
	<-ctx.Done()
	d.gaveUp <- time.Now()
	return nil, ctx.Err()
}

func (d *deafWorkers) List(context.Context) (Listing, error) { return Listing{}, errors.New("none") }

// An order that is still on its way when the lease ends leaves no more.
func TestNoOrderOutlastsItsLease(t *testing.T) {
	c := qt.New(t)
	ctx, done := context.WithCancel(context.Background())
	defer done()
	workers := &deafWorkers{gaveUp: make(chan time.Time, 1)}
	dispatcher := New(ctx, workers, 20*time.Second)
	began := time.Now()
	dispatcher.Send(Job{Order: wire.Order{Worker: "w1", Op: "load"}, Until: began.Add(100 * time.Millisecond)})
	c.Check((<-workers.gaveUp).Sub(began) < 10*time.Second, qt.IsTrue)
}
