package settings

import (
	"context"
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

// Log makes the program's log: JSON lines on standard error.
//
//	log := settings.Log("controller", settings.Name)
func Log(program, name string) *zap.Logger {
	encoding := zap.NewProductionEncoderConfig()
	encoding.TimeKey, encoding.EncodeTime = "time", zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoding), zapcore.Lock(os.Stderr), zap.InfoLevel)
	return zap.New(core).With(zap.String("program", program), zap.String("name", name))
}

// Signals returns a context that ends at SIGTERM or SIGINT.
//
//	ctx, stop := settings.Signals()
func Signals() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
}

// Wall is the clock on the wall, off by what a trial file says, if one is named.
//
//	control := eventloop.New(eventloop.Options{Wall: settings.Wall(settings.ClockTrial)})
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
