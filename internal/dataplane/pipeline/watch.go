package pipeline

import (
	"context"
	"errors"
	"maps"
	"sync/atomic"
	"time"

	"applequay/internal/routing"
)

var errSilent = errors.New("the server is silent")

// watcher ends an attempt at a server that is silent for too long: for the time of a
// first piece, then of the next, and for a small share of that where the server
// is known to be dark. The client's own deadline is no measure: nobody is to
// wait for it in vain.
type watcher struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	s      *Proxy
	server *routing.Server
	// other tells whether the request may go to another server, that is there.
	other func(nowMs int64) bool
	// first and silent are how long the first and the next piece may take; mute
	// is after how long a first piece is given up on if nothing at all came from
	// the server since; nought: never.
	first, silent, mute int64
	sentMs              int64
	lastMs, darkMs      atomic.Int64
	begun               atomic.Bool
	cut                 bool
	timer               *time.Timer
	// follows takes the place of one more attempt, if there can be one; nil where
	// that is not asked.
	follows func() bool
}

// watch begins to look after an attempt.
//
// An attempt is ended only where another may follow: what is late there is still
// worth something, what is begun anew elsewhere must be read again.
func (s *Proxy) watch(c *call, chosenServer *routing.Server, further bool) *watcher {
	w := &watcher{s: s, server: chosenServer, sentMs: s.Now()}
	w.ctx, w.cancel = context.WithCancelCause(c.ctx)
	w.lastMs.Store(w.sentMs)
	switch {
	case c.route.TargetMs > 0 && c.again && further:
		w.other = s.otherFor(c, chosenServer)
		w.mute = 3 * c.route.TargetMs / 2
		w.first = max(c.route.PatienceMs*2/3, 4*c.route.TargetMs)
		w.silent = max(5*c.route.PauseMs/2, c.route.TargetMs)
		w.follows = s.follows(c, chosenServer)
		w.cut = c.cut
	case c.route.TargetMs > 0 || !c.service.Model:
		return w
	default:
		w.first, w.silent = s.limits.First.Milliseconds(), s.limits.Silent.Milliseconds()
	}
	w.timer = time.AfterFunc(time.Hour, w.look)
	w.timer.Reset(time.Duration(w.step()) * time.Millisecond)
	return w
}

// follows says whether a stream of which the client has a part could go on at
// another server, and pays for that at once: where it could not, silence is no
// reason to end it.
func (s *Proxy) follows(c *call, chosenServer *routing.Server) func() bool {
	tried, service, budget := maps.Clone(c.tried), c.service, c.current.Budgets[c.service.Name]
	return func() bool {
		for _, other := range c.candidates(s.Table()) {
			if budget != nil && other.Name != chosenServer.Name && !tried[other.Name] {
				return c.paid.Load() || budget.Spend(s.Now(), service.RetryPercent, s.slack()) && c.paid.CompareAndSwap(false, true)
			}
		}
		return false
	}
}

// pay takes one more attempt from the budget, unless it was taken before.
func (s *Proxy) pay(c *call, budget *routing.Budget) bool {
	return c.paid.Swap(false) || budget.Spend(s.Now(), c.service.RetryPercent, s.slack())
}

// step is the time between looks.
func (w *watcher) step() int64 {
	if w.mute > 0 && !w.begun.Load() {
		return w.mute
	}
	return max(w.silent/16, 1)
}

func (w *watcher) moved(nowMs int64) {
	w.begun.Store(true)
	w.lastMs.Store(nowMs)
}

func (w *watcher) end() {
	if w.timer != nil {
		w.timer.Stop()
	}
	w.cancel(nil)
}

// look is what the timer does.
func (w *watcher) look() {
	now, since := w.s.Now(), w.lastMs.Load()
	allowed := w.first
	if w.begun.Load() {
		allowed = w.silent
	} else if w.mute > 0 && now-w.sentMs >= w.mute && w.server.Load.HeardMs.Load() < w.sentMs {
		allowed = w.mute
	}
	if lost(w.s.Table(), w.server) {
		if w.darkMs.CompareAndSwap(0, now); allowed > w.silent/8 {
			allowed, since = w.silent/8, max(since, w.darkMs.Load())
		}
	} else {
		w.darkMs.Store(0)
	}
	// Before its first piece an attempt ends only where another server would do better,
	// after it only where another may go on.
	begun := w.begun.Load() || w.cut
	may := now-since >= allowed && ((begun && (w.follows == nil || w.follows())) || (!begun && (w.other == nil || w.other(now))))
	if may {
		w.s.Counts.Silent.Add(1)
		w.cancel(errSilent)
		return
	}
	w.timer.Reset(time.Duration(max(min(allowed-(now-since), w.step()), w.step()/4, 1)) * time.Millisecond)
}

// lost tells whether a server is dark, or another is at its name by now.
func lost(current *routing.Table, chosenServer *routing.Server) bool {
	now, listed := current.Servers[chosenServer.Name]
	return listed && (now.Dark || now.Addr != chosenServer.Addr)
}

// avoidSilent keeps others from a server that was silent, for a while.
func (s *Proxy) avoidSilent(look *watcher, chosenServer *routing.Server) {
	if errors.Is(context.Cause(look.ctx), errSilent) {
		s.avoid(chosenServer)
	}
}

// mostSilences bounds how often the time for which a silent server is avoided doubles.
const mostSilences = 3

// noteSilence keeps requests from a server that gave no sign while one waited there
// for longer than an answer may take; for twice as long each further time, until
// something is heard from it.
func (s *Proxy) noteSilence(c *call, chosenServer *routing.Server, sentMs int64) {
	load, now := chosenServer.Load, s.Now()
	patience := s.limits.Avoid.Milliseconds()
	if c.route.TargetMs > 0 {
		patience = c.route.TargetMs
	}
	if now-sentMs < patience || load.HeardMs.Load() >= sentMs {
		return
	}
	doublings := min(load.Silences.Add(1)-1, mostSilences)
	load.AvoidToMs.Store(now + s.limits.Avoid.Milliseconds()<<doublings)
}

// otherFor tells of an attempt whether it may go elsewhere: another server that has
// the item was not tried, is not avoided and has less to do, and the budget has
// a retry left. What is given up on without that is only read again, or lost.
func (s *Proxy) otherFor(c *call, chosenServer *routing.Server) func(nowMs int64) bool {
	tried, service := maps.Clone(c.tried), c.service
	return func(nowMs int64) bool {
		current := s.Table()
		dark := lost(current, chosenServer)
		for _, server := range c.candidates(current) {
			if server.Name == chosenServer.Name || tried[server.Name] || server.Leaving || server.Dark || server.Load.AvoidToMs.Load() > nowMs {
				continue
			}
			if dark || server.Load.All(nowMs) <= chosenServer.Load.All(nowMs) {
				budget := current.Budgets[service.Name]
				return budget != nil && budget.Left(nowMs, service.RetryPercent, s.slack())
			}
		}
		return false
	}
}
