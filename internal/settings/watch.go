package settings

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"
)

// lookEvery is how often the settings file is looked at.
const lookEvery = time.Second

// Watch reads the settings again on SIGHUP, and when their file changes without
// one, until the context ends; each reading that differs and is right goes to
// next. One that is wrong changes nothing and is logged.
//
//	go start.Watch(ctx, log, func(next *settings.Boot) { seedsAre(next.Seeds) })
func (s *Start) Watch(ctx context.Context, log *zap.Logger, next func(next *Boot)) {
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	w := &watch{now: s.Settings, parts: s.parts, log: log, next: next}
	w.read = func() (*Boot, []string) { return s.source.Read(s.program, s.parts) }
	w.stamp = func() string { return stamp(s.Settings.Settings) }
	w.run(ctx, s.hup, ticker.C)
}

// stamp is what tells two states of a file apart without reading it.
func stamp(file string) string {
	if file == "" {
		return ""
	}
	info, err := os.Stat(file)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprint(info.ModTime().UnixNano(), info.Size())
}

type watch struct {
	now   *Boot
	parts Part
	log   *zap.Logger
	read  func() (*Boot, []string)
	stamp func() string
	next  func(*Boot)
}

func (w *watch) run(ctx context.Context, hup <-chan os.Signal, looks <-chan time.Time) {
	for last := w.stamp(); ; {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			last = w.stamp()
		case <-looks:
			seen := w.stamp()
			if seen == last {
				continue
			}
			last = seen
		}
		w.again()
	}
}

// again reads the settings once more.
func (w *watch) again() {
	next, faults := w.read()
	if len(faults) > 0 {
		w.log.Warn("settings are wrong, the old ones stay in force", zap.Strings("faults", faults))
		return
	}
	if names := w.now.Differences(next, w.parts); len(names) > 0 {
		w.log.Warn("settings changed that need a restart", zap.Strings("settings", names))
	}
	if !slices.Equal(w.now.Seeds, next.Seeds) {
		w.log.Info("seeds changed", zap.String("seeds", strings.Join(next.Seeds, ",")))
	}
	w.now = next
	w.next(next)
}
