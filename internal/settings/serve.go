package settings

import (
	"context"
	"net"
	"net/http"
	"time"

	"applequay/internal/supervisor"
)

// Serve returns a task that serves HTTP/1.1 until its context ends, then lets
// what is in work finish for as long as drain says.
//
//	child := supervisor.Child{Name: "pages", Run: settings.Serve(settings.Listen, router, 0)}
func Serve(addr string, handler http.Handler, drain time.Duration) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", addr)
		if err != nil {
			return err
		}
		server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 2 * time.Minute}
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			<-ctx.Done()
			grace, cancel := context.WithTimeout(context.Background(), drain)
			defer cancel()
			if server.Shutdown(grace) != nil {
				_ = server.Close()
			}
		}()
		if err := server.Serve(listener); err != http.ErrServerClosed {
			return err
		}
		<-stopped
		return nil
	}
}

// Patience is how a program takes faults of what it serves: it tries again
// for good, ever more slowly, and never ends by itself for that.
var Patience = supervisor.Limits{Most: 1000, Window: time.Minute, Pause: 200 * time.Millisecond}

// Served are the tasks that serve the addresses for operators and for those
// who ask whether the process is ready, as far as there are any.
//
//	children := start.Served(operators, gauges.Standing(start.ReadyPath))
func (s *Start) Served(operators, ready http.Handler) []supervisor.Child {
	var out []supervisor.Child
	if s.Settings.Operators != "" && operators != nil {
		out = append(out, supervisor.Child{Name: "operators", Run: Serve(s.Settings.Operators, operators, time.Second)})
	}
	if s.Settings.Ready != "" {
		out = append(out, supervisor.Child{Name: "ready", Run: Serve(s.Settings.Ready, ready, 0)})
	}
	return out
}

// Ms is a time of so many milliseconds.
//
//	wait := settings.Ms(settings.CallMs)
func Ms(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
