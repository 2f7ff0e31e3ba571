package boot

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Exit statuses of every program.
const (
	ExitFault    = 1
	ExitSettings = 2
	ExitCorrupt  = 3
)

// Must reads settings and ends the process with status 2, naming each fault.
//
//	settings := boot.Must("exchange", boot.PartNode|boot.PartDisk)
func Must(program string, parts Part) *Boot {
	settings, faults := Read(program, parts, os.Args[1:], os.Stderr)
	if len(faults) == 1 && faults[0] == "flag: help requested" {
		os.Exit(0)
	}
	if len(faults) > 0 {
		for _, fault := range faults {
			_, _ = fmt.Fprintf(os.Stderr, "%s: %s\n", program, fault)
		}
		os.Exit(ExitSettings)
	}
	return settings
}

// Log makes the program's log: JSON lines on standard error.
//
//	log := boot.Log("exchange", settings.Name)
func Log(program, name string) *zap.Logger {
	encoding := zap.NewProductionEncoderConfig()
	encoding.TimeKey, encoding.EncodeTime = "time", zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoding), zapcore.Lock(os.Stderr), zap.InfoLevel)
	return zap.New(core).With(zap.String("program", program), zap.String("name", name))
}

// Signals returns a context that ends at SIGTERM or SIGINT.
//
//	ctx, stop := boot.Signals()
func Signals() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
}

// Serve returns a task that serves HTTP/1.1 until its context ends, then lets
// what is in work finish for as long as drain says.
//
//	child := chief.Child{Name: "pages", Run: boot.Serve(settings.Listen, router, 0)}
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

// Wall is the clock on the wall, off by what a trial file says, if one is named.
//
//	control := position.New(position.Options{Wall: boot.Wall(settings.ClockTrial)})
func Wall(trial string) func() int64 {
	if trial == "" {
		return func() int64 { return time.Now().UnixMilli() }
	}
	return func() int64 {
		var off int64
		if body, err := os.ReadFile(trial); err == nil {
			off, _ = strconv.ParseInt(strings.TrimSpace(string(body)), 10, 64)
		}
		return time.Now().UnixMilli() + off
	}
}
