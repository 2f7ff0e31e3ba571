package partition

import "applequay/internal/transport/wire"

// storeBurst is how many loads may begin at once after a pause; the store's
// bound is looser by as many more, for orders that take a little longer.
const storeBurst = 2

// gapUs is the time between the loads that the store's pace allows, in
// microseconds; nought where only sizes and turns bound them.
func (p *Partition) gapUs() int64 {
	if pace := p.view.Policy.Store.LoadsPer1000S; pace > 0 {
		return max(1_000_000_000/pace, 1)
	}
	return 0
}

// handingPolls is for how many polls, in halves, a turn is held beyond the load itself:
// until its room is seen to be free, the order has left, and a look shows the model.
const handingPolls = 3

// turns is how many loads may have a turn at once. The policy says how many may run;
// where the pace bounds how many begin, those that are being handed over or are not
// yet seen to be done take none of these.
func (p *Partition) turns() int64 {
	turns := p.view.Policy.Store.Turns
	if gap := p.gapUs(); gap > 0 {
		turns += handingPolls * p.limits.PollMs * 1000 / (2 * gap)
	}
	return turns
}

// paced is the moment, in microseconds, that the pace has come to. An owner does
// not know what began before it: it begins without any burst.
func (p *Partition) paced(store *wire.StoreState) int64 {
	return max(store.PaceUs, p.quiet*1000+2*storeBurst*p.gapUs())
}

// mayBegin tells whether the pace lets another load begin: in any span there
// begin no more than its rate allows and the burst.
func (p *Partition) mayBegin(now int64, store *wire.StoreState) bool {
	gap := p.gapUs()
	return gap == 0 || now*1000 >= p.paced(store)-(storeBurst-1)*gap
}

func (p *Partition) begins(now int64, store *wire.StoreState) {
	if gap := p.gapUs(); gap > 0 {
		store.PaceUs = max(p.paced(store), now*1000) + gap
	}
}

// loadMs is how long a load of an item takes, with its model if that is new.
func (p *Partition) loadMs(name string) int64 {
	known := p.view.Policy.Items[name]
	if known.LoadMs > 0 {
		return known.LoadMs + p.view.Policy.Items[known.Base].LoadMs
	}
	return p.view.Policy.Store.PaceMs(p.view.Policy.NeedMb(name))
}

// period is how long a turn is kept whose load may still be on.
func (p *Partition) period(name string, sizeMb int64) int64 {
	if p.gapUs() == 0 {
		return p.view.Policy.Store.PaceMs(sizeMb)
	}
	var longest int64
	for _, item := range p.view.Policy.Items {
		if !item.Light && (item.Name == name || name == "") {
			longest = max(longest, item.LoadMs)
		}
	}
	return 2 * longest
}

// pacedMs is how long a load takes where loads are paced by their number.
func (p *Partition) pacedMs(name string) int64 {
	if p.gapUs() == 0 {
		return 0
	}
	return p.view.Policy.Items[name].LoadMs
}
