package cord

import (
	"bytes"
	"cmp"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"applequay/internal/connection/line"
	"applequay/internal/mark/table"
)

// fate is how a shot ended.
type fate int

const (
	fateAnswered fate = iota
	// fateNoLine: provably no byte was written.
	fateNoLine
	// fateTurnedAway: the server said that it did not begin.
	fateTurnedAway
	fateBroken
)

// sticky finds the one server of an idempotency key. No other may take the key
// over unless it is certain that no front sent it to the first; where that is
// not known the answer is a refusal, and the caller cannot tell whether the
// request of an earlier try ran.
func (s *Switch) sticky(c *call) *table.Server {
	decision := s.ledger.Ticket(c.ctx, c.current.Call(c.service.Pool, c.key))
	chosenServer := c.current.Named(decision.Server)
	if chosenServer == nil {
		c.wrote, c.decided, c.why = true, true, decision.Why
		c.retry = time.Duration(decision.RetryMs) * time.Millisecond
	}
	return chosenServer
}

// shoot sends the request to servers until one answers or nothing more may be
// tried. What is not a model gets one shot, unless no byte was written.
func (s *Switch) shoot(c *call) {
	budget := c.current.Budgets[c.route.Service]
	for shot := 1; ; shot++ {
		c.current = s.Table()
		chosenServer := s.choose(c)
		if chosenServer == nil {
			s.giveUp(c, cmp.Or(c.why, "no server can take this now"))
			return
		}
		if shot == 1 {
			budget.Earn(s.Now())
		} else if shot > s.limits.Shots || !budget.Spend(s.Now(), c.service.RetryPercent) {
			s.giveUp(c, "the server did not answer, and no more may be tried")
			return
		} else {
			s.Counts.Retries.Add(1)
		}
		s.Counts.Shots.Add(1)
		end := s.once(c, chosenServer)
		switch end {
		case fateAnswered:
			return
		case fateNoLine:
			chosenServer.Load.AvoidToMs.Store(s.Now() + s.limits.Avoid.Milliseconds())
		case fateBroken:
			s.Counts.Broken.Add(1)
			if !c.service.Model || c.runAt != nil {
				s.giveUp(c, "the server broke off")
				return
			}
		}
		if c.key == "" || c.service.Model {
			c.tried[chosenServer.Name] = true
		} else if !s.pause(c) {
			s.giveUp(c, "the server cannot be reached")
			return
		}
		if c.ctx.Err() != nil {
			s.giveUp(c, "the time is up")
			return
		}
	}
}

// pause waits before the same server is tried again.
func (s *Switch) pause(c *call) bool {
	wait := time.NewTimer(s.limits.Avoid / 8)
	defer wait.Stop()
	select {
	case <-wait.C:
		return true
	case <-c.ctx.Done():
		return false
	}
}

func (s *Switch) giveUp(c *call, said string) {
	s.Counts.Refused.Add(1)
	if c.runAt != nil {
		c.refuse(http.StatusGone, "the run cannot be gone on with", 0)
		return
	}
	status := http.StatusServiceUnavailable
	if c.wrote {
		status = http.StatusBadGateway
	}
	retry := s.limits.Retry
	if c.decided {
		retry = c.retry
	}
	c.refuse(status, said, retry)
}

// hopHeaders concern one connection only.
var hopHeaders = []string{"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

func copyHeaders(into, from http.Header) {
	drop := map[string]bool{}
	for _, name := range hopHeaders {
		drop[name] = true
	}
	for _, named := range from.Values("Connection") {
		for _, name := range strings.Split(named, ",") {
			drop[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range from {
		if !drop[name] {
			into[name] = values
		}
	}
}

// once makes one shot at one server.
func (s *Switch) once(c *call, chosenServer *table.Server) fate {
	chosenServer.Load.InWork.Add(1)
	defer chosenServer.Load.InWork.Add(-1)
	ctx, moved, ended := s.watch(c, chosenServer)
	defer ended()
	request, err := http.NewRequestWithContext(ctx, c.r.Method, "http://"+chosenServer.Addr+c.r.URL.RequestURI(), bytes.NewReader(c.body))
	if err != nil {
		return fateNoLine
	}
	request.GetBody = nil
	copyHeaders(request.Header, c.r.Header)
	if c.runAt != nil {
		_, run, _ := cutRun(c.run)
		request.Header.Set(HeaderRun, run)
	}
	lines := s.lines.Many
	if !c.service.Model {
		lines = s.lines.Once
		if until, bounded := c.ctx.Deadline(); bounded {
			request = request.WithContext(line.Until(ctx, until))
		}
	}
	answer, err := lines.RoundTrip(request)
	if err != nil {
		if errors.Is(err, line.ErrNoLine) {
			return fateNoLine
		}
		c.wrote = true
		s.avoidSilent(ctx, chosenServer)
		return fateBroken
	}
	defer func() { _ = answer.Body.Close() }()
	defer s.avoidSilent(ctx, chosenServer)
	if !c.service.Model {
		c.wrote = true
		return s.relayWhole(c, answer, chosenServer)
	}
	if answer.StatusCode != http.StatusOK {
		return s.relayRefusal(c, answer, chosenServer)
	}
	c.wrote = true
	return s.relayStream(c, answer, chosenServer, moved)
}

// relayWhole passes on an application's answer once it is there whole, so that
// a part of one never looks complete.
func (s *Switch) relayWhole(c *call, answer *http.Response, chosenServer *table.Server) fate {
	body, err := io.ReadAll(io.LimitReader(answer.Body, s.limits.Answer+1))
	if err != nil || int64(len(body)) > s.limits.Answer {
		return fateBroken
	}
	s.pass(c, answer, chosenServer, body)
	return fateAnswered
}

func (s *Switch) pass(c *call, answer *http.Response, chosenServer *table.Server, body []byte) {
	c.answered = true
	c.ended(answer.StatusCode)
	copyHeaders(c.w.Header(), answer.Header)
	c.w.Header().Del("Content-Length")
	c.w.Header().Set(HeaderServer, chosenServer.Name)
	c.w.WriteHeader(answer.StatusCode)
	_, _ = c.w.Write(body)
}

// relayRefusal: a model server that answers 409 or 503 has not begun, by the
// workers' interface; another holder may be tried.
func (s *Switch) relayRefusal(c *call, answer *http.Response, chosenServer *table.Server) fate {
	body, err := io.ReadAll(io.LimitReader(answer.Body, s.limits.Body))
	if err != nil {
		c.wrote = true
		return fateBroken
	}
	if c.runAt == nil && (answer.StatusCode == http.StatusConflict || answer.StatusCode == http.StatusServiceUnavailable) {
		// Its word is good enough to try another holder, not to promise no run.
		c.wrote = true
		return fateTurnedAway
	}
	c.wrote = true
	s.pass(c, answer, chosenServer, body)
	return fateAnswered
}
