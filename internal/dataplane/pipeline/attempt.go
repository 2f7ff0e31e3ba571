package pipeline

import (
	"cmp"
	"errors"
	"io"
	"net/http"
	"time"

	"applequay/internal/dataplane/protocol"
	"applequay/internal/dataplane/upstream"
	"applequay/internal/routing"
)

// outcome is how an attempt ended.
type outcome int

const (
	outcomeAnswered outcome = iota
	// outcomeNotSent: provably no byte was written.
	outcomeNotSent
	// outcomeTurnedAway: the server certainly did not run it.
	outcomeTurnedAway
	// outcomeBusy: the server says that it did not begin.
	outcomeBusy
	outcomeBroken
	// outcomeStale: a connection that was kept broke before any answer.
	outcomeStale
	// outcomeCut: the stream broke off after pieces were passed on.
	outcomeCut
)

// attempt sends the request to servers until one answers or nothing more may be
// tried. What may not run twice gets one attempt, unless it certainly did not run.
func (s *Proxy) attempt(c *call) {
	budget := c.current.Budgets[c.service.Name]
	budget.Earn(s.Now())
	arrived := int64(0)
	for {
		if s.leaving(c) {
			s.refuseLeaving(c)
			return
		}
		c.current = s.Table()
		chosenServer := s.choose(c)
		if chosenServer == nil {
			if s.awaitHolder(c) || s.askAgain(c) {
				continue
			}
			s.giveUp(c, cmp.Or(c.why, "no server can take this now"))
			return
		}
		if arrived > 0 {
			if !s.mayArrive(c, arrived) || !s.pay(c, budget) {
				if s.askAgain(c) {
					continue
				}
				s.giveUp(c, "the server did not answer, and no more may be tried")
				return
			}
			s.Counts.Retries.Add(1)
		}
		s.Counts.Attempts.Add(1)
		end := s.once(c, chosenServer, arrived+1 < s.tries(c) || c.again && c.stream && c.route.TargetMs == 0)
		if end != outcomeNotSent {
			arrived++
			c.asked[chosenServer.Name] = true
		}
		if s.ended(c, chosenServer, end) {
			return
		}
	}
}

// ended does what the end of an attempt asks for; false if another may follow.
func (s *Proxy) ended(c *call, chosenServer *routing.Server, end outcome) bool {
	switch end {
	case outcomeAnswered:
		return true
	case outcomeNotSent:
		s.avoid(chosenServer)
	case outcomeBroken:
		s.Counts.Broken.Add(1)
		c.runs++
		if c.wrote = true; !c.again || c.runAt != nil {
			s.giveUp(c, "the server broke off")
			return true
		}
	case outcomeStale:
		// The same server may be well: it is asked again on a line of its own.
		if c.wrote = true; !c.again {
			s.giveUp(c, "the server broke off")
			return true
		}
		if c.fresh = true; c.ctx.Err() == nil {
			return false
		}
	case outcomeBusy:
		c.wrote = true
	case outcomeCut:
		s.Counts.Broken.Add(1)
		c.runs++
		c.cut = true
	}
	if c.ask.Key == "" || c.service.Model {
		c.tried[chosenServer.Name] = true
	} else if !s.pause(c) {
		s.giveUp(c, "the server cannot be reached")
		return true
	}
	if c.ctx.Err() != nil {
		s.giveUp(c, "the time is up")
		return true
	}
	return false
}

// avoid keeps requests from a server that could not be reached, for a while.
func (s *Proxy) avoid(server *routing.Server) {
	server.Load.AvoidToMs.Store(s.Now() + s.limits.Avoid.Milliseconds())
}

// pause waits before the same server is tried again.
func (s *Proxy) pause(c *call) bool {
	wait := time.NewTimer(s.limits.Avoid / 8)
	defer wait.Stop()
	select {
	case <-wait.C:
		return true
	case <-c.ctx.Done():
		return false
	}
}

func (s *Proxy) giveUp(c *call, said string) {
	if c.cut {
		s.breakOff(c, nil)
		return
	}
	s.Counts.Refused.Add(1)
	if c.runAt != nil {
		c.refuse(http.StatusGone, "the run cannot be gone on with", 0)
		return
	}
	status := http.StatusServiceUnavailable
	if c.wrote {
		status = http.StatusBadGateway
	}
	retry := s.retryAfter(c)
	if c.decided {
		retry = c.retry
	}
	c.refuse(status, said, retry)
}

// once makes one attempt at one server.
func (s *Proxy) once(c *call, chosenServer *routing.Server, further bool) outcome {
	load := chosenServer.Load
	load.InWork.Add(1)
	defer load.InWork.Add(-1)
	s.ledger.Work(c.item, c.weight, 1)
	defer s.ledger.Work(c.item, c.weight, -1)
	look := s.watch(c, chosenServer, further)
	defer look.end()
	sent := s.Now()
	answer, err := s.upstream.Do(look.ctx, &load.Pool, s.attemptFor(c, chosenServer))
	if err != nil {
		if errors.Is(err, upstream.ErrNotSent) {
			return outcomeNotSent
		}
		if errors.Is(err, upstream.ErrStale) {
			return outcomeStale
		}
		s.avoidSilent(look, chosenServer)
		s.noteSilence(c, chosenServer, sent)
		return outcomeBroken
	}
	defer answer.Close()
	defer s.avoidSilent(look, chosenServer)
	load.HeardMs.Store(s.Now())
	load.Silences.Store(0)
	return s.relay(c, answer, look, chosenServer, sent)
}

// attemptFor is the request as it is sent to a server.
func (*Proxy) attemptFor(c *call, chosenServer *routing.Server) *upstream.Attempt {
	header := http.Header{}
	protocol.CopyHead(header, c.r.Header)
	header.Del("Expect")
	header.Del("Content-Length")
	told := protocol.Told{Server: chosenServer.Name, Left: c.left(), Urgency: min(c.route.Rank*2, 9), Resumed: c.cut, From: c.passed}
	if c.runAt != nil {
		_, told.Run, _ = protocol.CutRun(c.ask.Run)
	}
	c.speech.Put(header, c.ask, told)
	attempt := &upstream.Attempt{Addr: chosenServer.Addr, Method: c.r.Method, Target: c.r.RequestURI, Host: c.r.Host, Header: header, Body: c.body, Fresh: !c.again || c.fresh}
	if !c.again {
		attempt.Until, _ = c.ctx.Deadline()
	}
	return attempt
}

// relay does what an answer's head asks for.
func (s *Proxy) relay(c *call, answer *upstream.Answer, look *watcher, chosenServer *routing.Server, sent int64) outcome {
	load := chosenServer.Load
	heard := c.speech.Hear(answer.Response, c.ask, chosenServer.Name, c.stream)
	if heard.Loaded {
		load.Told(s.Now(), heard.Run+heard.Wait, heard.Places)
	}
	switch heard.Meaning {
	case protocol.MeaningStream:
		return s.relayStream(c, answer, look, chosenServer, sent)
	case protocol.MeaningWhole:
		return s.relayWhole(c, answer, chosenServer)
	case protocol.MeaningMissing:
		load.Miss(c.item, s.Now()+s.limits.Avoid.Milliseconds())
		return outcomeTurnedAway
	case protocol.MeaningElsewhere:
		load.AvoidToMs.Store(s.Now() + 4*s.limits.Avoid.Milliseconds())
		return outcomeTurnedAway
	case protocol.MeaningTurnedAway:
		return outcomeTurnedAway
	case protocol.MeaningBusy:
		if _, err := io.Copy(io.Discard, answer.Reader); err != nil {
			return outcomeBroken
		}
		return outcomeBusy
	}
	answer.Spoil()
	return outcomeBroken
}

// relayWhole passes on an answer once it is there whole, so that a part of one
// never looks complete.
func (s *Proxy) relayWhole(c *call, answer *upstream.Answer, chosenServer *routing.Server) outcome {
	if c.cut {
		return outcomeBroken
	}
	body, err := io.ReadAll(io.LimitReader(answer.Reader, s.limits.Answer+1))
	if err != nil || int64(len(body)) > s.limits.Answer {
		return outcomeBroken
	}
	c.wrote, c.answered = true, true
	c.ended(answer.StatusCode)
	s.passHead(c, answer)
	c.speech.Sign(c.w.Header(), chosenServer.Name)
	c.w.WriteHeader(answer.StatusCode)
	_, _ = c.w.Write(body)
	return outcomeAnswered
}
