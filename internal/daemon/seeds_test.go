package daemon

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/gorilla/mux"
	"go.uber.org/zap"

	"applequay/internal/controlplane/eventloop"
	"applequay/internal/controlplane/orders"
	"applequay/internal/settings"
)

// Guards against a process that no longer hears of other seeds: while a controller's disk
// refused to be written, whoever told it of seeds waited for the disk, and the agent in the
// same process was told of none that came later.
func TestSeedsDoNotWaitForTheDisk(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	c.Cleanup(cancel)
	trial := filepath.Join(c.TempDir(), "trial")
	c.Assert(os.WriteFile(trial, []byte("full"), 0o600), qt.IsNil)
	given := settings.Defaults(settings.PartNode | settings.PartDisk)
	given.Name, given.Listen, given.Advertise, given.Data, given.DiskTrial = "c1", "127.0.0.1:0", "127.0.0.1:1", c.TempDir(), trial
	start := &settings.Start{Settings: given, OperatorPages: func(*mux.Router, *eventloop.Loop, time.Duration, func()) {}, Workers: func(string) orders.Workers { return orders.Native("127.0.0.1:1") }}
	controller := NewController(start, zap.NewNop())
	go func() { _ = controller.Run(ctx, cancel) }()
	told := make(chan struct{})
	go func() {
		controller.Seeds(ctx, []string{"127.0.0.1:2"})
		controller.Seeds(ctx, []string{"127.0.0.1:3"})
		close(told)
	}()
	select {
	case <-told:
	case <-time.After(5 * time.Second):
		c.Fatal("seeds wait for the disk")
	}
	c.Assert(os.Remove(trial), qt.IsNil)
	select {
	case <-controller.opened:
	case <-time.After(20 * time.Second):
		c.Fatal("the journal is not opened")
	}
	for began := time.Now(); ; <-time.After(20 * time.Millisecond) {
		if page := controller.control.Page.Load(); page != nil && len(page.Seeds) > 0 && page.Seeds[0] == "127.0.0.1:3" {
			break
		}
		if time.Since(began) > 20*time.Second {
			c.Fatal("the newest seeds are not taken up")
		}
	}
}
