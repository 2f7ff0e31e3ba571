package health

import "applequay/internal/dataplane/pipeline"

// Traffic shows what a proxy did.
//
//	health.Traffic(gauges, proxy)
func Traffic(g *Gauges, proxy *pipeline.Proxy) {
	counts := &proxy.Counts
	g.Count("requests_total", "requests that came", func() float64 { return float64(counts.Came.Load()) })
	g.Count("requests_shed_total", "requests shed for lack of slots", func() float64 { return float64(counts.Shed.Load()) })
	g.Count("requests_held_total", "requests held for a model", func() float64 { return float64(counts.Held.Load()) })
	g.Count("requests_refused_total", "requests given up on", func() float64 { return float64(counts.Refused.Load()) })
	g.Count("shots_total", "shots at servers", func() float64 { return float64(counts.Attempts.Load()) })
	g.Count("retries_total", "shots after the first", func() float64 { return float64(counts.Retries.Load()) })
	g.Count("broken_total", "shots and streams that broke off", func() float64 { return float64(counts.Broken.Load()) })
	g.Count("pieces_total", "pieces of streams passed on", func() float64 { return float64(counts.Pieces.Load()) })
	g.Count("silent_total", "shots ended since the server was silent", func() float64 { return float64(counts.Silent.Load()) })
	g.Count("refused_early_total", "requests refused since their model cannot be up in time", func() float64 { return float64(counts.Early.Load()) })
	g.Count("late_total", "streams whose first piece came later than wanted", func() float64 { return float64(counts.Late.Load()) })
	g.Count("refused_leaving_total", "requests refused since this front leaves", func() float64 { return float64(counts.Left.Load()) })
	g.Gauge("requests_in_work", "requests in work", func() float64 { return float64(proxy.InWork()) })
	g.Gauge("policy_mark", "mark of the policy in force", func() float64 { return float64(proxy.Table().Policy.Version) })
}
