package pipeline

import (
	"net/http"
	"time"
)

// holdMost is how long a call may be held: no longer than clients wait in
// silence, less what the answer then still takes.
func (s *Proxy) holdMost(c *call) time.Duration {
	most := s.limits.Hold
	if c.route.PatienceMs > 0 {
		most = min(most, time.Duration(c.route.PatienceMs)*time.Millisecond*9/10)
	}
	return most
}

// hold keeps a request while its model comes up. Who waits in vain hears so as
// soon as that is known, and when to come back.
func (s *Proxy) hold(c *call, next func(*call)) {
	if !c.needsItem() || len(c.current.Holders(c.service.Pool, c.item)) > 0 {
		next(c)
		return
	}
	s.Counts.Held.Add(1)
	s.ledger.Hold(c.item, c.weight, 1)
	defer s.ledger.Hold(c.item, c.weight, -1)
	most := s.holdMost(c)
	limit := time.NewTimer(most)
	defer limit.Stop()
	last := time.Now().Add(most)
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
		case <-s.leaves:
			s.refuseLeaving(c)
			return
		case <-limit.C:
			c.refuse(http.StatusServiceUnavailable, "the model is not up yet", s.back(c))
			return
		case <-c.ctx.Done():
			c.refuse(http.StatusServiceUnavailable, "the model did not come up in time", s.back(c))
			return
		}
		c.current = s.Table()
		if _, ok := c.current.Policy.Items[c.item]; !ok {
			s.unknown(c, "the model was taken out of the policy")
			return
		}
		if len(c.current.Holders(c.service.Pool, c.item)) > 0 {
			next(c)
			return
		}
	}
}

// back is when a client who was refused a model should come again: when it can
// be up, where that is known.
func (s *Proxy) back(c *call) time.Duration {
	at := c.current.Expected(c.service.Pool, c.item, s.Now())
	return max(time.Duration(at-s.Now())*time.Millisecond, s.retryAfter(c))
}

// retryAfter is when a client should come again where nothing better is known:
// soon enough that the answer may still be in time.
func (s *Proxy) retryAfter(c *call) time.Duration {
	if c.route.TargetMs > 0 {
		return min(s.limits.Retry, time.Duration(c.route.TargetMs)*time.Millisecond/2)
	}
	return s.limits.Retry
}

// awaitHolder waits, after all holders were tried, for one more, as long as the
// client is patient; what has begun to be passed on is not held.
func (s *Proxy) awaitHolder(c *call) bool {
	if !c.needsItem() || c.answered || c.ask.Key != "" || (c.wrote && !c.again) || c.route.PatienceMs == 0 {
		return false
	}
	limit := time.NewTimer(s.holdMost(c) - time.Since(c.came))
	defer limit.Stop()
	s.ledger.Hold(c.item, c.weight, 1)
	defer s.ledger.Hold(c.item, c.weight, -1)
	for {
		select {
		case <-c.current.Next:
		case <-s.leaves:
			return false
		case <-limit.C:
			return false
		case <-c.ctx.Done():
			return false
		}
		c.current = s.Table()
		for _, server := range c.current.Holders(c.service.Pool, c.item) {
			if !c.tried[server.Name] {
				return true
			}
		}
	}
}
