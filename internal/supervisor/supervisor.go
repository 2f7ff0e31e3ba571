// Package supervisor is the supervisor tree: it runs children, starts again those
// that break down, and gives up, upwards, on one that breaks down too often.
package supervisor

import (
	"context"
	"errors"
	"time"

	"github.com/samber/oops"
	"go.uber.org/zap"
)

// Child is one branch: a task, or a tree of its own.
type Child struct {
	Name string
	Run  func(ctx context.Context) error
	// Vital children end the whole tree when they break down.
	Vital bool
}

// Limits say how often a child may break down: more than Most times within
// Window ends the tree. Pause grows with each fault in the window.
type Limits struct {
	Most   int
	Window time.Duration
	Pause  time.Duration
}

// ErrDone is what a child returns that has done all it had to do.
var ErrDone = errors.New("done")

type ended struct {
	at  int
	err error
}

// Run keeps the children running until the context ends or the tree gives up;
// it returns once all have stopped.
//
//	err := supervisor.Run(ctx, log, limits, supervisor.Child{Name: "control", Run: control.Run, Vital: true})
func Run(ctx context.Context, log *zap.Logger, limits Limits, children ...Child) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ends := make(chan ended)
	start := func(at int, pause time.Duration) {
		go func() {
			if pause > 0 {
				select {
				case <-ctx.Done():
					ends <- ended{at: at, err: nil}
					return
				case <-time.After(pause):
				}
			}
			ends <- ended{at: at, err: children[at].Run(ctx)}
		}()
	}
	for at := range children {
		start(at, 0)
	}
	faults := make([][]time.Time, len(children))
	var verdict error
	for running := len(children); running > 0; {
		end := <-ends
		child := children[end.at]
		switch {
		case ctx.Err() != nil || errors.Is(end.err, ErrDone):
			running--
			continue
		case child.Vital:
			running--
			verdict = oops.With("child", child.Name).Wrapf(end.err, "%s ended", child.Name)
			if end.err == nil {
				verdict = oops.Errorf("%s ended", child.Name)
			}
			cancel()
			continue
		}
		now := time.Now()
		recent := faults[end.at][:0:0]
		for _, past := range faults[end.at] {
			if now.Sub(past) < limits.Window {
				recent = append(recent, past)
			}
		}
		faults[end.at] = append(recent, now)
		log.Warn("child ended", zap.String("child", child.Name), zap.Error(end.err), zap.Int("breakdowns", len(recent)+1))
		if len(recent)+1 > limits.Most {
			running--
			verdict = oops.Errorf("%s broke down %d times within %s", child.Name, len(recent)+1, limits.Window)
			cancel()
			continue
		}
		start(end.at, limits.Pause*time.Duration(len(recent)+1))
	}
	return verdict
}
