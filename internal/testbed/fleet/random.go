package fleet

import (
	"fmt"
	"math/rand"
	"sync/atomic"
	"time"
)

// raise sets a number that only rises; several may set it at once.
func raise(number *atomic.Int64, to int64) {
	for old := number.Load(); old < to && !number.CompareAndSwap(old, to); old = number.Load() {
	}
}

// random draws faults from the world's seed, heals all, and ends with one
// last fault.
func random(w *World) error {
	drawn := rand.New(rand.NewSource(w.Seed))
	ends := time.Now().Add(40 * time.Second)
	for time.Now().Before(ends) {
		if err := w.breakDown(drawn); err != nil {
			return err
		}
		w.Pass(time.Duration(500+drawn.Intn(2500)) * time.Millisecond)
	}
	w.Heal()
	w.Pass(4 * time.Second)
	if drawn.Intn(3) == 0 {
		return power(w)
	}
	return killCore(w)
}

// breakDown causes one fault and mends it.
func (w *World) breakDown(drawn *rand.Rand) error {
	core := w.Cores[drawn.Intn(len(w.Cores))]
	front := 1 + drawn.Intn(w.Shape.Fronts)
	board, line := fmt.Sprintf("s%d", front), fmt.Sprintf("l%d", front)
	model, app := fmt.Sprintf("w%d", 1+drawn.Intn(w.Shape.Workers)), fmt.Sprintf("b%d", 1+drawn.Intn(w.Shape.Apps))
	some := time.Duration(500+drawn.Intn(5500)) * time.Millisecond
	killed := func(names ...string) error {
		w.Kill(names...)
		w.Pass(some)
		return w.Start(names...)
	}
	frozen := func(names ...string) error {
		w.Freeze(names...)
		w.Pass(some)
		w.Thaw(names...)
		return nil
	}
	switch drawn.Intn(15) {
	case 0:
		return killed(core)
	case 1:
		return frozen(core)
	case 2:
		return killed(board, line)
	case 3:
		return frozen(board, line)
	case 4:
		return killed(line)
	case 5:
		return killed(model)
	case 6:
		return frozen(model)
	case 7:
		return frozen(app)
	case 8:
		return killed(app)
	case 9:
		if err := w.Disk(core, []string{"stall", "full", "slow 300"}[drawn.Intn(3)]); err != nil {
			return err
		}
		w.Pass(some)
		return w.Disk(core, "")
	case 10:
		w.Lossy(int64(drawn.Intn(5)), int64(drawn.Intn(30)))
		w.Pass(some)
		w.Heal()
	case 11:
		w.Cut([]string{core}, w.Cores, drawn.Intn(2) == 0)
		w.Pass(some)
		w.Heal()
	case 12:
		return killed(core, board, line, model)
	case 13:
		return w.leaveFor(model, some)
	case 14:
		// Not acknowledged is as good as not written here.
		_, _, _ = w.Write(line, nil, -1)
	}
	return nil
}

// leaveFor marks a worker as leaving for a time.
func (w *World) leaveFor(model string, some time.Duration) error {
	if err := w.Leave(model, true); err != nil {
		return err
	}
	w.Pass(some)
	return w.Leave(model, false)
}
