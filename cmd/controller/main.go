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

	"applequay/internal/controlplane/adminapi"
	"applequay/internal/controlplane/controller"
	"applequay/internal/controlplane/eventloop"
	"applequay/internal/controlplane/health"
	"applequay/internal/controlplane/journal"
	"applequay/internal/controlplane/orders"
	"applequay/internal/settings"
	"applequay/internal/supervisor"
	"applequay/internal/transport"
	"applequay/internal/transport/wire"
	"applequay/platform"
)

// openAgain is how long a data folder that refuses to be written waits for the next
// try.
const openAgain = time.Second

func main() {
	start := platform.Start("controller", settings.PartNode|settings.PartDisk)
	log := settings.Log("controller", start.Settings.Name)
	ctx, stop := settings.Signals()
	defer stop()
	err := run(ctx, stop, start, log)
	if err == nil || errors.Is(err, context.Canceled) {
		log.Info("stopped")
		return
	}
	log.Error("stopped", zap.Error(err))
	if failed, ok := oops.AsOops(err); ok && failed.Code() == journal.ErrCorrupt {
		os.Exit(settings.ExitCorrupt)
	}
	os.Exit(settings.ExitFault)
}

func run(ctx context.Context, stop context.CancelFunc, start *settings.Start, log *zap.Logger) error {
	given := start.Settings
	folder, err := journal.OpenFolder(given.Data, settings.Ms(given.SyncFloorMs))
	if err != nil {
		return err
	}
	folder.Trial(given.DiskTrial)
	kept, found, err := openJournal(ctx, folder, given.Name)
	if err != nil {
		return err
	}
	log.Info("journal read", zap.String("identity", found.Identity), zap.Bool("fresh", found.Fresh), zap.Int("records", len(found.Writes)), zap.Int64("cut_bytes", found.CutBytes))
	var snapshot wire.Snapshot
	if err := snapshot.Unmarshal(found.Snapshot); err != nil {
		return oops.Code(journal.ErrCorrupt).Wrapf(err, "reading the checkpoint")
	}
	epoch := time.Now()
	core := controller.New(1, controller.Boot{
		ID: found.Identity, Name: given.Name, Addr: given.Advertise, Zone: given.Zone, Born: epoch.UnixMilli(), Outward: given.Listen,
		Core: given.Core, Bootstrap: given.Bootstrap, CatchUpMs: given.CatchUpMs, Seeds: given.Seeds, Partitions: given.Partitions,
		LeaseMs: given.LeaseMs, PollMs: given.PollMs, ProbeMs: given.ProbeMs, CallMs: given.CallMs, Form: start.Form,
	}, rand.New(rand.NewSource(epoch.UnixNano())), &snapshot, found.Writes)

	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	cable := transport.New(work, found.Identity, given.Advertise, given.Listen, settings.Ms(given.LeaseMs)/4, transport.ControllerDepth)
	writer := eventloop.NewWriter(kept, given.LogKb<<10, func() []byte { return wire.Encode(core.Snapshot()) })
	control := eventloop.New(eventloop.Options{Machine: core, Self: found.Identity, Cable: cable, Log: log, Writer: writer, Epoch: epoch, Tick: settings.Ms(given.TickMs), Wall: settings.Wall(given.ClockTrial)})
	clerk := orders.New(work, start.Workers(found.Identity), settings.Ms(given.PollMs)*2)
	clerk.Saw = func(seen *wire.Seen) {
		control.Deliver(transport.Arrived{From: "worker", Kind: wire.KindSeen, Body: seen})
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
	clerk.List = func(mark int64, list orders.Listing) {
		control.Do(work, func(now int64) wire.Outputs {
			core.ListCalls(list.Calls)
			out := core.Platform(now, mark, list.Workers)
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
	adminapi.Routes(router, control, start.Form, settings.Ms(given.CallMs)*2, stop)
	gauges := health.New("controller", given.Name)
	health.Trunk(gauges, cable.Counts)
	health.Control(gauges, control.Page)
	health.Journal(gauges, writer)
	gauges.Routes(router)
	operators := mux.NewRouter()
	start.Desk(operators, control, settings.Ms(given.CallMs)*2, stop)
	go start.Watch(work, log, func(next *settings.Boot) { control.Seeds(work, next.Seeds) })
	go func() {
		// SIGTERM: the members are told, partitions are handed over and what is left
		// is given back; once the core set does without this node, the rest stops.
		<-ctx.Done()
		control.Do(work, core.Leave)
		drain, look := settings.Ms(given.DrainMs), settings.Ms(given.TickMs)
		began := time.Now()
		await(min(settings.Ms(given.LeaseMs), drain/2), look, func() bool { return moved(control) })
		control.Do(work, core.Gone)
		await(drain*3/4-time.Since(began), look, func() bool { return !needed(control) })
		<-time.After(settings.Ms(given.ProbeMs))
		cancel()
	}()
	children := append(start.Served(operators, gauges.Standing(start.ReadyPath)),
		supervisor.Child{Name: "control", Run: control.Run, Vital: true},
		supervisor.Child{Name: "journal", Run: writer.Run, Vital: true},
		supervisor.Child{Name: "pages", Run: settings.Serve(given.Listen, router, time.Second)},
	)
	return supervisor.Run(work, log, settings.Patience, children...)
}

// openJournal reads the data folder; a disk that refuses to write is tried again.
func openJournal(ctx context.Context, folder journal.Disk, name string) (*journal.Journal, journal.Recovered, error) {
	for {
		kept, found, err := journal.Open(folder, health.Identity(name), controller.EmptySnapshot())
		if failed, ok := oops.AsOops(err); err == nil || !ok || failed.Code() != journal.ErrFull {
			return kept, found, err
		}
		select {
		case <-ctx.Done():
			return nil, journal.Recovered{}, ctx.Err()
		case <-time.After(openAgain):
		}
	}
}

// await waits until something is so, or too long.
func await(most, look time.Duration, so func() bool) {
	ends := time.NewTimer(most)
	defer ends.Stop()
	for {
		select {
		case <-ends.C:
			return
		case <-time.After(2 * look):
			if so() {
				return
			}
		}
	}
}

// moved tells whether all partitions are with their next owners.
func moved(control *eventloop.Position) bool {
	page := control.Page.Load()
	return page == nil || page.Moving == 0
}

// needed tells whether the core set cannot do without this node yet.
func needed(control *eventloop.Position) bool {
	page := control.Page.Load()
	return page != nil && page.Needed
}
