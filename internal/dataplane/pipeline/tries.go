package pipeline

import "time"

// tries is how many servers one request may arrive at.
func (s *Proxy) tries(c *call) int64 {
	if c.route.Tries > 0 {
		return c.route.Tries
	}
	return int64(s.limits.Attempts)
}

// mayArrive tells whether the request may be sent once more after so many times: to
// as many servers as its route says. A stream that is to go on after a piece is sent
// again to those that turned it away (willing), since they did not run it.
func (s *Proxy) mayArrive(c *call, arrived int64) bool {
	if c.cut {
		return c.runs < s.tries(c)
	}
	return arrived < s.tries(c)
}

// askAgain lets a stream of which the client has a part wait a little and ask once
// more those who turned it away, as long as its time lasts: what is broken off in the
// middle is worth nothing, and a server that is full has a place a moment later.
func (s *Proxy) askAgain(c *call) bool {
	if !c.cut || c.runs >= s.tries(c) {
		return false
	}
	wait := time.NewTimer(s.retryAfter(c))
	defer wait.Stop()
	select {
	case <-wait.C:
	case <-c.ctx.Done():
		return false
	}
	clear(c.tried)
	return true
}

// slack is this front's part of the attempts beyond the share that all fronts
// together may make.
func (s *Proxy) slack() int64 {
	return s.limits.RetrySlack * 3 / 4 / max(s.fronts.Load(), 1)
}
