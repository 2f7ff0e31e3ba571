// Command agent runs beside a proxy: it keeps the link to the
// core and the other fronts, and feeds the proxy over loopback.
package main

import (
	"context"
	"math/rand"
	"os"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/zap"

	"applequay/internal/controlplane/adminapi"
	"applequay/internal/controlplane/agent"
	"applequay/internal/controlplane/eventloop"
	"applequay/internal/controlplane/health"
	"applequay/internal/settings"
	"applequay/internal/supervisor"
	"applequay/internal/transport"
	"applequay/platform"
)

func main() {
	start := platform.Start("agent", settings.PartNode|settings.PartLine)
	log := settings.Log("agent", start.Settings.Name)
	ctx, stop := settings.Signals()
	defer stop()
	if err := run(ctx, stop, start, log); err != nil {
		log.Error("stopped", zap.Error(err))
		os.Exit(settings.ExitFault)
	}
	log.Info("stopped")
}

func run(ctx context.Context, stop context.CancelFunc, start *settings.Start, log *zap.Logger) error {
	given := start.Settings
	epoch := time.Now()
	id := health.Identity(given.Name)
	line := agent.New(1, agent.Boot{
		ID: id, Name: given.Name, Addr: given.Advertise, Zone: given.Zone, Outward: given.Listen, Born: epoch.UnixMilli(),
		Proxy: given.Proxy, Seeds: given.Seeds, Partitions: given.Partitions,
		LeaseMs: given.LeaseMs, ProbeMs: given.ProbeMs, CallMs: given.CallMs, KeyMs: given.KeyMs, Form: start.Form,
	}, rand.New(rand.NewSource(epoch.UnixNano())))
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	messages := transport.New(work, id, given.Advertise, given.Listen, settings.Ms(given.LeaseMs)/4, transport.FrontDepth)
	control := eventloop.New(eventloop.Options{Machine: line, Self: id, Cable: messages, Log: log, Epoch: epoch, Tick: settings.Ms(given.TickMs), Wall: settings.Wall(given.ClockTrial)})
	router := mux.NewRouter()
	router.Handle("/trunk", messages.Handler(control.Deliver)).Methods("POST")
	adminapi.Routes(router, control, start.Form, settings.Ms(given.CallMs)*2, stop)
	gauges := health.New("agent", given.Name)
	health.Transport(gauges, messages.Counts)
	health.Control(gauges, control.Page)
	gauges.Routes(router)
	operators := mux.NewRouter()
	start.OperatorPages(operators, control, settings.Ms(given.CallMs)*2, stop)
	go start.Watch(work, log, func(next *settings.Boot) { control.Seeds(work, next.Seeds) })
	go func() {
		// SIGTERM: the proxy beside is fed while it takes clients' leave.
		<-ctx.Done()
		settings.Beside(given)
		control.Do(work, line.Leave)
		<-time.After(settings.Ms(given.ProbeMs))
		cancel()
	}()
	children := append(start.Served(operators, gauges.Standing(start.ReadyPath)),
		supervisor.Child{Name: "control", Run: control.Run, Vital: true},
		supervisor.Child{Name: "pages", Run: settings.Serve(given.Listen, router, time.Second)},
	)
	return supervisor.Run(work, log, settings.Patience, children...)
}
