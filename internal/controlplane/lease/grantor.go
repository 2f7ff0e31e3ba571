// Package lease gives out the right to a partition for LeaseMs at a time. The
// grantor's side is volatile; the fence comes from a register.
package lease

import (
	"slices"

	"applequay/internal/transport/wire"
)

// Limits are the times of grants. MarginMs is how long before a grant's end its
// holder stops.
type Limits struct {
	LeaseMs, MarginMs, RenewMs int64
}

// LimitsFor derives all times from the lease.
//
//	limits := lease.LimitsFor(3200)
func LimitsFor(leaseMs int64) Limits {
	return Limits{LeaseMs: leaseMs, MarginMs: leaseMs / 8, RenewMs: leaseMs / 8}
}

type given struct {
	holder string
	fence  int64
	until  int64
	op     int64 // of the ask that it answers
}

// Grantor is one controller's vote on who may own a partition.
type Grantor struct {
	limits  Limits
	quietTo int64
	table   map[int64]given
}

// NewGrantor makes a grantor that grants nothing for one lease, so that what it
// gave before a restart has run out.
//
//	grantor := lease.NewGrantor(limits, now)
func NewGrantor(limits Limits, now int64) *Grantor {
	return &Grantor{limits: limits, quietTo: now + limits.LeaseMs, table: map[int64]given{}}
}

// Quiet begins the time without grants anew: a grantor that was just admitted does
// not know what the one before it in that place had granted.
//
//	grantor.Quiet(now)
func (g *Grantor) Quiet(now int64) { g.quietTo = max(g.quietTo, now+g.limits.LeaseMs) }

// Ask answers a holder's renewals, or a candidate's claims.
//
//	told := grantor.Ask(now, "c1~7f", &wire.GrantAsk{Op: 4, Holds: holds})
func (g *Grantor) Ask(now int64, from string, asked *wire.GrantAsk) *wire.GrantTold {
	told := &wire.GrantTold{Op: asked.Op}
	if now < g.quietTo {
		told.QuietMs = g.quietTo - now
		return told
	}
	for _, hold := range asked.Holds {
		kept := g.table[hold.Partition]
		live := kept.until > now
		if (live && kept.holder != from) || hold.Fence < kept.fence {
			told.Refused = append(told.Refused, wire.Refusal{Partition: hold.Partition, Holder: kept.holder, Fence: kept.fence, LeftMs: max(kept.until-now, 0)})
			continue
		}
		g.table[hold.Partition] = given{holder: from, fence: hold.Fence, until: now + g.limits.LeaseMs, op: asked.Op}
		told.Granted = append(told.Granted, hold)
	}
	return told
}

// Back takes a holder's word that it stopped. It ends only a grant that answers
// one of the asks given back: a word that comes late says nothing of a grant that
// the same holder got since.
//
//	grantor.Back(now, "c1~7f", &wire.GrantBack{Holds: holds})
func (g *Grantor) Back(now int64, from string, back *wire.GrantBack) {
	for at, hold := range back.Holds {
		if at >= len(back.Asks) {
			return
		}
		asks := back.Asks[at]
		if kept := g.table[hold.Partition]; kept.holder == from && asks.First <= kept.op && kept.op <= asks.Last {
			kept.until = min(kept.until, now)
			g.table[hold.Partition] = kept
		}
	}
}

// Holder returns who this grantor thinks holds a partition now.
//
//	id, fence := grantor.Holder(now, 3)
func (g *Grantor) Holder(now, partition int64) (string, int64) {
	if kept, ok := g.table[partition]; ok && kept.until > now {
		return kept.holder, kept.fence
	}
	return "", 0
}

func sortedKeys[V any](table map[int64]V) []int64 {
	keys := make([]int64, 0, len(table))
	for key := range table {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
