// Package grant gives one of several nodes the right to a duty for a time that
// a majority granted, as pure state machines. Grants are volatile: a granter
// that starts anew grants nothing for one lease. Fences come from elsewhere, a
// register say: see Holder.Settled.
//
// The interface is stable: what is exported here changes only by addition.
package grant

import (
	"applequay/internal/connection/wire"
	"applequay/internal/process/grant"
)

// The machines and what they speak in.
type (
	// Granter is one node's vote.
	Granter = grant.Granter
	// Holder is a node's side of its grants.
	Holder = grant.Holder
	// Limits are the times of grants.
	Limits = grant.Limits
	// Move is one change of one duty.
	Move = grant.Move
	// Change says what changed.
	Change = grant.Change
	// Ask is what a holder sends to granters.
	Ask = wire.GrantAsk
	// Told is a granter's answer.
	Told = wire.GrantTold
	// Back is a holder's word that it stopped.
	Back = wire.GrantBack
	// Hold is a duty with its fence.
	Hold = wire.Hold
	// Seat is a granter by its id.
	Seat = wire.Seat
)

// What may change: a majority keeps a duty free for this node, turns may be
// taken, or no longer.
const (
	Reserved = grant.Reserved
	Held     = grant.Held
	Lost     = grant.Lost
)

// LimitsFor derives all times from the lease.
//
//	limits := grant.LimitsFor(3200)
func LimitsFor(leaseMs int64) Limits { return grant.LimitsFor(leaseMs) }

// NewGranter makes a granter that begins at a moment of the monotonic clock.
//
//	granter := grant.NewGranter(limits, now)
func NewGranter(limits Limits, now int64) *Granter { return grant.NewGranter(limits, now) }

// NewHolder makes a holder that has nothing.
//
//	holder := grant.NewHolder(limits)
func NewHolder(limits Limits) *Holder { return grant.NewHolder(limits) }
