// Package pipeline is the way of a request through a proxy: a chain of
// filters, each of which may answer.
package pipeline

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"applequay/internal/configuration"
	"applequay/internal/dataplane/protocol"
	"applequay/internal/routing"
)

// call is one request on its way.
type call struct {
	w       http.ResponseWriter
	r       *http.Request
	ctx     context.Context
	cancel  context.CancelFunc
	speech  protocol.Speech
	came    time.Time
	current *routing.Table
	route   configuration.Route
	service configuration.Service
	// stream says that pieces come; again that the request may run more than once.
	stream, again bool
	weight        int64
	body          []byte
	ask           protocol.Ask
	// item is the model or adapter that a server must hold; none where any server
	// of the service will do.
	item     string
	prefix   string
	openings []routing.Opening
	runAt    *routing.Server
	tried    map[string]bool
	bad      *atomic.Int64
	// wrote says that a server may have begun on the request.
	wrote bool
	// passed is the number of the last piece passed on; cut that the stream is to
	// go on after it at another server.
	passed int64
	cut    bool
	// asked are the servers that the request was sent to, runs how often one of them
	// may have begun on it.
	asked map[string]bool
	runs  int64
	// paid says that the next attempt was taken from the budget already.
	paid atomic.Bool
	// fresh asks for a line of its own.
	fresh bool
	why   string
	// decided says that the key's ticket refused the call, and when to come back.
	decided  bool
	retry    time.Duration
	answered bool
}

// needsItem tells whether only servers that hold the call's item will do.
func (c *call) needsItem() bool { return c.item != "" && c.runAt == nil }

// candidates are the servers of a table that can run the call.
func (c *call) candidates(current *routing.Table) []*routing.Server {
	if c.item != "" {
		return current.Holders(c.service.Pool, c.item)
	}
	return current.Open(c.service.Pool)
}

// ended counts a request that did not get what it came for: a roll-out of a
// policy is halted where there are more of them.
func (c *call) ended(status int) {
	if c.bad != nil && (status >= http.StatusInternalServerError || status == http.StatusNotFound) {
		c.bad.Add(1)
	}
}

// filter is one link of the chain: it answers, or goes on to the next.
type filter func(c *call, next func(*call))

func chain(filters []filter, last func(*call)) func(*call) {
	step := last
	for at := len(filters) - 1; at >= 0; at-- {
		link, next := filters[at], step
		step = func(c *call) { link(c, next) }
	}
	return step
}

// refuse answers for the proxy. That the request did not run is said only
// where it certainly did not.
func (c *call) refuse(status int, said string, retry time.Duration) {
	c.refuseWith(&protocol.Refusal{Status: status, Said: said, Retry: retry})
}

func (c *call) refuseWith(refusal *protocol.Refusal) {
	if c.answered {
		return
	}
	c.answered = true
	c.ended(refusal.Status)
	refusal.MayHaveRun = refusal.MayHaveRun || c.wrote
	c.speech.Refuse(c.w, *refusal)
}

// left is the time that the call may still take.
func (c *call) left() time.Duration {
	until, bounded := c.ctx.Deadline()
	if !bounded {
		return 0
	}
	return max(time.Until(until), time.Millisecond)
}
