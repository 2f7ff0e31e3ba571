package eventloop

import (
	"strconv"

	"go.uber.org/zap"

	"applequay/internal/transport/wire"
)

// A clock that differs by this much from the monotonic one has jumped.
const jumpMs = 500

// watchMachine tells the others how this machine does.
func (p *Loop) watchMachine(now int64) {
	wall := p.wall()
	if p.lastNow > 0 {
		if jump := (wall - p.lastWall) - (now - p.lastNow); jump > jumpMs || jump < -jumpMs {
			p.jumped += jump
			p.log.Warn("the clock jumped", zap.Int64("by_ms", jump))
			p.machine.Fact("clock_jump_ms", strconv.FormatInt(p.jumped, 10))
		}
	}
	p.lastWall, p.lastNow = wall, now
	if now-p.looked < 2000 {
		return
	}
	p.looked = now
	if p.writer != nil {
		// Rounded, so that members are not told of every small change.
		p.machine.Fact("sync_ms", strconv.FormatInt(p.writer.LastUs.Load()/1000/50*50, 10))
	}
	if p.FreePct != nil {
		p.machine.Fact("disk_free_pct", strconv.FormatInt(p.FreePct(), 10))
	}
}

// watchDisk lets grants go while the journal is stalled or full, and takes
// them up again once it is not.
func (p *Loop) watchDisk(now int64) {
	staller, ok := p.machine.(interface {
		Stall(now int64, stalled bool) wire.Outputs
		StallMs() int64
	})
	if !ok {
		return
	}
	stalled := p.busy && now-p.busyAt > staller.StallMs()
	if stalled != p.stalled {
		p.stalled = stalled
		p.log.Warn("journal stalled", zap.Bool("stalled", stalled))
		p.perform(now, staller.Stall(now, stalled))
	}
}
