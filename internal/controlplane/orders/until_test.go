package orders

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"applequay/internal/transport/wire"
)

// deafDesk is a worker to which no connection comes up.
type deafDesk struct{ gaveUp chan time.Time }

func (d *deafDesk) Order(ctx context.Context, _ *wire.Order) (*wire.Seen, error) {
	<-ctx.Done()
	d.gaveUp <- time.Now()
	return nil, ctx.Err()
}

func (d *deafDesk) List(context.Context) (Listing, error) { return Listing{}, errors.New("none") }

// An order that is still on its way when the lease ends leaves no more.
func TestNoOrderOutlastsItsLease(t *testing.T) {
	c := qt.New(t)
	ctx, done := context.WithCancel(context.Background())
	defer done()
	desk := &deafDesk{gaveUp: make(chan time.Time, 1)}
	clerk := New(ctx, desk, 20*time.Second)
	began := time.Now()
	clerk.Send(Job{Order: wire.Order{Worker: "w1", Op: "load"}, Until: began.Add(100 * time.Millisecond)})
	c.Check((<-desk.gaveUp).Sub(began) < 10*time.Second, qt.IsTrue)
}
