package controller

import (
	"maps"
	"slices"

	"applequay/internal/transport/wire"
)

// Bounds of what is remembered of fronts: how many, for how long after they were last
// seen, and how many of those that are missing are probed at once, soon after a start and
// later.
const (
	mostPeers      = 1024
	peerMs         = 600_000
	missingAtStart = 16
	missingLater   = 1
)

// peers are the addresses of the fronts that this machine knows. They last on disk:
// fronts forget all when they end, and their seeds may be gone or know as little, so
// that after a loss of all machines a controller has to find them.
type peers struct {
	// seenMs is when each was last seen; this node's start for those read from disk.
	seenMs map[string]int64
	// seenOf is the version of the members that were looked at.
	seenOf int64
	// missing are those that are not known to be up, nextMissing is the next to be probed.
	missing     []string
	nextMissing int
}

// recallPeers takes up the fronts that were known before this start.
func (c *Controller) recallPeers() {
	c.peers = peers{seenMs: map[string]int64{}}
	for _, addr := range c.acceptor.Peers() {
		c.peers.seenMs[addr] = c.StartedMs
	}
}

// peersTick keeps account of the fronts, and probes those that are missing.
func (c *Controller) peersTick(now int64, out *wire.Outputs) {
	if !c.due(now, "peers", c.boot.ProbeMs) {
		return
	}
	note := c.due(now, "notePeers", c.boot.LeaseMs)
	if version := c.members.Version(); note || version != c.peers.seenOf {
		c.peers.seenOf = version
		c.seePeers(now)
	}
	if note {
		c.notePeers(now, out)
	}
	most := missingLater
	if now-c.StartedMs < peerStartLeases*c.boot.LeaseMs {
		most = missingAtStart
	}
	out.Add(c.members.ProbeAddrs(now, c.peers.someMissing(most)))
}

// peerStartLeases is for how many leases after a start many missing fronts are probed.
const peerStartLeases = 8

// seePeers notes which fronts are up, and which of those remembered are not.
func (c *Controller) seePeers(now int64) {
	up := map[string]bool{}
	for _, member := range c.members.Alive("agent") {
		up[member.Addr] = true
		c.peers.seenMs[member.Addr] = now
	}
	c.peers.missing = c.peers.missing[:0]
	for _, addr := range slices.Sorted(maps.Keys(c.peers.seenMs)) {
		if !up[addr] {
			c.peers.missing = append(c.peers.missing, addr)
		}
	}
}

// notePeers writes the addresses down if they are others than were written last, less
// those that were not seen for long.
func (c *Controller) notePeers(now int64, out *wire.Outputs) {
	maps.DeleteFunc(c.peers.seenMs, func(_ string, seenMs int64) bool { return now-seenMs > peerMs })
	known := slices.Sorted(maps.Keys(c.peers.seenMs))
	known = known[:min(len(known), mostPeers)]
	if !slices.Equal(known, c.acceptor.Peers()) {
		out.Add(c.acceptor.NotePeers(known))
	}
}

// someMissing are the next of the missing fronts, in turn.
func (p *peers) someMissing(most int) []string {
	var addrs []string
	for range min(most, len(p.missing)) {
		p.nextMissing = (p.nextMissing + 1) % len(p.missing)
		addrs = append(addrs, p.missing[p.nextMissing])
	}
	return addrs
}
