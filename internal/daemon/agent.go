package daemon

import (
	"context"
	"math/rand"
	"time"

	"go.uber.org/zap"

	"applequay/internal/controlplane/agent"
	"applequay/internal/controlplane/eventloop"
	"applequay/internal/controlplane/health"
	"applequay/internal/settings"
	"applequay/internal/supervisor"
	"applequay/internal/transport"
)

// Agent is an agent's state machine with its link to the other processes and what it
// serves.
type Agent struct {
	start    *settings.Start
	given    *settings.Boot
	log      *zap.Logger
	line     *agent.Agent
	messages *transport.Transport
	control  *eventloop.Loop
}

// NewAgent makes the agent that a process's settings describe; work is how long it
// sends messages.
//
//	agent := daemon.NewAgent(work, start, log)
func NewAgent(work context.Context, start *settings.Start, log *zap.Logger) *Agent {
	given, epoch := start.Settings, time.Now()
	id := health.Identity(given.Name)
	line := agent.New(1, agent.Boot{
		ID: id, Name: given.Name, Addr: given.Advertise, Zone: given.Zone, Outward: given.Listen, Born: epoch.UnixMilli(),
		Proxy: given.Proxy, Seeds: given.Seeds, Partitions: given.Partitions, Bootstrap: given.Bootstrap,
		LeaseMs: given.LeaseMs, ProbeMs: given.ProbeMs, CallMs: given.CallMs, KeyMs: given.KeyMs, LinkMbps: given.LinkMbps, Form: start.Form,
	}, rand.New(rand.NewSource(epoch.UnixNano())))
	messages := transport.New(work, id, given.Advertise, given.Listen, settings.Ms(given.LeaseMs)/4, transport.FrontDepth)
	control := eventloop.New(eventloop.Options{Machine: line, Self: id, Messages: messages, Log: log, Epoch: epoch, Tick: settings.Ms(given.TickMs), Wall: settings.Wall(given.ClockTrial)})
	return &Agent{start: start, given: given, log: log, line: line, messages: messages, control: control}
}

// Run serves until ctx ends, and then for as long as the proxy beside it takes its
// clients' leave. Stop ends ctx.
//
//	err := agent.Run(ctx, stop)
func (a *Agent) Run(ctx context.Context, stop context.CancelFunc) error {
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go func() {
		<-ctx.Done()
		settings.Beside(a.given)
		a.control.Do(work, a.line.Leave)
		<-time.After(settings.Ms(a.given.ProbeMs))
		cancel()
	}()
	return supervisor.Run(work, a.log, settings.Patience, a.children(stop)...)
}

// Seeds gives the agent other seeds.
//
//	agent.Seeds(ctx, []string{"10.0.0.7:7100"})
func (a *Agent) Seeds(ctx context.Context, seeds []string) { a.control.Seeds(ctx, seeds) }

// children are the parts that the supervisor keeps running. Operators are served here
// where no controller in the same process serves them.
func (a *Agent) children(stop context.CancelFunc) []supervisor.Child {
	served := &pages{start: a.start, listen: a.given.Listen, messages: a.messages, control: a.control, stop: stop}
	gauges := served.gauges("agent")
	children := []supervisor.Child{
		{Name: "control", Run: a.control.Run, Vital: true},
		served.nodes(gauges),
	}
	if a.given.Data != "" {
		return children
	}
	return append(children, served.operators(gauges)...)
}
