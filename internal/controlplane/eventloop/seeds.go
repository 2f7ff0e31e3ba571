package eventloop

import (
	"context"

	"applequay/internal/transport/wire"
)

// seeded is a machine that takes other seeds while it runs.
type seeded interface{ SetSeeds(seeds []string) }

// Seeds gives the machine other seeds, if it takes any.
//
//	control.Seeds(ctx, []string{"127.0.0.1:7100"})
func (l *Loop) Seeds(ctx context.Context, seeds []string) {
	machine, ok := l.machine.(seeded)
	if !ok {
		return
	}
	l.Do(ctx, func(int64) wire.Outputs {
		machine.SetSeeds(seeds)
		return wire.Outputs{}
	})
}
