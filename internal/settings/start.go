package settings

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/gorilla/mux"

	"applequay/internal/configuration"
	"applequay/internal/controlplane/adminapi"
	"applequay/internal/controlplane/eventloop"
	"applequay/internal/controlplane/orders"
	"applequay/internal/dataplane/protocol"
)

// Source is where settings come from. Read may be called again: the settings
// may have changed. All faults come back at once.
type Source interface {
	Read(program string, parts Part) (settings *Boot, faults []string)
}

// Own is the product's own source: flags, and a file of JSON that they name.
type Own struct {
	Args []string
	Help io.Writer
}

// Read reads the flags, and the file again.
//
//	settings, faults := settings.Own{Args: os.Args[1:], Help: os.Stderr}.Read("agent", settings.PartNode|settings.PartLine)
func (o Own) Read(program string, parts Part) (*Boot, []string) {
	return Read(program, parts, o.Args, o.Help)
}

// Start is what a main program starts with: its settings, and what of it is
// spoken differently on different ground.
type Start struct {
	Settings *Boot
	// Form is how operators write policies.
	Form configuration.Form
	// OperatorPages adds the operators' pages to a router; see adminapi.Routes.
	OperatorPages func(router *mux.Router, control *eventloop.Loop, wait time.Duration, drain func())
	// Speech is how clients and servers speak.
	Speech protocol.Speech
	// Workers is how workers and the list of them are spoken to; holder names who
	// gives the orders.
	Workers func(holder string) orders.Workers
	// ReadyPath is where it is told whether a process is ready.
	ReadyPath string

	source  Source
	program string
	parts   Part
	hup     chan os.Signal
}

// Must reads settings from a source and ends the process with status 2, naming
// each fault. The rest of what comes back is the product's own.
//
//	start := settings.Must("controller", settings.PartNode|settings.PartDisk, settings.Own{Args: os.Args[1:], Help: os.Stderr})
func Must(program string, parts Part, source Source) *Start {
	start := &Start{Form: configuration.Native, Speech: protocol.Own{}, ReadyPath: "/standing", source: source, program: program, parts: parts, hup: make(chan os.Signal, 1)}
	start.OperatorPages = func(router *mux.Router, control *eventloop.Loop, wait time.Duration, drain func()) {
		adminapi.Routes(router, control, start.Form, wait, drain)
	}
	// From here on SIGHUP ends no process, whether or not anyone looks.
	signal.Notify(start.hup, syscall.SIGHUP)
	settings, faults := source.Read(program, parts)
	if len(faults) == 1 && faults[0] == "flag: help requested" {
		os.Exit(0)
	}
	if len(faults) > 0 {
		for _, fault := range faults {
			_, _ = fmt.Fprintf(os.Stderr, "%s: %s\n", program, fault)
		}
		os.Exit(ExitSettings)
	}
	start.Settings = settings
	start.Workers = func(string) orders.Workers { return orders.Native(settings.Directory) }
	settings.tune()
	return start
}

// tune sets the collector to the memory there is: it works harder long before
// the limit, and begins at a heap that grew by a share of itself.
func (b *Boot) tune() {
	debug.SetGCPercent(int(b.GrowPercent))
	if b.MemoryMb > 0 {
		debug.SetMemoryLimit(b.MemoryMb << 20 * b.HeapPercent / 100)
	}
}
