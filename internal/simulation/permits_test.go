package simulation

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"applequay/internal/controlplane/partition"
	"applequay/internal/transport/wire"
)

// storeOwner is the place of the core machine that takes turns on the store's key;
// -1 if none does.
func (w *World) storeOwner() int {
	store := partition.Of(partition.StoreKey, w.Shape.Partitions)
	return slices.IndexFunc(w.cores, func(e *controllerNode) bool {
		return e.Up && slices.ContainsFunc(e.core.Page(e.Clock()).Owned, func(h wire.Hold) bool { return h.Partition == store })
	})
}

// freezeStoreOwner slows the disk of the store's owner down, and freezes it while
// permits that it gave wait for that disk.
func (w *World) freezeStoreOwner() {
	for _, e := range w.cores {
		e.slowMs = 0
	}
	if at := w.storeOwner(); at >= 0 {
		w.cores[at].slowMs = 300 + w.Random.Int63n(400)
		w.After(2000+w.Random.Int63n(1000), func() { w.Freeze(at, 3500+w.Random.Int63n(3000)) })
	}
}

// When the owner of the store's key wakes, another has the key, and the permits
// that leave now count no more. The first three seeds broke the store's rate once.
func TestStoreOwnerFreezes(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	for _, one := range []struct {
		shape Shape
		seed  int64
	}{{Brilleverk(), 2}, {Brilleverk(), 5}, {Brilleverk(), 7}, {Krizanka(), 1}} {
		from, to := seeds(c, one.seed, one.seed)
		for seed := from; seed <= to; seed++ {
			c.Run(fmt.Sprintf("%s/%d", one.shape.Name, seed), func(c *qt.C) {
				c.Parallel()
				w := New(one.shape, seed)
				ann := w.NewOperator("ann")
				w.At(4000, func() { ann.Set(-1) })
				for at := int64(5000); at < 60000; at += 50 {
					w.At(at, func() { w.Ask(w.Random.Intn(len(w.fronts)), w.item()) })
				}
				for at := int64(12000); at < 50000; at += 10000 {
					w.At(at, w.freezeStoreOwner)
				}
				w.Run(65000)
				breaches := w.Breaches()
				if len(breaches) > 0 {
					c.Logf("%s", strings.Join(w.History, "\n"))
				}
				c.Check(breaches, qt.HasLen, 0)
			})
		}
	}
}
