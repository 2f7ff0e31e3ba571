package simulation

import (
	"fmt"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// playLosses plays runs of losses in turn and shows the history of those that fail.
func playLosses(c *qt.C, kinds []string, sizes []int, rounds int, from, to int64) {
	from, to = seeds(c, from, to)
	for _, kind := range kinds {
		for _, cores := range sizes {
			for seed := from; seed <= to; seed++ {
				c.Run(fmt.Sprintf("%s/%d/%d", kind, cores, seed), func(c *qt.C) {
					c.Parallel()
					w, faults := Losses{Kind: kind, Cores: cores, Rounds: rounds}.Run(seed)
					if len(faults) > 0 && os.Getenv("SIM_SHOW") != "" {
						c.Logf("%s", strings.Join(w.History, "\n"))
					}
					c.Check(faults, qt.HasLen, 0)
				})
			}
		}
	}
}

// Whichever counted machines go, for good, with their disks, in order or at once,
// the next may go once those before have had their time to catch up: nothing
// acknowledged is lost, a majority stands, and orders are taken.
func TestRollingLosses(t *testing.T) {
	t.Parallel()
	playLosses(qt.New(t), LossKinds, []int{3, 4, 5, 6, 9}, 3, 1, 1)
}
