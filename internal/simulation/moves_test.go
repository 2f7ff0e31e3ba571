package simulation

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"applequay/internal/controlplane/partition"
)

func (w *World) ownedCounts() []int {
	var out []int
	for _, e := range w.cores {
		out = append(out, len(e.core.Page(e.Clock()).Owned))
	}
	return out
}

// evened checks that no further move is due: counts differ by less than two; or
// by less than a whole share, and all that the fullest node owns orders workers.
func (w *World) evened(c *qt.C) {
	orders := map[int64]bool{}
	for _, one := range w.workers {
		orders[partition.Of(partition.WorkerKey(one.Name), 12)] = true
	}
	counts := w.ownedCounts()
	most, least := slices.Max(counts), slices.Min(counts)
	if most-least < 2 {
		return
	}
	c.Check(most-least < 12/len(w.cores), qt.IsTrue, qt.Commentf("%v", counts))
	for at, e := range w.cores {
		for _, hold := range e.core.Page(e.Clock()).Owned {
			c.Check(counts[at]-least < 2 || orders[hold.Partition], qt.IsTrue, qt.Commentf("%v: %d orders no worker and stays at a full node", counts, hold.Partition))
		}
	}
}

// A core machine that was away for long gets a good part of its share of
// partitions back, one move at a time, with their state; nothing is loaded a
// second time for it. Partitions that order workers do not move for evenness.
func TestMovesBalance(t *testing.T) {
	t.Parallel()
	each(qt.New(t), func(c *qt.C, shape Shape) {
		w := steady(shape, 21, 15000)
		w.Crash(0, true)
		w.Run(30000)
		w.Restart(0, false)
		w.Run(100000)
		moves := int64(0)
		for _, e := range w.cores {
			moves += e.core.Moves
		}
		total := 0
		for _, count := range w.ownedCounts() {
			total += count
			c.Check(count >= 12/len(w.cores)/2 && count <= 12/len(w.cores)+2, qt.IsTrue, qt.Commentf("%v", w.ownedCounts()))
		}
		c.Check(total, qt.Equals, 12)
		c.Check(moves >= 1 && moves <= 6, qt.IsTrue, qt.Commentf("%d moves", moves))
		w.evened(c)
		calm(c, w)
	})
}

// A move whose next owner dies, or whose old owner dies in the middle, loses no
// partition; the sealed state takes no turns under its old fence.
func TestMovesThatFail(t *testing.T) {
	t.Parallel()
	each(qt.New(t), func(c *qt.C, shape Shape) {
		for _, dies := range []string{"next", "old", "both"} {
			w := steady(shape, 22, 15000)
			w.Drain(0)
			w.Run(w.NowMs + 30)
			if dies != "old" {
				w.Crash(1, true)
			}
			if dies != "next" {
				w.Crash(0, true)
			}
			w.Run(w.NowMs + 1500)
			w.Restart(0, false)
			w.Restart(1, false)
			w.Run(w.NowMs + 25000)
			total := 0
			for _, count := range w.ownedCounts() {
				total += count
			}
			c.Check(total, qt.Equals, 12, qt.Commentf("%s: %v", dies, w.ownedCounts()))
			calm(c, w)
		}
	})
}
