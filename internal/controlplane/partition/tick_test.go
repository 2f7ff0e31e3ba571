package partition

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// BenchmarkTickAtRest is a tick of a partition that owns all, while nothing
// changes.
func BenchmarkTickAtRest(b *testing.B) {
	w := newPool(qt.New(b), 1, 36, 12, 1)
	for i := range 36 {
		w.ask(fmt.Sprintf("m%d", i), 1000, 1)
		w.ask(fmt.Sprintf("m%d/a1", i), 300, 1)
	}
	w.tick(40000)
	for b.Loop() {
		w.now++
		w.view.Demands.Sum(w.now, w.view.Policy)
		w.p.Tick(w.now)
	}
}
