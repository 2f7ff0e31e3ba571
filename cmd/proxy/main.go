// Command proxy runs on each front: it takes callers' requests
// and relays them where the newest marks say.
package main

import (
	"context"
	"net/http"
	"os"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/zap"

	"applequay/internal/connection/line"
	"applequay/internal/connection/trunk"
	"applequay/internal/process/boot"
	"applequay/internal/process/chief"
	"applequay/internal/process/plugboard"
	"applequay/internal/process/standing"
	"applequay/internal/request/cord"
	"applequay/platform"
)

func main() {
	start := platform.Start("proxy", boot.PartCallers)
	log := boot.Log("proxy", start.Settings.Name)
	ctx, stop := boot.Signals()
	defer stop()
	if err := run(ctx, start, log); err != nil {
		log.Error("stopped", zap.Error(err))
		os.Exit(boot.ExitFault)
	}
	log.Info("stopped")
}

func run(ctx context.Context, start *boot.Start, log *zap.Logger) error {
	settings := start.Settings
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	cable := trunk.New(work, standing.Identity(settings.Name), settings.Listen, settings.Listen, time.Second)
	plugs := plugboard.New(settings.Agent, cable, start.Form)
	limits := cord.LimitsFor(settings.Slots, settings.BodyKb<<10, boot.Ms(settings.HoldMs))
	limits.RetrySlack = settings.RetrySlack
	board := cord.New(limits, line.New(limits.Avoid/4), plugs, start.Speech, time.Now())
	plugs.Serve(board)

	router := mux.NewRouter()
	router.Handle("/trunk", cable.Handler(plugs.Deliver)).Methods(http.MethodPost)
	gauges := standing.New("proxy", settings.Name)
	gauges.Ready(func() bool {
		known := board.Table()
		return known.Known && len(known.Servers) > 0 && ctx.Err() == nil
	})
	standing.Trunk(gauges, cable.Counts)
	standing.Traffic(gauges, board)
	gauges.Routes(router)
	// All that callers ask goes through the chain as it came: the paths are the
	// policy's, and nothing is cleaned or redirected.
	front := mux.NewRouter().SkipClean(true)
	front.PathPrefix("/").Handler(board)
	side := settings.CallersSide(front)
	side.Leave = board.Leave
	go start.Watch(work, log, func(*boot.Boot) {})
	callers := func(context.Context) error {
		// The callers' side drains at SIGTERM; all else goes on until it has.
		err := side.Run(ctx)
		if ctx.Err() != nil {
			cancel()
			return chief.ErrDone
		}
		return err
	}
	children := append(start.Served(nil, gauges.Standing(start.ReadyPath)),
		chief.Child{Name: "plugs", Run: plugs.Run, Vital: true},
		chief.Child{Name: "callers", Run: callers},
		chief.Child{Name: "pages", Run: boot.Serve(settings.Listen, router, time.Second)},
	)
	err := chief.Run(work, log, boot.Patience, children...)
	if ctx.Err() != nil {
		return nil
	}
	return err
}
