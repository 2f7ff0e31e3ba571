package cord

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/valyala/fastjson"

	"applequay/internal/mark/table"
)

// prefixLen is how much of a prompt decides where it goes: prompts that start
// alike find each other's cache.
const prefixLen = 256

// deadline reads how long the caller will wait.
func (s *Switch) deadline(c *call, next func(*call)) {
	c.ctx, c.cancel = context.WithCancel(c.r.Context())
	defer c.cancel()
	if text := c.r.Header.Get(HeaderDeadline); text != "" {
		wait, err := strconv.ParseInt(text, 10, 64)
		if err != nil || wait <= 0 {
			c.refuse(http.StatusBadRequest, HeaderDeadline+" must be a number of milliseconds", 0)
			return
		}
		var cancel context.CancelFunc
		c.ctx, cancel = context.WithTimeout(c.ctx, time.Duration(wait)*time.Millisecond)
		defer cancel()
	}
	next(c)
}

// findRoute goes by the policy alone: where it names no service, the answer is 404.
func (s *Switch) findRoute(c *call, next func(*call)) {
	c.current = s.Table()
	if !c.current.Known && !s.awaitPolicy(c) {
		c.refuse(http.StatusServiceUnavailable, "this front has no policy yet", s.limits.Retry)
		return
	}
	route, ok := c.current.Route(c.r)
	if !ok {
		c.refuse(http.StatusNotFound, "no route", 0)
		return
	}
	c.route, c.service = route, c.current.Policy.Services[route.Service]
	c.weight = c.current.Policy.Weight(route.Kind, time.Now().UnixMilli())
	var cancel context.CancelFunc
	c.ctx, cancel = context.WithTimeout(c.ctx, time.Duration(route.DeadlineMs)*time.Millisecond)
	defer cancel()
	if s.readBody(c) {
		next(c)
	}
}

// awaitPolicy waits a little on a front that has only just started: its lineman
// learns the policy from the zone within moments.
func (s *Switch) awaitPolicy(c *call) bool {
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

func (s *Switch) readBody(c *call) bool {
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, s.limits.Body))
	if err != nil {
		status, said := http.StatusBadRequest, "the body broke off"
		if _, large := err.(*http.MaxBytesError); large {
			status, said = http.StatusRequestEntityTooLarge, "the body is too large"
		}
		c.refuse(status, said, 0)
		return false
	}
	c.body = body
	if !c.service.Model {
		return s.readKey(c)
	}
	return s.readAsk(c)
}

// mostKey bounds an idempotency key.
const mostKey = 256

// readKey takes the key that names a booking or a check, if there is one.
func (s *Switch) readKey(c *call) bool {
	keys := c.r.Header.Values(HeaderKey)
	if len(keys) == 0 {
		return true
	}
	c.key = keys[0]
	plain := !strings.ContainsFunc(c.key, func(r rune) bool { return r < ' ' || r == 0x7f || r == utf8.RuneError })
	if len(keys) > 1 || c.key == "" || len(c.key) > mostKey || !plain {
		c.refuse(http.StatusBadRequest, HeaderKey+" must be one text of 1 to 256 bytes without control characters", 0)
		return false
	}
	return true
}

// readAsk finds the model, the adapter and the prompt, or the run to go on with.
func (s *Switch) readAsk(c *call) bool {
	if c.run = c.r.Header.Get(HeaderRun); c.run != "" {
		from, err := strconv.ParseInt(c.r.Header.Get(HeaderFrom), 10, 64)
		if err != nil || from < 0 {
			c.refuse(http.StatusBadRequest, HeaderFrom+" must be the number of the next piece", 0)
			return false
		}
		name, _, _ := strings.Cut(c.run, ":")
		server, ok := c.current.Servers[name]
		if !ok || server.Leaving || server.Pool != c.service.Pool {
			c.refuse(http.StatusGone, "the run cannot be gone on with", 0)
			return false
		}
		c.from, c.runAt = from, server
		return true
	}
	value, err := fastjson.ParseBytes(c.body)
	if err != nil || value.Type() != fastjson.TypeObject {
		c.refuse(http.StatusBadRequest, "the body must be an object of JSON", 0)
		return false
	}
	model, adapter := string(value.GetStringBytes("model")), string(value.GetStringBytes("adapter"))
	if model == "" {
		c.refuse(http.StatusUnprocessableEntity, "model: must be given", 0)
		return false
	}
	item, ok := c.current.Item(c.service.Pool, model, adapter)
	if !ok {
		c.refuse(http.StatusNotFound, "no such model or adapter in this service", 0)
		return false
	}
	prompt := value.GetStringBytes("prompt")
	c.item, c.prefix = item, item+"|"+string(prompt[:min(len(prompt), prefixLen)])
	return true
}

// admit sheds what matters least first: the lighter a request, the fewer of
// the slots it may find taken.
func (s *Switch) admit(c *call, next func(*call)) {
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

// hold keeps a request while its model comes up. Who waits in vain hears so as
// soon as that is known, and when to come back.
func (s *Switch) hold(c *call, next func(*call)) {
	if !c.service.Model || c.run != "" || len(c.current.Holders(c.service.Pool, c.item)) > 0 {
		next(c)
		return
	}
	s.Counts.Held.Add(1)
	s.ledger.Hold(c.item, c.weight, 1)
	defer s.ledger.Hold(c.item, c.weight, -1)
	limit := time.NewTimer(s.limits.Hold)
	defer limit.Stop()
	last := time.Now().Add(s.limits.Hold)
	if until, bounded := c.ctx.Deadline(); bounded && until.Before(last) {
		last = until
	}
	lastMs := s.Now() + time.Until(last).Milliseconds()
	for {
		if at := c.current.Expected(c.service.Pool, c.item, s.Now()); at > lastMs {
			s.Counts.Early.Add(1)
			s.ledger.Come(c.item, c.weight, at+s.limits.Retry.Milliseconds())
			c.refuse(http.StatusServiceUnavailable, "the model cannot be up in time", time.Duration(at-s.Now())*time.Millisecond)
			return
		}
		if until := c.current.Refused[c.item]; until > s.Now() {
			c.refuse(http.StatusServiceUnavailable, "no worker has room for the model now", time.Duration(until-s.Now())*time.Millisecond)
			return
		}
		select {
		case <-c.current.Next:
		case <-limit.C:
			c.refuse(http.StatusServiceUnavailable, "the model is not up yet", s.back(c))
			return
		case <-c.ctx.Done():
			c.refuse(http.StatusServiceUnavailable, "the model did not come up in time", s.back(c))
			return
		}
		c.current = s.Table()
		if _, ok := c.current.Policy.Items[c.item]; !ok {
			c.refuse(http.StatusNotFound, "the model was taken out of the policy", 0)
			return
		}
		if len(c.current.Holders(c.service.Pool, c.item)) > 0 {
			next(c)
			return
		}
	}
}

// back is when a caller who was refused a model should come again: when it can
// be up, where that is known.
func (s *Switch) back(c *call) time.Duration {
	at := c.current.Expected(c.service.Pool, c.item, s.Now())
	return max(time.Duration(at-s.Now())*time.Millisecond, s.limits.Retry)
}

// choose picks a server that was not tried yet.
func (s *Switch) choose(c *call) *table.Server {
	switch {
	case c.runAt != nil:
		if len(c.tried) > 0 {
			return nil
		}
		return c.runAt
	case c.service.Model:
		return table.Choose(untried(c, c.current.Holders(c.service.Pool, c.item)), c.prefix, s.Now())
	case c.key != "":
		return s.sticky(c)
	}
	servers := untried(c, c.current.Open(c.service.Pool))
	return table.Choose(servers, strconv.FormatInt(s.turn.Add(1), 10), s.Now())
}

func untried(c *call, servers []*table.Server) []*table.Server {
	out := servers[:0:0]
	for _, server := range servers {
		if !c.tried[server.Name] {
			out = append(out, server)
		}
	}
	return out
}
