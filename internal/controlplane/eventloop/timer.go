package eventloop

import (
	"math"
	"time"
)

// never is further off than any tick.
const never = math.MaxInt64

// arm sets the timer to the next tick: a tick's time after the last, or as late as
// the machine can rest.
func (l *Loop) arm(timer *time.Timer) {
	now := l.Now()
	at := l.ticked + l.tick.Milliseconds()
	if rests, can := l.machine.(interface{ DueMs(now int64) int64 }); can {
		at = max(at, min(rests.DueMs(now), now+longestRest.Milliseconds()))
	}
	// A timer that runs out too early does no harm; one set too late does.
	if at < l.tickAt {
		l.tickAt = at
		timer.Reset(time.Duration(max(at-now, 0)) * time.Millisecond)
	}
}

// longestRest is how long the machine is left alone at most: clocks that jump are
// looked for at each tick.
const longestRest = time.Second
