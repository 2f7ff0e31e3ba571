// Package register is a compare-and-set register over a majority of nodes, with
// no log and no leader, as pure state machines: you bring the network, the disk
// and the clock.
//
// An Acceptor keeps one node's copy. A Proposer runs calls for any node. Both
// return Outputs: Sends may leave at once; Writes go to a disk; Then waits until
// all writes made so far are durable; Answers end calls.
//
// The interface is stable: what is exported here changes only by addition.
package register

import (
	"math/rand"

	"applequay/internal/controlplane/register"
	"applequay/internal/transport/wire"
)

// The machines and what they speak in.
type (
	// Acceptor is one node's copy of every register.
	Acceptor = register.Acceptor
	// Proposer runs calls on registers.
	Proposer = register.Proposer
	// Limits are a proposer's times.
	Limits = register.Limits
	// Outcome answers a call.
	Outcome = register.Outcome
	// Fate says how a call ended.
	Fate = register.Fate
	// CoreSet is who keeps the registers.
	CoreSet = wire.CoreSet
	// Voter is one node of a core set.
	Voter = wire.Voter
	// Ballot orders attempts.
	Ballot = wire.Ballot
	// Outputs is what one step wants done.
	Outputs = wire.Outputs
	// Record is any message; it has Marshal and Unmarshal.
	Record = wire.Record
	// AcceptorRecord is what an acceptor writes and replays.
	AcceptorRecord = wire.AcceptorRecord
)

// The fates of a call. None: certainly not applied. Unknown: it may yet apply.
const (
	Done    = register.FateDone
	Stale   = register.FateStale
	None    = register.FateNone
	Unknown = register.FateUnknown
)

// NewAcceptor makes a copy with nothing in it; Replay gives it what a journal
// held.
//
//	acceptor := register.NewAcceptor()
func NewAcceptor() *Acceptor { return register.NewAcceptor() }

// NewProposer makes a proposer for a core set. No other process may ever have
// used the id.
//
//	proposer := register.NewProposer("n1/7f3a", random, limits, core)
func NewProposer(id string, random *rand.Rand, limits Limits, core CoreSet) *Proposer {
	proposer := register.NewProposer(id, random, limits)
	proposer.Learn(core)
	return proposer
}
