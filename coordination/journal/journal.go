// Package journal keeps state on a small disk: two checkpoint slots written in
// turn and a short checksummed log between, one sync per batch. A torn tail is
// cut; damage to synced bytes is told apart from it.
//
// The interface is stable: what is exported here changes only by addition.
package journal

import (
	"time"

	"applequay/internal/controlplane/journal"
	"applequay/internal/transport/wire"
)

// The journal and what it holds.
type (
	// Journal is owned by one goroutine.
	Journal = journal.Journal
	// Disk is a data folder; bring your own for tests.
	Disk = journal.Disk
	// Recovered is what a data folder held.
	Recovered = journal.Recovered
	// Record is one record: a kind of yours and bytes.
	Record = wire.Write
	// Kind is a kind of record.
	Kind = wire.Kind
)

// Codes of errors: synced bytes are damaged; the batch may be tried again.
const (
	ErrCorrupt = journal.ErrCorrupt
	ErrFull    = journal.ErrFull
)

// OpenFolder opens, or makes, a data folder on a real disk.
//
//	folder, err := journal.OpenFolder("/var/lib/mine")
func OpenFolder(dir string) (Disk, error) { return journal.OpenFolder(dir, time.Duration(0)) }

// Open reads a data folder. An empty one gets the identity and the state given.
//
//	kept, found, err := journal.Open(folder, "node-7f3a", nothing)
func Open(disk Disk, freshIdentity string, emptyState []byte) (*Journal, Recovered, error) {
	return journal.Open(disk, freshIdentity, emptyState)
}
