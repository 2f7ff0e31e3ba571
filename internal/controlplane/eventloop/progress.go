package eventloop

import (
	"strings"

	"go.uber.org/zap"

	"applequay/internal/controlplane/controller"
	"applequay/internal/transport/wire"
)

// How often a machine's progress is looked at, how long it may be without a core set
// before that is logged, and how often it is logged then.
const (
	progressEveryMs = 500
	coreLateMs      = 2000
	coreLateAgainMs = 10000
)

// progress is what was logged last of how far a machine is after its start.
type progress struct {
	lookedMs, lateMs int64
	epoch            int64
	configured       bool
}

// watchProgress logs each core set that the machine takes up, its first
// configuration, and that it has no core set some time after its start.
func (l *Loop) watchProgress(now int64) {
	reports, is := l.machine.(interface{ Progress() controller.Progress })
	if !is || now-l.progress.lookedMs < progressEveryMs {
		return
	}
	l.progress.lookedMs = now
	seen := reports.Progress()
	if seen.Core.Epoch != l.progress.epoch {
		l.progress.epoch = seen.Core.Epoch
		l.log.Info("core set", zap.Int64("epoch", seen.Core.Epoch), zap.Strings("voters", votersOf(seen.Core.Voters)), zap.Strings("joining", votersOf(seen.Core.Joining)))
	}
	if seen.Configuration > 0 && !l.progress.configured {
		l.progress.configured = true
		l.log.Info("first configuration", zap.Int64("version", seen.Configuration))
	}
	if seen.Core.Epoch == 0 && now-l.progress.lateMs >= l.progress.patienceMs() {
		l.progress.lateMs = now
		l.log.Warn("no core set is known", zap.String("seeds", strings.Join(seen.Seeds, ",")), zap.Int("members", seen.Members), zap.Int("controllers", seen.Controllers))
	}
}

// patienceMs is how long after the last warning, or after the start, the next may
// come.
func (p *progress) patienceMs() int64 {
	if p.lateMs == 0 {
		return coreLateMs
	}
	return coreLateAgainMs
}

// votersOf are the identities of voters.
func votersOf(voters []wire.Voter) []string {
	ids := make([]string, 0, len(voters))
	for _, voter := range voters {
		ids = append(ids, voter.ID)
	}
	return ids
}
