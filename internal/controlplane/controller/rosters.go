package controller

import (
	"bytes"
	"maps"
	"slices"

	"applequay/internal/controlplane/idempotency"
	"applequay/internal/transport/wire"
)

// mostRosters bounds how many lists of a pool's servers are remembered.
const mostRosters = 8

// sameWorkers tells whether two lists name the same workers.
func sameWorkers(a, b *wire.WorkerList) bool {
	return bytes.Equal(wire.Encode(&wire.WorkerList{Workers: a.Workers}), wire.Encode(&wire.WorkerList{Workers: b.Workers}))
}

// withRosters adds to a list what the servers of each pool were before: a key
// that went to one of them must not go to another now. The list in the making
// gets the version after the one kept.
func withRosters(list, kept *wire.WorkerList, version, wallMs int64) {
	open := map[string][]string{}
	for _, worker := range list.Workers {
		if !worker.Leaving {
			open[worker.Pool] = append(open[worker.Pool], idempotency.Name(worker.Name, worker.Addr))
		}
	}
	counts := map[string]int{}
	for _, roster := range slices.Backward(kept.Rosters) {
		servers, now := open[roster.Pool], roster.UntilMs == 0
		if now && slices.Equal(servers, roster.Servers) {
			delete(open, roster.Pool)
		} else if now {
			roster.UntilMs, roster.Version = max(wallMs, roster.FromMs+1), version+1
		}
		if counts[roster.Pool]++; counts[roster.Pool] <= mostRosters && (now || len(roster.Servers) > 0) {
			list.Rosters = append(list.Rosters, roster)
		}
	}
	slices.Reverse(list.Rosters)
	for _, pool := range slices.Sorted(maps.Keys(open)) {
		list.Rosters = append(list.Rosters, wire.Roster{Pool: pool, FromMs: wallMs, Servers: open[pool]})
	}
}

// believed tells whether the platform's word may be taken: a list that lost all
// its workers at once, or that is older than one taken before, comes from a
// directory that broke down, and the last good list stays.
func (c *Controller) believed(list *wire.WorkerList) bool {
	c.unbelieved = ""
	switch {
	case len(list.Workers) == 0 && len(c.listed.Workers) > 0:
		c.unbelieved = "the platform lists no worker at all"
	case list.Platform > 0 && list.Platform < c.listed.Platform:
		c.unbelieved = "the platform's list is older than the one kept"
	}
	return c.unbelieved == ""
}

// Unbelieved says why the platform's last list was not taken, if it was not.
//
//	if why := core.Unbelieved(); why != "" { ... }
func (c *Controller) Unbelieved() string { return c.unbelieved }
