package pipeline

import (
	"errors"
	"io"
	"net/http"

	"applequay/internal/dataplane/protocol"
	"applequay/internal/dataplane/upstream"
	"applequay/internal/routing"
)

// passHead copies the head of a server's answer.
func (s *Proxy) passHead(c *call, answer *upstream.Answer) {
	into := c.w.Header()
	protocol.CopyHead(into, answer.Header)
	into.Del("Content-Length")
	if answer.Header.Get("Content-Type") == "" {
		into["Content-Type"] = nil
	}
}

// relayStream passes pieces on one by one. A stream that breaks off before its
// first piece was never begun, as the client sees it; one that may be resumed
// goes on at another server after the last piece passed on.
func (s *Proxy) relayStream(c *call, answer *upstream.Answer, look *watcher, chosenServer *routing.Server, sent int64) outcome {
	stream := c.speech.Open(answer.Response, answer.Reader, c.ask, chosenServer.Name)
	flusher, _ := c.w.(http.Flusher)
	load, resumed := chosenServer.Load, c.cut
	tokens := c.ask.TokensIn - load.Kept(c.openings)
	load.Pending.Add(tokens)
	pending := true
	read := func() {
		if pending {
			load.Pending.Add(-tokens)
			pending = false
		}
	}
	defer read()
	for {
		piece, err := stream.Next()
		if errors.Is(err, io.EOF) && c.answered {
			return outcomeAnswered
		}
		if err != nil {
			return s.broke(c, stream)
		}
		now := s.Now()
		load.HeardMs.Store(now)
		look.moved(now)
		if pending {
			read()
			load.Keep(c.openings)
		}
		if resumed && piece.Number <= c.passed {
			continue
		}
		resumed = false
		if !c.answered {
			s.beginAnswer(c, stream, answer.StatusCode, now-sent)
		}
		if _, err = c.w.Write(piece.Bytes); err != nil {
			return outcomeAnswered
		}
		if flusher != nil {
			flusher.Flush()
		}
		c.passed, c.wrote = piece.Number, true
		if piece.End {
			return outcomeAnswered
		}
		s.Counts.Pieces.Add(1)
	}
}

// beginAnswer passes on the head, once the first piece is there.
func (s *Proxy) beginAnswer(c *call, stream protocol.Stream, status int, tookMs int64) {
	c.answered = true
	stream.Head(c.w.Header())
	c.w.WriteHeader(status)
	if c.route.TargetMs > 0 && tookMs > c.route.TargetMs {
		s.Counts.Late.Add(1)
	}
}

// broke says what becomes of a stream that broke off.
func (s *Proxy) broke(c *call, stream protocol.Stream) outcome {
	switch {
	case !c.answered:
		return outcomeBroken
	case c.ctx.Err() == nil && c.route.Resumable && c.speech.Resumes():
		return outcomeCut
	}
	s.Counts.Broken.Add(1)
	s.breakOff(c, stream.Broken(c.next()))
	return outcomeAnswered
}

// next is the number of the piece after the last one passed on.
func (c *call) next() int64 { return c.passed + 1 }

// breakOff ends an answer that cannot go on, in a way that never looks complete.
func (s *Proxy) breakOff(c *call, last []byte) {
	s.Counts.Bad.Add(1)
	if last == nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = c.w.Write(last)
}
