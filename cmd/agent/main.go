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

	"applequay/internal/connection/trunk"
	"applequay/internal/process/boot"
	"applequay/internal/process/chief"
	"applequay/internal/process/desk"
	"applequay/internal/process/linework"
	"applequay/internal/process/position"
	"applequay/internal/process/standing"
	"applequay/platform"
)

func main() {
	start := platform.Start("agent", boot.PartNode|boot.PartLine)
	log := boot.Log("agent", start.Settings.Name)
	ctx, stop := boot.Signals()
	defer stop()
	if err := run(ctx, stop, start, log); err != nil {
		log.Error("stopped", zap.Error(err))
		os.Exit(boot.ExitFault)
	}
	log.Info("stopped")
}

func run(ctx context.Context, stop context.CancelFunc, start *boot.Start, log *zap.Logger) error {
	settings := start.Settings
	epoch := time.Now()
	id := standing.Identity(settings.Name)
	line := linework.New(1, linework.Boot{
		ID: id, Name: settings.Name, Addr: settings.Advertise, Zone: settings.Zone, Outward: settings.Listen, Born: epoch.UnixMilli(),
		Proxy: settings.Proxy, Seeds: settings.Seeds, Partitions: settings.Partitions,
		LeaseMs: settings.LeaseMs, ProbeMs: settings.ProbeMs, CallMs: settings.CallMs, KeyMs: settings.KeyMs, Form: start.Form,
	}, rand.New(rand.NewSource(epoch.UnixNano())))
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	cable := trunk.New(work, id, settings.Advertise, settings.Listen, boot.Ms(settings.LeaseMs)/4)
	control := position.New(position.Options{Machine: line, Self: id, Cable: cable, Log: log, Epoch: epoch, Tick: boot.Ms(settings.TickMs), Wall: boot.Wall(settings.ClockTrial)})
	router := mux.NewRouter()
	router.Handle("/trunk", cable.Handler(control.Deliver)).Methods("POST")
	desk.Routes(router, control, start.Form, boot.Ms(settings.CallMs)*2, stop)
	gauges := standing.New("agent", settings.Name)
	standing.Trunk(gauges, cable.Counts)
	standing.Control(gauges, control.Page)
	gauges.Routes(router)
	operators := mux.NewRouter()
	start.Desk(operators, control, boot.Ms(settings.CallMs)*2, stop)
	go start.Watch(work, log, func(next *boot.Boot) { control.Seeds(work, next.Seeds) })
	go func() {
		// SIGTERM: the proxy beside is fed while it takes callers' leave.
		<-ctx.Done()
		boot.Beside(settings)
		control.Do(work, line.Leave)
		<-time.After(boot.Ms(settings.ProbeMs))
		cancel()
	}()
	children := append(start.Served(operators, gauges.Standing(start.ReadyPath)),
		chief.Child{Name: "control", Run: control.Run, Vital: true},
		chief.Child{Name: "pages", Run: boot.Serve(settings.Listen, router, time.Second)},
	)
	return chief.Run(work, log, boot.Patience, children...)
}
