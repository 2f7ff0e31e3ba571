package partition

import (
	"slices"

	"applequay/internal/transport/wire"
)

// heardHome takes what a worker's key says of a home that was asked for.
func (p *Partition) heardHome(now int64, e *effects, item *wire.ItemState, told *wire.HomeTold) {
	at := slices.IndexFunc(item.Homes, func(h wire.HomeState) bool { return h.Worker == told.Worker })
	switch wire.Verdict(told.Verdict) {
	case wire.VerdictKept, wire.VerdictComing:
		state := int64(homeComing)
		if wire.Verdict(told.Verdict) == wire.VerdictKept {
			state, item.Refusals = homeKept, 0
		}
		if at < 0 {
			item.Homes = append(item.Homes, wire.HomeState{Worker: told.Worker, State: state, Ask: told.Ask, SinceMs: now})
		} else {
			item.Homes[at].State = state
		}
	case wire.VerdictGone:
		if at >= 0 {
			item.Homes = slices.Delete(item.Homes, at, at+1)
		}
		if len(item.Homes) == 0 {
			item.RetryMs = 0
		}
	case wire.VerdictBusy:
		// Who waits goes on waiting, and others are asked: workers are free in turn.
		if at >= 0 && item.Homes[at].Ask == told.Ask {
			item.Homes = slices.Delete(item.Homes, at, at+1)
			p.refused[item.Name+"|"+told.Worker] = now + p.limits.RetryMs
		}
	case wire.VerdictRefused:
		if at < 0 || item.Homes[at].Ask != told.Ask {
			return
		}
		item.Homes = slices.Delete(item.Homes, at, at+1)
		p.refused[item.Name+"|"+told.Worker] = now + p.limits.RetryMs
		if item.Refusals++; len(item.Homes) > 0 {
			// Who refused a further copy is left out for longer: that can wait.
			p.refused[item.Name+"|"+told.Worker] = now + p.limits.KeepMs
			// A further copy that has no room now is not urgent, but a few are asked.
			if item.Refusals%3 == 0 {
				item.RetryMs = now + max(told.RetryMs, p.limits.RetryMs)
			}
			return
		}
		if item.Refusals >= p.mostRefusals(item.Name) {
			// All were asked once: those who wait are told when to come back.
			retry := max(told.RetryMs, p.limits.RetryMs)
			item.RetryMs, item.Refusals = now+retry, 0
			e.fronts = append(e.fronts, wire.HomeTold{Item: item.Name, Verdict: int64(wire.VerdictRefused), RetryMs: retry})
		}
	}
}
