package simulation

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// What an opening names is loaded before its moment, on a fleet that nobody
// asks anything of, though a core machine's clock jumps by hours.
func TestOpeningIsReadyInTime(t *testing.T) {
	t.Parallel()
	each(qt.New(t), func(c *qt.C, shape Shape) {
		w := New(shape, 17)
		moment := int64(40000)
		var items []string
		for i := range 20 {
			items = append(items, fmt.Sprintf("m%d", i))
		}
		w.openings = []any{map[string]any{"name": "crossword", "at": time.UnixMilli(moment).UTC().Format(time.RFC3339), "models": items, "adapters": []string{"a1", "a2"}, "lead_ms": 20000, "last_ms": 60000, "weights": map[string]int64{"ann-1": 9}}}
		ann := w.NewOperator("ann")
		w.At(4000, func() { ann.Set(-1) })
		w.At(9000, func() { w.cores[0].WallMs = 5 * 3600 * 1000 })
		w.Run(moment - 20500)
		c.Check(w.Counts.Loads, qt.Equals, int64(0), qt.Commentf("not before the lead, whatever one clock says"))
		w.Run(moment)
		for _, item := range append(items, "a1", "a2") {
			c.Check(w.fronts[0].holds(item), qt.IsTrue, qt.Commentf("%s is not up", item))
		}
		calm(c, w)
	})
}
