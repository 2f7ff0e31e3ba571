// Package health shows how a process stands: /standing and /metrics.
package health

import (
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"applequay/internal/controlplane/eventloop"
	"applequay/internal/controlplane/partition"
	"applequay/internal/transport"
)

// Identity makes a new identity for a name: no two starts make the same.
//
//	id := health.Identity("c1")
func Identity(name string) string {
	var random [6]byte
	_, _ = rand.Read(random[:])
	return name + "~" + hex.EncodeToString(random[:])
}

// Gauges is what one process shows.
type Gauges struct {
	registry *prometheus.Registry
	program  string
	name     string
	labels   prometheus.Labels
	ready    func() bool
}

// New makes an empty set of gauges.
//
//	gauges := health.New("controller", "c1")
func New(program, name string) *Gauges {
	return &Gauges{registry: prometheus.NewRegistry(), program: program, name: name, labels: prometheus.Labels{"program": program, "name": name}, ready: func() bool { return true }}
}

// Ready sets what decides whether the process is ready for work.
//
//	gauges.Ready(func() bool { return control.Page.Load() != nil })
func (g *Gauges) Ready(ready func() bool) { g.ready = ready }

// Count shows a number that only rises.
//
//	gauges.Count("journal_syncs_total", "syncs of the journal", func() float64 { return n })
func (g *Gauges) Count(name, help string, read func() float64) {
	g.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: "applequay", Name: name, Help: help, ConstLabels: g.labels}, read))
}

// Gauge shows a number that rises and falls.
//
//	gauges.Gauge("policy_mark", "version of the policy known here", func() float64 { return version })
func (g *Gauges) Gauge(name, help string, read func() float64) {
	g.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "applequay", Name: name, Help: help, ConstLabels: g.labels}, read))
}

// Routes adds /standing and /metrics to a router.
//
//	gauges.Routes(router)
func (g *Gauges) Routes(router *mux.Router) {
	router.Handle("/metrics", promhttp.HandlerFor(g.registry, promhttp.HandlerOpts{})).Methods(http.MethodGet)
	router.Handle("/standing", g.Standing("/standing")).Methods(http.MethodGet)
}

// Standing answers at one path whether the process is ready for work, with 200
// or 503.
//
//	child := supervisor.Child{Name: "ready", Run: settings.Serve(settings.Ready, gauges.Standing(start.ReadyPath), 0)}
func (g *Gauges) Standing(path string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != path {
			http.NotFound(w, r)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		if !g.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = w.Write([]byte(`{"standing":"not ready"}` + "\n"))
			return
		}
		_, _ = w.Write([]byte(`{"standing":"well"}` + "\n"))
	})
}

// Transport shows what a transport carried.
//
//	health.Transport(gauges, messages.Counts)
func Transport(g *Gauges, counts *transport.Counts) {
	g.Count("trunk_letters_sent_total", "letters sent to other processes", func() float64 { return float64(counts.SentMessages.Load()) })
	g.Count("trunk_batches_sent_total", "batches of letters sent", func() float64 { return float64(counts.SentBatches.Load()) })
	g.Count("trunk_bytes_sent_total", "bytes of letters sent", func() float64 { return float64(counts.SentBytes.Load()) })
	g.registry.MustRegister(&kindBytes{counts: counts, described: prometheus.NewDesc("applequay_message_bytes_total", "bytes of messages sent to other processes, by kind", []string{"kind"}, g.labels)})
	g.Count("trunk_letters_lost_total", "letters lost on the way out or in", func() float64 { return float64(counts.LostMessages.Load()) })
	g.Count("trunk_letters_heard_total", "letters taken in", func() float64 { return float64(counts.HeardMessages.Load()) })
}

// kindBytes shows what a transport sent, by kind of message.
type kindBytes struct {
	counts    *transport.Counts
	described *prometheus.Desc
}

// Describe tells the one figure that there is.
func (k *kindBytes) Describe(out chan<- *prometheus.Desc) { out <- k.described }

// Collect reads the figure of each kind that was sent.
func (k *kindBytes) Collect(out chan<- prometheus.Metric) {
	for kind, bytes := range k.counts.KindBytes() {
		out <- prometheus.MustNewConstMetric(k.described, prometheus.CounterValue, float64(bytes), strings.TrimPrefix(kind.String(), "Kind"))
	}
}

// Control shows what a control thread knows.
//
//	health.Control(gauges, control.Page)
func Control(g *Gauges, pages *eventloop.Pages) {
	g.Ready(func() bool { return pages.Load() != nil })
	number := func(read func() float64) func() float64 {
		return func() float64 {
			if pages.Load() == nil {
				return 0
			}
			return read()
		}
	}
	g.Gauge("policy_mark", "mark of the policy known here", number(func() float64 { return float64(pages.Load().Versions["policy"]) }))
	g.Gauge("core_epoch", "epoch of the core set known here", number(func() float64 { return float64(pages.Load().Core.Epoch) }))
	g.Gauge("partitions_owned", "partitions owned here", number(func() float64 { return float64(len(pages.Load().Owned)) }))
	g.Gauge("members", "members known here", number(func() float64 { return float64(len(pages.Load().Members)) }))
	g.Count("register_rounds_total", "rounds that register calls took", number(func() float64 { return float64(pages.Load().Rounds) }))
	g.Count("partition_moves_total", "partitions that this node began to hand over", number(func() float64 { return float64(pages.Load().Moves) }))
	g.Count("partition_events_total", "events that partitions logged", number(func() float64 { return float64(pages.Load().Events) }))
}

// Placement shows how a controller's partitions use the workers' room.
//
//	health.Placement(gauges, control.Page)
func Placement(g *Gauges, pages *eventloop.Pages) {
	sum := func(read func(sum *partition.Placement) int64) func() float64 {
		return func() float64 {
			page := pages.Load()
			if page == nil {
				return 0
			}
			return float64(read(&page.Placement))
		}
	}
	g.Gauge("places_ready", "models that workers hold", sum(func(s *partition.Placement) int64 { return s.Ready }))
	g.Gauge("places_coming", "models that have a place and are not loaded yet", sum(func(s *partition.Placement) int64 { return s.Coming }))
	g.Gauge("places_leaving", "models that make way", sum(func(s *partition.Placement) int64 { return s.Leaving }))
	g.Gauge("models_without_home", "models asked for that no worker has", sum(func(s *partition.Placement) int64 { return s.Homeless }))
	g.Gauge("copies_lacking", "copies more that demand calls for", sum(func(s *partition.Placement) int64 { return s.Lacking }))
	g.Gauge("store_queue", "loads that wait for a turn of the store", sum(func(s *partition.Placement) int64 { return s.StoreQueue }))
	g.Gauge("store_busy", "loads that have a turn of the store", sum(func(s *partition.Placement) int64 { return s.StoreBusy }))
}

// Journal shows what the journal did.
//
//	health.Journal(gauges, writer)
func Journal(g *Gauges, writer *eventloop.Writer) {
	g.Count("journal_syncs_total", "syncs of the journal's files", func() float64 { return float64(writer.Syncs.Load()) })
	g.Count("journal_records_total", "records made durable", func() float64 { return float64(writer.Records.Load()) })
	g.Gauge("journal_last_write_seconds", "how long the last batch took", func() float64 { return float64(writer.LastUs.Load()) / 1e6 })
}
