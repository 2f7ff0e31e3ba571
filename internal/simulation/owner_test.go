package simulation

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// With a single partition its owner has all keys, so it can go on ordering for
// as long as it believes itself owner, whoever else does too. It is drained,
// cut off, frozen and killed in turn, while others restart and lose their disks.
func TestOneOwner(t *testing.T) {
	t.Parallel()
	each(qt.New(t), func(c *qt.C, shape Shape) {
		for seed := int64(1); seed <= 2; seed++ {
			shape.Partitions, shape.RoomMb = 1, 3000
			w := New(shape, seed)
			ann := w.NewOperator("ann")
			w.At(4000, func() { ann.Set(-1) })
			for at := int64(5000); at < 120000; at += 60 {
				w.At(at, func() { w.Ask(w.Random.Intn(len(w.fronts)), w.item()) })
			}
			turn := 0
			for at := int64(12000); at < 110000; at += 9000 {
				w.At(at, func() {
					// The second run only drains: owners then change fastest.
					w.troubleOwner(turn * int(2-seed))
					turn++
				})
			}
			w.Run(120000)
			owners := map[string]bool{}
			for _, one := range w.facts.orders {
				owners[one.Owner] = true
			}
			c.Check(len(owners) > 1, qt.IsTrue, qt.Commentf("%d owners gave orders", len(owners)))
			late := 0
			for _, one := range w.facts.orders {
				if one.At > 30000 {
					late++
				}
			}
			c.Check(late > 10, qt.IsTrue, qt.Commentf("only %d orders after the first changes of owner", late))
			calm(c, w)
		}
	})
}

func (w *World) troubleOwner(turn int) {
	owner := -1
	for at, e := range w.cores {
		if e.Up && len(e.core.Page(e.Clock()).Owned) > 0 {
			owner = at
		}
	}
	if owner < 0 {
		return
	}
	other := (owner + 1) % len(w.cores)
	switch turn % 6 {
	case 0:
		w.Drain(owner)
		w.After(2500, func() { w.Restart(owner, false) })
	case 1:
		w.Note("%s is cut off from the core", w.cores[owner].Name)
		for _, e := range w.cores {
			if e != w.cores[owner] {
				w.Cut(e.Addr, w.cores[owner].Addr, true)
				w.Cut(w.cores[owner].Addr, e.Addr, true)
			}
		}
		w.After(500, func() { w.Crash(other, true) })
		w.After(900, func() { w.Restart(other, false) })
		w.After(7000, w.Heal)
	case 2:
		w.Freeze(owner, 2500)
	case 3:
		w.Crash(owner, true)
		w.After(700, func() { w.Restart(owner, false) })
	case 4:
		w.Freeze(owner, 6500)
	case 5:
		w.loseDisk(owner)
	}
}
