package pipeline

import (
	"context"
	"io"
	"math/rand"
	"net/http"
	"time"

	"applequay/internal/dataplane/protocol"
	"applequay/internal/routing"
)

// deadline reads how long the client will wait.
func (s *Proxy) deadline(c *call, next func(*call)) {
	c.ctx, c.cancel = context.WithCancel(c.r.Context())
	defer c.cancel()
	wait, refusal := c.speech.Wait(c.r)
	if refusal != nil {
		c.refuseWith(refusal)
		return
	}
	if wait > 0 {
		var cancel context.CancelFunc
		c.ctx, cancel = context.WithTimeout(c.ctx, wait)
		defer cancel()
	}
	next(c)
}

// findRoute goes by the policy alone: where it names no service, the answer is 404.
func (s *Proxy) findRoute(c *call, next func(*call)) {
	c.current = s.Table()
	if !c.current.Known && !s.awaitPolicy(c) {
		c.refuse(http.StatusServiceUnavailable, "this front has no policy yet", s.limits.Retry)
		return
	}
	route, ok := c.current.Route(c.r)
	if !ok {
		s.unknown(c, "no route")
		return
	}
	c.route, c.service = route, c.current.Policy.Services[routing.Share(route, rand.Float64())]
	c.again = route.Safe || c.service.Again || (route.Stream && route.Resumable)
	c.weight = c.current.Policy.Weight(route.Kind, time.Now().UnixMilli())
	var cancel context.CancelFunc
	c.ctx, cancel = context.WithTimeout(c.ctx, time.Duration(route.DeadlineMs)*time.Millisecond)
	defer cancel()
	if s.readBody(c) {
		next(c)
	}
}

// awaitPolicy waits a little on a front that has only just started: its agent
// learns the policy from the zone within moments.
func (s *Proxy) awaitPolicy(c *call) bool {
	limit := time.NewTimer(s.limits.Retry)
	defer limit.Stop()
	for !c.current.Known {
		select {
		case <-c.current.Next:
			c.current = s.Table()
		case <-limit.C:
			return false
		case <-c.ctx.Done():
			return false
		}
	}
	return true
}

// readWithin reads a body within the request's time: one that stops coming is
// not waited for without end.
func (s *Proxy) readWithin(c *call, most int64) ([]byte, error) {
	control := http.NewResponseController(c.w)
	until, bounded := c.ctx.Deadline()
	bounded = bounded && control.SetReadDeadline(until) == nil
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, most))
	if bounded && err == nil {
		// What the client sends next has its own times. Where the body broke off
		// nothing more is read, and the connection ends with the answer.
		_ = control.SetReadDeadline(time.Time{})
	}
	return body, err
}

func (s *Proxy) readBody(c *call) bool {
	most := s.limits.Body
	if told := c.current.Policy.Limits.BodyBytes; told > 0 {
		most = told
	}
	body, err := s.readWithin(c, most)
	if err != nil {
		status, said := http.StatusBadRequest, "the body broke off"
		if _, large := err.(*http.MaxBytesError); large {
			status, said = http.StatusRequestEntityTooLarge, "the body is too large"
		}
		c.refuse(status, said, 0)
		return false
	}
	c.body = body
	ask, refusal := c.speech.Ask(c.r, body, c.service.Model)
	if refusal != nil {
		c.refuseWith(refusal)
		return false
	}
	c.ask, c.passed = ask, ask.From
	c.stream = c.route.Stream || c.service.Model
	switch {
	case !c.service.Model:
		return true
	case ask.Run != "":
		return s.findRun(c)
	case ask.Model == "":
		// No model is asked for: any server of the service will do.
		c.stream = c.route.Stream
		return true
	}
	return s.findItem(c)
}

// findRun finds the server of a run that is to be gone on with.
func (s *Proxy) findRun(c *call) bool {
	name, _, _ := protocol.CutRun(c.ask.Run)
	server, ok := c.current.Servers[name]
	if !ok || server.Leaving || server.Pool != c.service.Pool {
		c.refuse(http.StatusGone, "the run cannot be gone on with", 0)
		return false
	}
	c.runAt = server
	return true
}

// findItem finds the model or adapter, and how the prompt begins.
func (s *Proxy) findItem(c *call) bool {
	item, ok := c.current.Item(c.service.Pool, c.ask.Model, c.ask.Adapter)
	if !ok {
		s.unknown(c, "no such model or adapter in this service")
		return false
	}
	c.item, c.prefix = item, item+"|"+c.ask.Prompt
	s.ledger.Ask(item, c.weight)
	if len(c.ask.Parts) > 0 {
		names, tokens := make([]string, len(c.ask.Parts)), make([]int64, len(c.ask.Parts))
		for at, part := range c.ask.Parts {
			names[at], tokens[at] = part.Name, part.Tokens
		}
		c.openings = routing.Openings(item, names, tokens)
	}
	return true
}

// admit sheds what matters least first: the lighter a request, the fewer of
// the slots it may find taken.
func (s *Proxy) admit(c *call, next func(*call)) {
	taken := s.inWork.Add(1)
	defer s.inWork.Add(-1)
	heaviest := int64(1)
	for _, kind := range c.current.Policy.Kinds {
		heaviest = max(heaviest, kind.Weight)
	}
	share := s.limits.Slots/2 + s.limits.Slots/2*min(c.weight, heaviest)/heaviest
	if taken > share {
		s.Counts.Shed.Add(1)
		c.refuse(http.StatusServiceUnavailable, "too much at once", s.limits.Retry)
		return
	}
	next(c)
}
