package daemon

import (
	"context"
	"time"

	"github.com/gorilla/mux"

	"applequay/internal/controlplane/adminapi"
	"applequay/internal/controlplane/eventloop"
	"applequay/internal/controlplane/health"
	"applequay/internal/settings"
	"applequay/internal/supervisor"
	"applequay/internal/transport"
)

// pages are what a member serves: to other processes, to operators and to those who
// ask for its figures. Stop ends the process.
type pages struct {
	start    *settings.Start
	listen   string
	messages *transport.Transport
	control  *eventloop.Loop
	stop     context.CancelFunc
}

// gauges are the figures that every member shows.
func (p *pages) gauges(program string) *health.Gauges {
	gauges := health.New(program, p.start.Settings.Name)
	health.Transport(gauges, p.messages.Counts)
	health.Control(gauges, p.control.Page)
	return gauges
}

// patience is how long an operator's call may take.
func (p *pages) patience() time.Duration { return settings.Ms(p.start.Settings.CallMs) * 2 }

// nodes serves other processes, and the product's own pages beside.
func (p *pages) nodes(gauges *health.Gauges) supervisor.Child {
	router := mux.NewRouter()
	router.Handle("/trunk", p.messages.Handler(p.control.Deliver)).Methods("POST")
	adminapi.Routes(router, p.control, p.start.Form, p.patience(), p.stop)
	gauges.Routes(router)
	return supervisor.Child{Name: "pages", Run: settings.Serve(p.listen, router, time.Second)}
}

// operators serves those who operate the platform, and tells whether this process is
// ready, where there are addresses for that.
func (p *pages) operators(gauges *health.Gauges) []supervisor.Child {
	router := mux.NewRouter()
	p.start.OperatorPages(router, p.control, p.patience(), p.stop)
	return p.start.Served(router, gauges.Standing(p.start.ReadyPath))
}
