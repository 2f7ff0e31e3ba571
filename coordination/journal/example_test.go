package journal_test

import (
	"fmt"
	"os"

	"applequay/coordination/journal"
)

// Two batches and a checkpoint between them, read back after a restart.
func Example() {
	dir, err := os.MkdirTemp("", "journal-")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	open := func() (*journal.Journal, journal.Recovered) {
		folder, err := journal.OpenFolder(dir)
		if err != nil {
			panic(err)
		}
		kept, found, err := journal.Open(folder, "node-1", []byte("nothing"))
		if err != nil {
			panic(err)
		}
		return kept, found
	}
	kept, _ := open()
	_ = kept.Append([]journal.Record{{Kind: 1, Body: []byte("one")}})
	_ = kept.Checkpoint([]byte("one is in"))
	_ = kept.Append([]journal.Record{{Kind: 1, Body: []byte("two")}})
	_, found := open()
	fmt.Printf("%s: %s, then %d record: %s\n", found.Identity, found.Snapshot, len(found.Writes), found.Writes[0].Body)
	// Output:
	// node-1: one is in, then 1 record: two
}
