// Command controller is a core machine: it keeps registers, votes on grants and
// owns partitions.
package main

import (
	"context"
	"errors"
	"math/rand"
	"os"
	"time"

	"github.com/gorilla/mux"
	"github.com/samber/oops"
	"go.uber.org/zap"

	"applequay/internal/connection/trunk"
	"applequay/internal/connection/wire"
	"applequay/internal/process/boot"
	"applequay/internal/process/chief"
	"applequay/internal/process/desk"
	"applequay/internal/process/frame"
	"applequay/internal/process/journal"
	"applequay/internal/process/orders"
	"applequay/internal/process/position"
	"applequay/internal/process/standing"
	"applequay/platform"
)

func main() {
	start := platform.Start("controller", boot.PartNode|boot.PartDisk)
	log := boot.Log("controller", start.Settings.Name)
	ctx, stop := boot.Signals()
	defer stop()
	err := run(ctx, stop, start, log)
	if err == nil || errors.Is(err, context.Canceled) {
		log.Info("stopped")
		return
	}
	log.Error("stopped", zap.Error(err))
	if failed, ok := oops.AsOops(err); ok && failed.Code() == journal.ErrCorrupt {
		os.Exit(boot.ExitCorrupt)
	}
	os.Exit(boot.ExitFault)
}

func run(ctx context.Context, stop context.CancelFunc, start *boot.Start, log *zap.Logger) error {
	settings := start.Settings
	folder, err := journal.OpenFolder(settings.Data, boot.Ms(settings.SyncFloorMs))
	if err != nil {
		return err
	}
	folder.Trial(settings.DiskTrial)
	kept, found, err := journal.Open(folder, standing.Identity(settings.Name), frame.EmptySnapshot())
	if err != nil {
		return err
	}
	log.Info("journal read", zap.String("identity", found.Identity), zap.Bool("fresh", found.Fresh), zap.Int("records", len(found.Writes)), zap.Int64("cut_bytes", found.CutBytes))
	var snapshot wire.Snapshot
	if err := snapshot.Unmarshal(found.Snapshot); err != nil {
		return oops.Code(journal.ErrCorrupt).Wrapf(err, "reading the checkpoint")
	}
	epoch := time.Now()
	core := frame.New(1, frame.Boot{
		ID: found.Identity, Name: settings.Name, Addr: settings.Advertise, Zone: settings.Zone, Born: epoch.UnixMilli(), Outward: settings.Listen,
		Core: settings.Core, Bootstrap: settings.Bootstrap, CatchUpMs: settings.CatchUpMs, Seeds: settings.Seeds, Partitions: settings.Partitions,
		LeaseMs: settings.LeaseMs, PollMs: settings.PollMs, ProbeMs: settings.ProbeMs, CallMs: settings.CallMs, Form: start.Form,
	}, rand.New(rand.NewSource(epoch.UnixNano())), &snapshot, found.Writes)

	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	cable := trunk.New(work, found.Identity, settings.Advertise, settings.Listen, boot.Ms(settings.LeaseMs)/4)
	writer := position.NewWriter(kept, settings.LogKb<<10, func() []byte { return wire.Encode(core.Snapshot()) })
	control := position.New(position.Options{Machine: core, Self: found.Identity, Cable: cable, Log: log, Writer: writer, Epoch: epoch, Tick: boot.Ms(settings.TickMs), Wall: boot.Wall(settings.ClockTrial)})
	clerk := orders.New(work, start.Workers(found.Identity), boot.Ms(settings.PollMs)*2)
	clerk.Saw = func(seen *wire.Seen) {
		control.Deliver(trunk.Arrived{From: "worker", Kind: wire.KindSeen, Body: seen})
	}
	// A fault of the list is logged once, when it comes and when it ends.
	unread := ""
	listFault := func(why string) {
		if why != unread {
			log.Warn("the platform's worker list", zap.String("fault", why), zap.Bool("well", why == ""))
		}
		unread = why
		core.Fact("list_fault", why)
	}
	clerk.List = func(mark int64, list *wire.WorkerList) {
		control.Do(work, func(now int64) wire.Outputs {
			out := core.Platform(now, mark, list)
			listFault(core.Unbelieved())
			return out
		})
	}
	clerk.Failed = func(err error) {
		control.Do(work, func(int64) wire.Outputs {
			listFault(err.Error())
			return wire.Outputs{}
		})
	}
	control.Special = func(now int64, send wire.Send) {
		order, ok := send.Body.(*wire.Order)
		if !ok {
			return
		}
		job := orders.Job{Order: *order, Until: time.Now().Add(time.Minute)}
		if send.To == "worker" {
			until, may := core.May(now, order)
			if !may {
				return
			}
			job.Until = time.Now().Add(time.Duration(until-now) * time.Millisecond)
		}
		clerk.Send(job)
	}

	control.FreePct = folder.FreePct
	router := mux.NewRouter()
	router.Handle("/trunk", cable.Handler(control.Deliver)).Methods("POST")
	desk.Routes(router, control, start.Form, boot.Ms(settings.CallMs)*2, stop)
	gauges := standing.New("controller", settings.Name)
	standing.Trunk(gauges, cable.Counts)
	standing.Control(gauges, control.Page)
	standing.Journal(gauges, writer)
	gauges.Routes(router)
	operators := mux.NewRouter()
	start.Desk(operators, control, boot.Ms(settings.CallMs)*2, stop)
	go start.Watch(work, log, func(next *boot.Boot) { control.Seeds(work, next.Seeds) })
	go func() {
		// SIGTERM: partitions are handed over, what is left is given back and the
		// members are told; then the rest stops.
		<-ctx.Done()
		control.Do(work, core.Leave)
		handOver(control, min(boot.Ms(settings.LeaseMs), boot.Ms(settings.DrainMs)/2), boot.Ms(settings.TickMs))
		control.Do(work, core.Gone)
		<-time.After(boot.Ms(settings.ProbeMs))
		cancel()
	}()
	children := append(start.Served(operators, gauges.Standing(start.ReadyPath)),
		chief.Child{Name: "control", Run: control.Run, Vital: true},
		chief.Child{Name: "journal", Run: writer.Run, Vital: true},
		chief.Child{Name: "pages", Run: boot.Serve(settings.Listen, router, time.Second)},
	)
	return chief.Run(work, log, boot.Patience, children...)
}

// handOver waits until all partitions are with their next owners, or too long.
func handOver(control *position.Position, most, look time.Duration) {
	ends := time.NewTimer(most)
	defer ends.Stop()
	for {
		select {
		case <-ends.C:
			return
		case <-time.After(2 * look):
			if page := control.Page.Load(); page == nil || page.Moving == 0 {
				return
			}
		}
	}
}
