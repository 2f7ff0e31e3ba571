// Package daemon puts the control processes together: a controller, an agent, and on a
// front machine with a disk both in one process.
package daemon

import (
	"context"
	"errors"
	"os"

	"github.com/samber/oops"
	"go.uber.org/zap"

	"applequay/internal/controlplane/journal"
	"applequay/internal/settings"
)

// member is one state machine of a process with all that carries it.
type member interface {
	Run(ctx context.Context, stop context.CancelFunc) error
	Seeds(ctx context.Context, seeds []string)
}

// RunController runs a controller until SIGTERM and ends the process on a fault.
//
//	daemon.RunController(platform.Start("controller", settings.PartNode|settings.PartDisk))
func RunController(start *settings.Start) {
	log := settings.Log("controller", start.Settings.Name)
	run(start, log, NewController(start, log))
}

// RunAgent runs an agent until SIGTERM, with a controller in the same process where the
// settings name a data folder, and ends the process on a fault.
//
//	daemon.RunAgent(platform.Start("agent", settings.PartNode|settings.PartLine|settings.PartOptionalDisk))
func RunAgent(start *settings.Start) {
	log := settings.Log("agent", start.Settings.Name)
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	members := []member{NewAgent(work, start, log)}
	if start.Settings.Data != "" {
		members = append(members, NewController(start, settings.Log("controller", start.Settings.Name)))
	}
	run(start, log, members...)
}

// run runs all members of a process until SIGTERM. A fault of one ends the process.
func run(start *settings.Start, log *zap.Logger, members ...member) {
	ctx, stop := settings.Signals()
	defer stop()
	go start.Watch(ctx, log, func(next *settings.Boot) {
		for _, one := range members {
			one.Seeds(ctx, next.Seeds)
		}
	})
	ends := make(chan error, len(members))
	for _, one := range members {
		go func() { ends <- one.Run(ctx, stop) }()
	}
	for range members {
		if err := <-ends; err != nil && !errors.Is(err, context.Canceled) {
			log.Error("stopped", zap.Error(err))
			os.Exit(statusOf(err))
		}
	}
	log.Info("stopped")
}

// statusOf is the exit status that tells a fault.
func statusOf(err error) int {
	if failed, ok := oops.AsOops(err); ok && failed.Code() == journal.ErrCorrupt {
		return settings.ExitCorrupt
	}
	return settings.ExitFault
}
