package daemon

import (
	"context"
	"math/rand"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
	"go.uber.org/zap"

	"applequay/internal/controlplane/controller"
	"applequay/internal/controlplane/eventloop"
	"applequay/internal/controlplane/health"
	"applequay/internal/controlplane/journal"
	"applequay/internal/controlplane/orders"
	"applequay/internal/settings"
	"applequay/internal/supervisor"
	"applequay/internal/transport"
	"applequay/internal/transport/wire"
)

// openAgain is how long a data folder that refuses to be written waits for the next
// try.
const openAgain = time.Second

// Controller is a controller's state machine with its journal, its link to the other
// processes and what it serves.
type Controller struct {
	start *settings.Start
	given *settings.Boot
	log   *zap.Logger
	// listen is where it listens for other processes, advertise how they reach it.
	listen, advertise string
	// opened is closed once the journal was read and the state machine made; seeds are
	// those of settings that were read again since the start.
	opened   chan struct{}
	seeds    atomic.Pointer[[]string]
	folder   *journal.Folder
	core     *controller.Controller
	messages *transport.Transport
	writer   *eventloop.Writer
	control  *eventloop.Loop
	// unread is the fault of the platform's list that was logged last.
	unread string
}

// NewController makes the controller that a process's settings describe. Where an agent
// runs in the same process, the controller listens at an address of its own.
//
//	controller := daemon.NewController(start, log)
func NewController(start *settings.Start, log *zap.Logger) *Controller {
	listen, advertise := start.Settings.Listen, start.Settings.Advertise
	if start.Settings.VoterListen != "" {
		listen, advertise = start.Settings.VoterListen, start.Settings.VoterListen
	}
	return &Controller{start: start, given: start.Settings, log: log, listen: listen, advertise: advertise, opened: make(chan struct{})}
}

// Run opens the journal and serves until ctx ends; it then leaves in order. Stop ends
// ctx.
//
//	err := controller.Run(ctx, stop)
func (c *Controller) Run(ctx context.Context, stop context.CancelFunc) error {
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	if err := c.open(ctx, work); err != nil {
		return err
	}
	close(c.opened)
	if seeds := c.seeds.Load(); seeds != nil {
		go c.control.Seeds(work, *seeds)
	}
	go c.tellPlacement(work)
	go func() {
		<-ctx.Done()
		c.leave(work)
		cancel()
	}()
	return supervisor.Run(work, c.log, settings.Patience, c.children(stop)...)
}

// Seeds gives the controller other seeds; while its journal cannot be opened they wait.
//
//	controller.Seeds(ctx, []string{"10.0.0.7:7100"})
func (c *Controller) Seeds(ctx context.Context, seeds []string) {
	c.seeds.Store(&seeds)
	select {
	case <-c.opened:
		c.control.Seeds(ctx, seeds)
	default:
	}
}

// open reads the journal, for as long as ctx lets it try, and makes the state
// machine and what carries for it while work lasts.
func (c *Controller) open(ctx, work context.Context) error {
	given := c.given
	folder, err := journal.OpenFolder(given.Data, settings.Ms(given.SyncFloorMs))
	if err != nil {
		return err
	}
	folder.Trial(given.DiskTrial)
	kept, found, err := openJournal(ctx, folder, given.Name)
	if err != nil {
		return err
	}
	c.log.Info("journal read", zap.String("identity", found.Identity), zap.Bool("fresh", found.Fresh), zap.Int("records", len(found.Writes)), zap.Int64("cut_bytes", found.CutBytes))
	var snapshot wire.Snapshot
	if err = snapshot.Unmarshal(found.Snapshot); err != nil {
		return oops.Code(journal.ErrCorrupt).Wrapf(err, "reading the checkpoint")
	}
	epoch := time.Now()
	c.core = controller.New(1, controller.Boot{
		ID: found.Identity, Name: given.Name, Addr: c.advertise, Zone: given.Zone, Born: epoch.UnixMilli(), Outward: c.listen,
		Core: given.Core, Bootstrap: given.Bootstrap, CatchUpMs: given.CatchUpMs, Seeds: given.Seeds, Partitions: given.Partitions,
		LeaseMs: given.LeaseMs, PollMs: given.PollMs, ProbeMs: given.ProbeMs, CallMs: given.CallMs, ListPerS: given.ListPerS, Form: c.start.Form,
	}, rand.New(rand.NewSource(epoch.UnixNano())), &snapshot, found.Writes)
	c.folder = folder
	c.messages = transport.New(work, found.Identity, c.advertise, c.listen, settings.Ms(given.LeaseMs)/4, transport.ControllerDepth)
	c.writer = eventloop.NewWriter(kept, given.LogKb<<10, func() []byte { return wire.Encode(c.core.Snapshot()) })
	c.control = eventloop.New(eventloop.Options{Machine: c.core, Self: found.Identity, Messages: c.messages, Log: c.log, Writer: c.writer, Epoch: epoch, Tick: settings.Ms(given.TickMs), Wall: settings.Wall(given.ClockTrial)})
	c.control.FreePct = folder.FreePct
	c.giveOrders(work, orders.New(work, c.start.Workers(found.Identity), settings.Ms(given.PollMs)*2))
	return nil
}

// giveOrders ties the clerk, who speaks to workers and reads their list, to the
// state machine.
func (c *Controller) giveOrders(work context.Context, clerk *orders.Dispatcher) {
	clerk.Saw = func(seen *wire.Seen) {
		c.control.Deliver(transport.Arrived{From: "worker", Kind: wire.KindSeen, Body: seen})
	}
	clerk.List = func(version int64, list orders.Listing) {
		c.control.Do(work, func(now int64) wire.Outputs {
			c.core.ListCalls(list.Calls)
			out := c.core.Platform(now, version, list.Workers)
			c.listFault(c.core.Unbelieved())
			return out
		})
	}
	clerk.Failed = func(err error) {
		c.control.Do(work, func(int64) wire.Outputs {
			c.listFault(err.Error())
			return wire.Outputs{}
		})
	}
	c.control.Leaves = c.core.Leaves
	c.control.Special = func(now int64, send wire.Send) {
		order, ok := send.Body.(*wire.Order)
		if !ok {
			return
		}
		job := orders.Job{Order: *order, Until: time.Now().Add(time.Minute)}
		if send.To == "worker" {
			until, may := c.core.May(now, order)
			if !may {
				return
			}
			job.Until = time.Now().Add(time.Duration(until-now) * time.Millisecond)
		}
		clerk.Send(job)
	}
}

// listFault tells of a fault of the list, and logs it once when it comes and
// once when it ends.
func (c *Controller) listFault(why string) {
	if why != c.unread {
		c.log.Warn("the platform's worker list", zap.String("fault", why), zap.Bool("well", why == ""))
	}
	c.unread = why
	c.core.Fact("list_fault", why)
}

// children are the parts that the supervisor keeps running.
func (c *Controller) children(stop context.CancelFunc) []supervisor.Child {
	served := &pages{start: c.start, listen: c.listen, messages: c.messages, control: c.control, stop: stop}
	gauges := served.gauges("controller")
	health.Placement(gauges, c.control.Page)
	health.Journal(gauges, c.writer)
	return append(served.operators(gauges),
		supervisor.Child{Name: "control", Run: c.control.Run, Vital: true},
		supervisor.Child{Name: "journal", Run: c.writer.Run, Vital: true},
		served.nodes(gauges),
	)
}

// leave ends in order: the members are told, partitions are handed over and what
// is left is given back; once the core set does without this node, the rest stops.
func (c *Controller) leave(work context.Context) {
	c.control.Do(work, c.core.Leave)
	drain, look := settings.Ms(c.given.DrainMs), settings.Ms(c.given.TickMs)
	began := time.Now()
	await(min(settings.Ms(c.given.LeaseMs), drain/2), look, func() bool { return moved(c.control) })
	c.control.Do(work, c.core.Gone)
	await(drain*3/4-time.Since(began), look, func() bool { return !needed(c.control) })
	<-time.After(settings.Ms(c.given.ProbeMs))
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
func moved(control *eventloop.Loop) bool {
	page := control.Page.Load()
	return page == nil || page.Moving == 0
}

// needed tells whether the core set cannot do without this node yet.
func needed(control *eventloop.Loop) bool {
	page := control.Page.Load()
	return page != nil && page.Needed
}
