package cord

import (
	"context"
	"errors"
	"time"

	"applequay/internal/mark/table"
)

var errSilent = errors.New("the server is silent")

// watch ends a shot at a model server that is silent for too long: for the time
// of a first piece, then of the next, and for a small share of that where the
// server is known to be dark. The caller's own deadline is no measure: nobody
// is to wait for it in vain. Moved says that something came.
func (s *Switch) watch(c *call, chosenServer *table.Server) (ctx context.Context, moved, ended func()) {
	ctx, cancel := context.WithCancelCause(c.ctx)
	if !c.service.Model {
		return ctx, func() {}, func() { cancel(nil) }
	}
	news := make(chan struct{}, 1)
	go s.watching(ctx, cancel, c.current, chosenServer, news)
	moved = func() {
		select {
		case news <- struct{}{}:
		default:
		}
	}
	return ctx, moved, func() { cancel(nil) }
}

func (s *Switch) watching(ctx context.Context, cancel context.CancelCauseFunc, current *table.Table, chosenServer *table.Server, news <-chan struct{}) {
	allowed := s.limits.First
	dark := false
	silent := time.NewTimer(allowed)
	defer silent.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-news:
			if allowed = s.limits.Silent; dark {
				allowed /= 8
			}
			silent.Reset(allowed)
		case <-silent.C:
			s.Counts.Silent.Add(1)
			cancel(errSilent)
			return
		case <-current.Next:
			current = s.Table()
			if lost := lost(current, chosenServer); lost != dark {
				if dark = lost; dark {
					silent.Reset(s.limits.Silent / 8)
				} else {
					silent.Reset(allowed)
				}
			}
		}
	}
}

// lost tells whether a server is dark, or another is at its name by now.
func lost(current *table.Table, chosenServer *table.Server) bool {
	now, listed := current.Servers[chosenServer.Name]
	return listed && (now.Dark || now.Addr != chosenServer.Addr)
}

// avoidSilent keeps others from a server that was silent, for a while.
func (s *Switch) avoidSilent(ctx context.Context, chosenServer *table.Server) {
	if errors.Is(context.Cause(ctx), errSilent) {
		chosenServer.Load.AvoidToMs.Store(s.Now() + s.limits.Avoid.Milliseconds())
	}
}
