package settings

import (
	"context"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

// Settings are read again on the signal and when the file changes, not else;
// wrong ones change nothing.
func TestWatch(t *testing.T) {
	c := qt.New(t)
	core, logs := observer.New(zapcore.InfoLevel)
	// What is read and the file's stamp are set while the thread waits: looks are
	// handed over without a buffer.
	type state struct {
		next   *Boot
		faults []string
		stamp  string
	}
	var now atomic.Pointer[state]
	var reads atomic.Int64
	now.Store(&state{stamp: "1"})
	seen := make(chan *Boot, 8)
	w := &watch{now: &Boot{Seeds: []string{"a:1"}, DrainMs: 5}, parts: PartNode, log: zap.New(core),
		read:  func() (*Boot, []string) { reads.Add(1); return now.Load().next, now.Load().faults },
		stamp: func() string { return now.Load().stamp }, next: func(b *Boot) { seen <- b }}
	hup, looks := make(chan os.Signal), make(chan time.Time)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		w.run(ctx, hup, looks)
	}()
	// A look that has been taken means that all before it is done.
	look := func() { looks <- time.Time{}; looks <- time.Time{} }

	look()
	c.Check(reads.Load(), qt.Equals, int64(0), qt.Commentf("nothing changed"))
	now.Store(&state{next: &Boot{Seeds: []string{"b:2"}, DrainMs: 5}, stamp: "1"})
	hup <- syscall.SIGHUP
	c.Check((<-seen).Seeds, qt.DeepEquals, []string{"b:2"})
	look()
	c.Check(logs.FilterMessage("seeds changed").Len(), qt.Equals, 1)
	c.Check(logs.FilterMessage("settings changed that need a restart").Len(), qt.Equals, 0)

	now.Store(&state{next: &Boot{Seeds: []string{"b:2"}, DrainMs: 6}, stamp: "2"})
	look()
	<-seen
	c.Check(reads.Load(), qt.Equals, int64(2), qt.Commentf("a change of the file is read once"))
	restart := logs.FilterMessage("settings changed that need a restart").All()
	c.Assert(restart, qt.HasLen, 1)
	c.Check(restart[0].ContextMap()["settings"], qt.DeepEquals, []any{"drain-ms"})

	now.Store(&state{faults: []string{"line 3: Seeds: nonsense"}, stamp: "3"})
	look()
	c.Check(reads.Load(), qt.Equals, int64(3))
	c.Check(len(seen), qt.Equals, 0)
	c.Check(logs.FilterMessage("settings are wrong, the old ones stay in force").Len(), qt.Equals, 1)
	cancel()
	<-ended
	c.Check(w.now.DrainMs, qt.Equals, int64(6))
}

// SIGHUP ends no process, even before anyone watches.
func TestSignalEndsNothing(t *testing.T) {
	c := qt.New(t)
	start := Must("proxy", PartClients, fixed{})
	c.Assert(syscall.Kill(os.Getpid(), syscall.SIGHUP), qt.IsNil)
	c.Check(<-start.hup, qt.Equals, os.Signal(syscall.SIGHUP))
	c.Check(start.ReadyPath, qt.Equals, "/standing")
}

type fixed struct{}

func (fixed) Read(string, Part) (*Boot, []string) { return Defaults(PartClients), nil }
