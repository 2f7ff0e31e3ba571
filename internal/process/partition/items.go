package partition

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math"
	"slices"

	"applequay/internal/connection/wire"
)

// States of a home, as the item's key sees it.
const (
	homeAsked = iota
	homeComing
	homeKept
)

func (p *Partition) wanted(now int64, item wire.ItemState) bool {
	return item.OpenMs > now || (item.WantedMs > 0 && now-item.WantedMs < p.limits.WantMs)
}

// stepItem is the step of a model's or an adapter's key: it chooses workers.
func (p *Partition) stepItem(now int64, e *effects, name string, messages []wire.Buffered) {
	item := p.state.Items[name]
	item.Name, item.Homes = name, slices.Clone(item.Homes)
	for _, message := range messages {
		body, err := wire.Decode(wire.Kind(message.Kind), message.Body)
		if err != nil {
			continue
		}
		switch told := body.(type) {
		case *wire.Want:
			if !p.wanted(now, item) {
				item.Weight, item.Copies = 0, 0
			}
			item.Weight = max(item.Weight, told.Weight)
			if told.Opening {
				item.OpenMs, item.Copies = now+told.UntilMs, max(item.Copies, told.Copies)
				p.askAgain(now, e, &item, 0)
			} else {
				item.WantedMs, item.Held = now, told.Held
			}
		case *wire.HomeTold:
			p.heardHome(now, e, &item, told)
		}
	}
	p.place(now, e, &item)
	e.step.Items = append(e.step.Items, item)
}

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
	case wire.VerdictRefused:
		if at < 0 || item.Homes[at].Ask != told.Ask {
			return
		}
		item.Homes = slices.Delete(item.Homes, at, at+1)
		item.Refusals++
		if item.Refusals >= p.candidates(item.Name) && len(item.Homes) == 0 {
			// All were asked once: those who wait are told when to come back.
			retry := max(told.RetryMs, p.limits.RetryMs)
			item.RetryMs, item.Refusals = now+retry, 0
			e.fronts = append(e.fronts, wire.HomeTold{Item: item.Name, Verdict: int64(wire.VerdictRefused), RetryMs: retry})
		}
	}
}

// place asks for as many homes as the item should have. Further copies are
// asked for one at a time, once the ones before are kept.
func (p *Partition) place(now int64, e *effects, item *wire.ItemState) {
	if _, known := p.view.Policy.Items[item.Name]; !known || !p.wanted(now, *item) || now < item.RetryMs {
		return
	}
	p.askAgain(now, e, item, p.limits.LeaseMs)
	kept := 0
	for _, home := range item.Homes {
		if home.State == homeKept {
			kept++
		}
	}
	wish := 1
	if item.OpenMs > now {
		wish = max(wish, int(item.Copies))
	}
	if kept == len(item.Homes) && now-item.WantedMs < p.limits.WantMs {
		wish = max(wish, min(kept+1, 1+int(item.Held/p.limits.HeldPerCopy)))
	}
	for len(item.Homes) < wish {
		chosenWorker := p.chooseWorker(*item)
		if chosenWorker == "" {
			item.RetryMs = now + p.limits.RetryMs
			return
		}
		item.NextAsk++
		home := wire.HomeState{Worker: chosenWorker, State: homeAsked, Ask: p.askName(item.NextAsk), SinceMs: now}
		item.Homes = append(item.Homes, home)
		p.askHome(now, e, item.Name, *item, home)
	}
}

// askAgain repeats what was asked for as long as it is wanted, so that workers'
// keys can tell what is waited for from what is not any more. With no age it
// repeats all.
func (p *Partition) askAgain(now int64, e *effects, item *wire.ItemState, age int64) {
	for at := range item.Homes {
		home := &item.Homes[at]
		if age == 0 || (home.State != homeKept && now-home.SinceMs >= age) {
			home.SinceMs = now
			p.askHome(now, e, item.Name, *item, *home)
		}
	}
}

// askHome asks a worker's key for a home; how long an opening still lasts is
// told as a span, since clocks differ.
func (p *Partition) askHome(now int64, e *effects, name string, item wire.ItemState, home wire.HomeState) {
	known, ok := p.view.Policy.Items[name]
	if !ok {
		return
	}
	p.say(e, wire.KindHomeAsk, WorkerKey(home.Worker), &wire.HomeAsk{
		Item: name, Base: known.Base, SizeMb: known.SizeMb, BaseSizeMb: p.view.Policy.Items[known.Base].SizeMb,
		Weight: max(item.Weight, 1), UntilMs: max(item.OpenMs-now, 0), Ask: home.Ask,
	})
}

func (p *Partition) candidates(name string) int64 {
	var count int64
	for _, worker := range p.view.Workers {
		if p.able(name, worker) {
			count++
		}
	}
	return max(count, 1)
}

func (p *Partition) able(name string, worker wire.Worker) bool {
	room, known := p.view.Rooms[worker.Name]
	return known && !room.Dark && !room.Leaving && !worker.Leaving &&
		worker.Pool == p.view.Policy.Items[name].Pool && room.RoomMb >= p.view.Policy.NeedMb(name)
}

// chooseWorker picks a worker by weighted rendezvous: those that have the
// model of an adapter first, then those with free room, then the others, where
// something must make way. Refusals turn the hash, so each is asked in turn.
func (p *Partition) chooseWorker(item wire.ItemState) string {
	known := p.view.Policy.Items[item.Name]
	best, bestRank, bestScore := "", -1, 0.0
	for _, name := range sorted(p.view.Workers) {
		worker := p.view.Workers[name]
		taken := slices.ContainsFunc(item.Homes, func(h wire.HomeState) bool { return h.Worker == name })
		if taken || !p.able(item.Name, worker) {
			continue
		}
		room := p.view.Rooms[name]
		free := room.RoomMb - room.UsedMb
		need, rank := p.view.Policy.NeedMb(item.Name), 0
		if known.Base != "" && slices.ContainsFunc(room.Loaded, func(l wire.Loaded) bool { return l.Item == known.Base }) {
			need, rank = known.SizeMb, 2
		}
		if free >= need {
			rank++
		}
		// An adapter is hashed as its model, so that both come to the same worker
		// where neither is up yet.
		score := rendezvous(fmt.Sprintf("%s|%s|%d", cmp.Or(known.Base, item.Name), name, item.Refusals), float64(max(free, need/8, 1)))
		if rank > bestRank || (rank == bestRank && score > bestScore) {
			best, bestRank, bestScore = name, rank, score
		}
	}
	return best
}

// rendezvous is the weighted rendezvous score of a name.
func rendezvous(name string, weight float64) float64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(name))
	mixed := sum.Sum64()
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd
	mixed ^= mixed >> 33
	part := (float64(mixed>>11) + 1) / (1 << 53)
	return -weight / math.Log(min(part, 1-1e-15))
}
