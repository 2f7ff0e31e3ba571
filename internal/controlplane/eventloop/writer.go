package eventloop

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/samber/oops"

	"applequay/internal/controlplane/journal"
	"applequay/internal/controlplane/register"
	"applequay/internal/transport/wire"
)

type batch struct {
	writes   []wire.Write
	count    int64
	snapshot []byte
}

// Written says how many records last, or why the journal must stop.
type Written struct {
	Count int64
	Err   error
}

// Writer owns the journal on a thread of its own.
type Writer struct {
	kept     *journal.Journal
	batches  chan batch
	done     chan Written
	limit    int64
	snapshot func() []byte
	logBytes atomic.Int64
	Syncs    atomic.Int64
	Records  atomic.Int64
	LastUs   atomic.Int64
}

// NewWriter makes a writer; limit is how long the log may grow, and snapshot is
// called by the control thread.
//
//	writer := eventloop.NewWriter(kept, 4<<20, func() []byte { return wire.Encode(core.Snapshot()) })
func NewWriter(kept *journal.Journal, limit int64, snapshot func() []byte) *Writer {
	return &Writer{kept: kept, batches: make(chan batch, 1), done: make(chan Written, 1), limit: limit, snapshot: snapshot}
}

// Due tells whether the log has grown enough for a checkpoint.
//
//	if writer.Due() { ... }
func (w *Writer) Due() bool { return w.logBytes.Load() > w.limit }

// Run writes batches until the context ends. A full disk is tried again; any
// other fault ends the process.
//
//	err := writer.Run(ctx)
func (w *Writer) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case one := <-w.batches:
			began := time.Now()
			err := w.write(ctx, one)
			w.LastUs.Store(time.Since(began).Microseconds())
			w.logBytes.Store(w.kept.LogBytes())
			w.Syncs.Store(w.kept.Syncs)
			w.Records.Add(int64(len(one.writes)))
			w.done <- Written{Count: one.count, Err: err}
			if err != nil {
				return err
			}
		}
	}
}

func (w *Writer) write(ctx context.Context, one batch) error {
	for {
		var err error
		if one.snapshot != nil {
			// The snapshot holds all that the batch would say.
			err = w.kept.Checkpoint(one.snapshot)
		} else {
			err = w.kept.Append(one.writes)
		}
		if failed, ok := oops.AsOops(err); err == nil || !ok || failed.Code() != journal.ErrFull {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(time.Second):
		}
	}
}

// Do runs something on the machine's thread.
//
//	control.Do(ctx, func(now int64) wire.Outputs { return core.Leave(now) })
func (l *Loop) Do(ctx context.Context, step func(now int64) wire.Outputs) bool {
	select {
	case l.calls <- step:
		return true
	case <-ctx.Done():
		return false
	}
}

func (l *Loop) ask(ctx context.Context, start func(now, call int64) wire.Outputs) register.Outcome {
	waiter := make(chan register.Outcome, 1)
	asked := l.Do(ctx, func(now int64) wire.Outputs {
		l.next++
		l.answers[l.next] = waiter
		return start(now, l.next)
	})
	if !asked {
		return register.Outcome{Fate: register.FateNone}
	}
	select {
	case outcome := <-waiter:
		return outcome
	case <-ctx.Done():
		return register.Outcome{Fate: register.FateUnknown}
	}
}

// Write is one compare-and-set as clients ask for it; without a name it gets a
// fresh one, so that it is another write than all before.
type Write = register.Write

// Change runs a compare-and-set and waits for its outcome.
//
//	outcome := control.Change(ctx, eventloop.Write{Key: controller.PolicyKey, Expected: 7, Body: body})
func (l *Loop) Change(ctx context.Context, asked Write) register.Outcome {
	outcome := l.ask(ctx, func(now, call int64) wire.Outputs { return l.machine.Change(now, call, asked) })
	l.learnt(ctx, asked.Key, outcome)
	return outcome
}

// Read reads a register at a majority and waits for its outcome.
//
//	outcome := control.Read(ctx, controller.PolicyKey)
func (l *Loop) Read(ctx context.Context, key string) register.Outcome {
	outcome := l.ask(ctx, func(now, call int64) wire.Outputs { return l.machine.Read(now, call, key) })
	l.learnt(ctx, key, outcome)
	return outcome
}

func (l *Loop) learnt(ctx context.Context, key string, outcome register.Outcome) {
	if outcome.Fate == register.FateDone && outcome.Has {
		l.Do(ctx, func(now int64) wire.Outputs { return l.machine.Learnt(now, key, outcome.Value) })
	}
}
