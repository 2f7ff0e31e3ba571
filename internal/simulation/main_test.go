package simulation

import (
	"os"
	"runtime/debug"
	"testing"
)

// TestMain lets the heap grow ninefold before it is swept: worlds are small, and
// more than a third of the time went to the collector.
func TestMain(m *testing.M) {
	debug.SetGCPercent(800)
	os.Exit(m.Run())
}
