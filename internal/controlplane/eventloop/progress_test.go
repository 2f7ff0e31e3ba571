package eventloop

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"applequay/internal/controlplane/controller"
	"applequay/internal/transport/wire"
)

// starting is a machine that is as far as the test says.
type starting struct {
	acceptor
	at controller.Progress
}

func (s *starting) Progress() controller.Progress { return s.at }

// A process that finds no core set after its start says so, and whom it asked; once it
// has one, and a configuration, it says that too.
func TestLogsWhatAStartLacks(t *testing.T) {
	c := qt.New(t)
	core, logged := observer.New(zap.InfoLevel)
	machine := &starting{at: controller.Progress{Seeds: []string{"a:1", "b:1"}, Members: 5, Controllers: 3}}
	loop := New(Options{Machine: machine, Log: zap.New(core)})
	said := func(fromMs, untilMs int64) []string {
		for now := fromMs; now < untilMs; now += 50 {
			loop.watchProgress(now)
		}
		var out []string
		for _, entry := range logged.TakeAll() {
			out = append(out, entry.Message)
		}
		return out
	}
	c.Check(said(1, 1900), qt.HasLen, 0)
	c.Check(said(1900, 3000), qt.DeepEquals, []string{"no core set is known"})
	c.Check(said(3000, 23000), qt.DeepEquals, []string{"no core set is known", "no core set is known"})
	machine.at.Core, machine.at.Configuration = wire.CoreSet{Epoch: 4}, 9
	c.Check(said(23000, 60000), qt.DeepEquals, []string{"core set", "first configuration"})
	machine.at.Core.Epoch = 5
	c.Check(said(60000, 70000), qt.DeepEquals, []string{"core set"})
}
