// Command proxy runs on each front: it takes clients' requests
// and relays them where the newest versions say.
package main

import (
	"context"
	"net/http"
	"os"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/zap"

	"applequay/internal/controlplane/health"
	"applequay/internal/dataplane/feed"
	"applequay/internal/dataplane/pipeline"
	"applequay/internal/dataplane/upstream"
	"applequay/internal/settings"
	"applequay/internal/supervisor"
	"applequay/internal/transport"
	"applequay/platform"
)

func main() {
	start := platform.Start("proxy", settings.PartClients)
	log := settings.Log("proxy", start.Settings.Name)
	ctx, stop := settings.Signals()
	defer stop()
	if err := run(ctx, start, log); err != nil {
		log.Error("stopped", zap.Error(err))
		os.Exit(settings.ExitFault)
	}
	log.Info("stopped")
}

func run(ctx context.Context, start *settings.Start, log *zap.Logger) error {
	given := start.Settings
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	messages := transport.New(work, health.Identity(given.Name), given.Listen, given.Listen, time.Second, transport.FrontDepth)
	proxyFeed := feed.New(given.Agent, messages, start.Form)
	limits := pipeline.LimitsFor(given.Slots, given.BodyKb<<10, settings.Ms(given.HoldMs))
	limits.RetrySlack = given.RetrySlack
	proxy := pipeline.New(limits, upstream.New(limits.Avoid/4), proxyFeed, start.Speech, time.Now())
	proxyFeed.Serve(proxy)

	router := mux.NewRouter()
	router.Handle("/trunk", messages.Handler(proxyFeed.Deliver)).Methods(http.MethodPost)
	gauges := health.New("proxy", given.Name)
	gauges.Ready(func() bool {
		known := proxy.Table()
		return known.Known && len(known.Servers) > 0 && ctx.Err() == nil
	})
	health.Transport(gauges, messages.Counts)
	health.Traffic(gauges, proxy)
	gauges.Routes(router)
	// All that clients ask goes through the chain as it came: the paths are the
	// policy's, and nothing is cleaned or redirected.
	front := mux.NewRouter().SkipClean(true)
	front.PathPrefix("/").Handler(proxy)
	side := given.ClientsSide(front)
	side.Leave, side.Log = proxy.Leave, log
	side.IdleTold = func() time.Duration { return settings.Ms(proxy.Table().Policy.Limits.IdleMs) }
	go start.Watch(work, log, func(*settings.Boot) {})
	clients := func(context.Context) error {
		// The clients' side drains at SIGTERM; all else goes on until it has.
		err := side.Run(ctx)
		if ctx.Err() != nil {
			cancel()
			return supervisor.ErrDone
		}
		return err
	}
	children := append(start.Served(nil, gauges.Standing(start.ReadyPath)),
		supervisor.Child{Name: "feed", Run: proxyFeed.Run, Vital: true},
		supervisor.Child{Name: "callers", Run: clients},
		supervisor.Child{Name: "pages", Run: settings.Serve(given.Listen, router, time.Second)},
	)
	err := supervisor.Run(work, log, settings.Patience, children...)
	if ctx.Err() != nil {
		return nil
	}
	return err
}
