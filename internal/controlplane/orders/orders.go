// Package orders hands a partition's orders to workers, and reads the
// platform's worker list, through one interface for both.
package orders

import (
	"context"
	"time"

	"applequay/internal/transport/wire"
)

// Workers is how workers and the list of them are spoken to. Both calls block;
// neither decides anything.
type Workers interface {
	// Order hands a worker one order, or looks at it, and tells what it showed.
	Order(ctx context.Context, order *wire.Order) (*wire.Seen, error)
	// List reads the whole list of workers, sorted by name.
	List(ctx context.Context) (Listing, error)
}

// Listing is one whole read of the worker list, and how many calls it took.
type Listing struct {
	Workers *wire.WorkerList
	Calls   int64
}

// Dispatcher sends for the control thread: one line per worker, so that orders to
// one worker keep their order.
type Dispatcher struct {
	ctx     context.Context
	workers Workers
	wait    time.Duration
	lines   map[string]chan Job
	// Saw takes what workers showed, List what the platform listed.
	Saw  func(seen *wire.Seen)
	List func(version int64, list Listing)
	// Failed hears why the platform's list could not be read.
	Failed func(err error)
}

// Job is an order with the moment after which it must not leave.
type Job struct {
	Order wire.Order
	Until time.Time
}

// New makes a dispatcher that speaks to workers; wait is how long a worker or the platform may take.
//
//	dispatcher := orders.New(ctx, orders.Native("127.0.0.1:7900"), time.Second)
func New(ctx context.Context, workers Workers, wait time.Duration) *Dispatcher {
	return &Dispatcher{ctx: ctx, workers: workers, wait: wait, lines: map[string]chan Job{}}
}

// Send puts an order on its worker's line; a full line loses it. A look behind
// something else is left out: what waits shows as much, and a worker that hangs
// is not to be caught up with.
//
//	dispatcher.Send(orders.Job{Order: *order, Until: until})
func (c *Dispatcher) Send(job Job) {
	name := job.Order.Worker
	line, ok := c.lines[name]
	if !ok {
		line = make(chan Job, 8)
		c.lines[name] = line
		go c.run(line)
	}
	if job.Order.Op == "look" && len(line) > 0 {
		return
	}
	select {
	case line <- job:
	default:
	}
}

func (c *Dispatcher) run(line chan Job) {
	for {
		select {
		case <-c.ctx.Done():
			return
		case job := <-line:
			c.do(job)
		}
	}
}

func (c *Dispatcher) do(job Job) {
	ctx, done := context.WithTimeout(c.ctx, c.wait)
	defer done()
	if job.Order.Op == "list" {
		if list, err := c.workers.List(ctx); err == nil {
			c.List(job.Order.Seq, list)
		} else {
			c.Failed(err)
		}
		return
	}
	// The grant may have run out while the order waited here, and it may run out
	// while a connection is made.
	if time.Now().Before(job.Until) {
		leased, ended := context.WithDeadline(ctx, job.Until)
		defer ended()
		if seen, err := c.workers.Order(leased, &job.Order); err == nil {
			c.Saw(seen)
		}
	}
}
