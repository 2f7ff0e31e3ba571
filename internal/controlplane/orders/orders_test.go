package orders

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"applequay/internal/transport/wire"
)

// slowWorkers answers only when it is told to.
type slowWorkers struct {
	came  chan string
	leave chan bool
}

func (d *slowWorkers) Order(_ context.Context, order *wire.Order) (*wire.Seen, error) {
	d.came <- order.Op
	if <-d.leave {
		return &wire.Seen{Worker: order.Worker}, nil
	}
	return nil, errors.New("no answer")
}

func (d *slowWorkers) List(context.Context) (Listing, error) { return Listing{}, errors.New("none") }

// Orders to one worker keep their order, looks do not pile up behind a worker
// that hangs, and what is past its time does not leave.
func TestLines(t *testing.T) {
	c := qt.New(t)
	ctx, done := context.WithCancel(context.Background())
	defer done()
	workers := &slowWorkers{came: make(chan string), leave: make(chan bool)}
	dispatcher := New(ctx, workers, time.Second)
	saw, failed := make(chan *wire.Seen, 8), make(chan error, 8)
	dispatcher.Saw = func(seen *wire.Seen) { saw <- seen }
	dispatcher.Failed = func(err error) { failed <- err }
	send := func(op string, until time.Duration) {
		dispatcher.Send(Job{Order: wire.Order{Worker: "w1", Op: op}, Until: time.Now().Add(until)})
	}
	send("look", time.Minute)
	c.Check(<-workers.came, qt.Equals, "look")
	send("look", time.Minute)
	send("look", time.Minute)
	send("load", -time.Second)
	send("unload", time.Minute)
	send("look", time.Minute)
	workers.leave <- false
	c.Check(<-workers.came, qt.Equals, "look")
	workers.leave <- true
	c.Check(<-workers.came, qt.Equals, "unload")
	workers.leave <- true
	<-saw
	<-saw
	dispatcher.Send(Job{Order: wire.Order{Worker: "", Op: "list"}})
	c.Check(<-failed, qt.IsNotNil)
	c.Check(saw, qt.HasLen, 0)
}
