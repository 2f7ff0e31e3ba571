package partition

import (
	"cmp"
	"slices"

	"applequay/internal/controlplane/distribution"
	"applequay/internal/transport/wire"
)

// publishWaits tells the fronts, from the store's key, when each load that has
// or waits for a turn can be done at the earliest, so that who cannot be served
// in time hears so at once. What jumps the queue makes it later, never earlier.
func (p *Partition) publishWaits(now int64, out *wire.Outputs) {
	store := p.state.Store
	waiting := len(store.Queue) > 0
	if Of(StoreKey, p.view.Count) != p.state.Partition || len(store.Turns) == 0 || (!waiting && !p.toldWaits) || (waiting && now-p.waitsMs < p.limits.RetryMs) {
		return
	}
	p.toldWaits, p.waitsMs = waiting, now
	p.news++
	body := wire.Encode(&wire.Waits{WallMs: p.view.WallMs, Waits: p.foresee(now)})
	out.After(p.self, wire.KindNews, &wire.News{Topics: []wire.Topic{{Name: distribution.WaitsTopic, Term: p.state.Fence, Step: p.state.Input<<16 | p.news&0xffff, Body: body}}})
}

// foresee gives turns in the order in which the store's key will, as if each
// load took no longer than its pace.
func (p *Partition) foresee(now int64) []wire.Wait {
	store, policy, turns := p.state.Store, p.view.Policy.Store, int(p.turns())
	var out []wire.Wait
	free := make([]int64, 0, len(store.Turns))
	for at, turn := range store.Turns {
		if turn.Busy {
			out = append(out, wire.Wait{Worker: turn.Worker, Item: turn.Item, ReadyMs: max(turn.FreeMs+p.pacedMs(turn.Item)-now, 0)})
		}
		if at < turns {
			free = append(free, max(turn.FreeMs, now))
		}
	}
	queue := slices.Clone(store.Queue)
	slices.SortStableFunc(queue, func(a, b wire.PermitAsk) int { return cmp.Compare(b.Weight, a.Weight) })
	paceUs, gap := p.paced(&store), p.gapUs()
	for _, asked := range queue {
		if len(free) == 0 {
			return out
		}
		next := slices.Index(free, slices.Min(free))
		if gap > 0 {
			free[next] = max(free[next], (paceUs-(storeBurst-1)*gap)/1000) + p.pacedMs(asked.Item)
			paceUs = max(paceUs, now*1000) + gap
		} else {
			free[next] += policy.PaceMs(asked.SizeMb)
		}
		out = append(out, wire.Wait{Worker: asked.Worker, Item: asked.Item, ReadyMs: free[next] - now})
	}
	return out
}
