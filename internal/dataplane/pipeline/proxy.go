package pipeline

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"applequay/internal/controlplane/idempotency"
	"applequay/internal/dataplane/protocol"
	"applequay/internal/dataplane/upstream"
	"applequay/internal/routing"
)

// Limits are what one proxy allows itself.
type Limits struct {
	Slots    int64
	Body     int64
	Hold     time.Duration
	Retry    time.Duration
	Avoid    time.Duration
	Attempts int
	// First is how long a model may take to its first piece, Silent to the next.
	First, Silent time.Duration
	// Answer bounds what is kept of an application's answer before it is
	// passed on whole.
	Answer int64
	// RetrySlack is how many attempts beyond the share all fronts together may make
	// over the short window.
	RetrySlack int64
}

// LimitsFor derives the limits from the boot's bounds.
//
//	limits := pipeline.LimitsFor(512, 1<<20, 20*time.Second)
func LimitsFor(slots, body int64, hold time.Duration) Limits {
	return Limits{Slots: slots, Body: body, Hold: hold, Retry: hold / 10, Avoid: hold / 20, Attempts: 3, First: hold / 2, Silent: hold / 4, Answer: 16 * body}
}

// Ledger hears what requests are held, asked for and in work.
type Ledger interface {
	Hold(item string, weight, change int64)
	// Ask hears of each request for an item as it comes.
	Ask(item string, weight int64)
	// Work hears of requests for an item that are at a server, or no longer are.
	Work(item string, weight, change int64)
	// Come hears of clients who were told to come back for an item.
	Come(item string, weight, untilMs int64)
	// Ticket tells to which server a call with a key goes, and notes it.
	Ticket(ctx context.Context, call idempotency.Call) idempotency.Decision
}

// Counts are what a proxy did; they only rise.
type Counts struct {
	Came, Shed, Held, Attempts, Retries, Broken, Refused, Pieces, Silent, Early, Bad, Late, Left atomic.Int64
}

// Proxy is the chain of filters with what it works on.
type Proxy struct {
	limits   Limits
	upstream *upstream.Client
	ledger   Ledger
	speech   protocol.Speech
	table    atomic.Pointer[routing.Table]
	epoch    time.Time
	inWork   atomic.Int64
	turn     atomic.Int64
	fronts   atomic.Int64
	inZone   atomic.Pointer[string]
	// contactTo is until when the configuration kept here counts as known; nought
	// before the agent said anything of it.
	contactTo atomic.Int64
	run       func(*call)
	// leaves is closed once this front goes: nobody is to wait here any more.
	leaves chan struct{}
	left   atomic.Bool
	Counts Counts
}

// New makes the chain.
//
//	proxy := pipeline.New(limits, client, ledger, protocol.Own{}, time.Now())
func New(limits Limits, client *upstream.Client, ledger Ledger, spoken protocol.Speech, epoch time.Time) *Proxy {
	s := &Proxy{limits: limits, upstream: client, ledger: ledger, speech: spoken, epoch: epoch, leaves: make(chan struct{})}
	s.table.Store(routing.Empty())
	s.run = chain([]filter{s.deadline, s.findRoute, s.admit, s.hold}, s.attempt)
	return s
}

// Now is the monotonic time in milliseconds.
//
//	nowMs := proxy.Now()
func (s *Proxy) Now() int64 { return time.Since(s.epoch).Milliseconds() + 1 }

// Table is the table in force.
//
//	current := proxy.Table()
func (s *Proxy) Table() *routing.Table { return s.table.Load() }

// Put sets a new table, wakes those who wait for one and closes idle connections to
// servers that are to get nothing more. One thread calls it.
//
//	proxy.Put(proxy.Table().After(news))
func (s *Proxy) Put(next *routing.Table) {
	old := s.table.Swap(next)
	close(old.Next)
	for name, server := range old.Servers {
		if now, listed := next.Servers[name]; !listed || now.Load != server.Load || now.Leaving {
			server.Load.Pool.Shut()
		}
	}
}

// Fleet tells how many fronts there are, this one among them: what all may do
// together is shared out among them.
//
//	proxy.Fleet(9)
func (s *Proxy) Fleet(fronts int64) { s.fronts.Store(fronts) }

// Zone tells where this front is: servers there are a little nearer.
//
//	proxy.Zone("north")
func (s *Proxy) Zone(name string) { s.inZone.Store(&name) }

func (s *Proxy) zone() string {
	if name := s.inZone.Load(); name != nil {
		return *name
	}
	return ""
}

// ServeHTTP takes a client's request through the chain.
//
//	http.Handle("/", proxy)
func (s *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.Counts.Came.Add(1)
	s.run(&call{w: w, r: r, speech: s.speech, came: time.Now(), tried: map[string]bool{}, asked: map[string]bool{}, bad: &s.Counts.Bad})
}

// InWork is how many requests are in work now.
//
//	for proxy.InWork() > 0 { ... }
func (s *Proxy) InWork() int64 { return s.inWork.Load() }
