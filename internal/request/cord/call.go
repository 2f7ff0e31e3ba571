// Package cord is the way of a request through a switchboard: a chain of
// filters, each of which may answer.
package cord

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"applequay/internal/mark/policy"
	"applequay/internal/mark/table"
)

// Headers that callers send and get.
const (
	HeaderDeadline = "Applequay-Deadline-Ms"
	HeaderRun      = "Applequay-Run"
	HeaderFrom     = "Applequay-From"
	HeaderShot     = "Applequay-Shot"
	HeaderKey      = "Idempotency-Key"
	HeaderServer   = "Applequay-Server"
)

// Ran says whether a request may have been carried out.
type Ran string

// RanNo is said only when certain.
const (
	RanNo      Ran = "no"
	RanUnknown Ran = "unknown"
)

// Refusal is the body of every error answer of the switchboard itself.
type Refusal struct {
	Error   string `json:"error"`
	Ran     Ran    `json:"ran"`
	RetryMs int64  `json:"retry_ms,omitempty"`
}

// call is one request on its way.
type call struct {
	w       http.ResponseWriter
	r       *http.Request
	ctx     context.Context
	cancel  context.CancelFunc
	came    time.Time
	current *table.Table
	route   policy.Route
	service policy.Service
	weight  int64
	body    []byte
	item    string
	prefix  string
	key     string
	run     string
	runAt   *table.Server
	from    int64
	chosen  *table.Server
	tried   map[string]bool
	bad     *atomic.Int64
	wrote   bool
	why     string
	// decided says that the key's ticket refused the call, and when to come back.
	decided  bool
	retry    time.Duration
	answered bool
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

// refuse answers for the switchboard. Ran is no only where no byte of the
// request can have left.
func (c *call) refuse(status int, said string, retry time.Duration) {
	if c.answered {
		return
	}
	c.answered = true
	c.ended(status)
	refusal := Refusal{Error: said, Ran: RanNo}
	if c.wrote {
		refusal.Ran = RanUnknown
	}
	if retry > 0 {
		refusal.RetryMs = retry.Milliseconds()
		c.w.Header().Set("Retry-After", strconv.FormatInt(int64((retry+time.Second-1)/time.Second), 10))
	}
	c.w.Header().Set("Content-Type", "application/json")
	c.w.WriteHeader(status)
	_ = json.NewEncoder(c.w).Encode(refusal)
}
