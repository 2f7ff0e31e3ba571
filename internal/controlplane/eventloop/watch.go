package eventloop

import (
	"strconv"

	"go.uber.org/zap"

	"applequay/internal/transport/wire"
)

// A clock that differs by this much from the monotonic one has jumped.
const jumpMs = 500

// watchMachine tells the others how this machine does.
func (l *Loop) watchMachine(now int64) {
	wall := l.wall()
	if l.lastNow > 0 {
		if jump := (wall - l.lastWall) - (now - l.lastNow); jump > jumpMs || jump < -jumpMs {
			l.jumped += jump
			l.log.Warn("the clock jumped", zap.Int64("by_ms", jump))
			l.machine.Fact("clock_jump_ms", strconv.FormatInt(l.jumped, 10))
		}
	}
	l.lastWall, l.lastNow = wall, now
	if now-l.looked < 2000 {
		return
	}
	l.looked = now
	if l.writer != nil {
		// Rounded, so that members are not told of every small change.
		l.machine.Fact("sync_ms", strconv.FormatInt(l.writer.LastUs.Load()/1000/50*50, 10))
	}
	if l.FreePct != nil {
		l.machine.Fact("disk_free_pct", strconv.FormatInt(l.FreePct(), 10))
	}
}

// watchDisk lets grants go while the journal is stalled or full, and takes
// them up again once it is not.
func (l *Loop) watchDisk(now int64) {
	staller, ok := l.machine.(interface {
		Stall(now int64, stalled bool) wire.Outputs
		StallMs() int64
	})
	if !ok {
		return
	}
	stalled := l.busy && now-l.busyAt > staller.StallMs()
	if stalled != l.stalled {
		l.stalled = stalled
		l.log.Warn("journal stalled", zap.Bool("stalled", stalled))
		l.perform(now, staller.Stall(now, stalled))
	}
}
