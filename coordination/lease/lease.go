// Package lease gives one of several nodes the right to a duty for a time that
// a majority granted, as pure state machines. Grants are volatile: a grantor
// that starts anew grants nothing for one lease. Fences come from elsewhere, a
// register say: see Holder.Settled.
//
// The interface is stable: what is exported here changes only by addition.
package lease

import (
	"applequay/internal/controlplane/lease"
	"applequay/internal/transport/wire"
)

// The machines and what they speak in.
type (
	// Grantor is one node's vote.
	Grantor = lease.Grantor
	// Holder is a node's side of its grants.
	Holder = lease.Holder
	// Limits are the times of grants.
	Limits = lease.Limits
	// Move is one change of one duty.
	Move = lease.Move
	// Change says what changed.
	Change = lease.Change
	// Ask is what a holder sends to grantors.
	Ask = wire.GrantAsk
	// Told is a grantor's answer.
	Told = wire.GrantTold
	// Back is a holder's word that it stopped.
	Back = wire.GrantBack
	// Hold is a duty with its fence.
	Hold = wire.Hold
	// Voter is a grantor by its id.
	Voter = wire.Voter
)

// What may change: a majority keeps a duty free for this node, turns may be
// taken, or no longer.
const (
	Reserved = lease.Reserved
	Held     = lease.Held
	Lost     = lease.Lost
)

// LimitsFor derives all times from the lease.
//
//	limits := lease.LimitsFor(3200)
func LimitsFor(leaseMs int64) Limits { return lease.LimitsFor(leaseMs) }

// NewGrantor makes a grantor that begins at a moment of the monotonic clock.
//
//	grantor := lease.NewGrantor(limits, now)
func NewGrantor(limits Limits, now int64) *Grantor { return lease.NewGrantor(limits, now) }

// NewHolder makes a holder that has nothing.
//
//	holder := lease.NewHolder(limits)
func NewHolder(limits Limits) *Holder { return lease.NewHolder(limits) }
