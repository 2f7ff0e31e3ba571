package partition

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"strconv"

	"applequay/internal/transport/wire"
)

// leastWorth is what a held request is worth at least, as if one came every ten
// seconds.
const leastWorth = 100

// askedWorth is what a home is worth, and whether it is a further one. The worth
// of an item without any home rises by itself with every four loads that had time
// while it waits, so that none starves.
func (p *Partition) askedWorth(now int64, item wire.ItemState, home wire.HomeState) (worth int64, extra bool) {
	worth = p.view.Demands.Of(item.Name).worth()
	for _, other := range item.Homes {
		extra = extra || (other.Worker != home.Worker && other.State == homeKept)
	}
	if extra {
		return worth / int64(len(item.Homes)), true
	}
	if !p.waitedFor(now, item) {
		// Nobody waits for it: it comes back only for what is worth clearly less.
		return worth * 2 / 3, false
	}
	worth = max(worth, leastWorth*max(item.Weight, 1))
	if since, ok := p.lacking[item.Name]; ok {
		worth += worth * (now - since) / max(4*p.loadMs(item.Name), 1)
	}
	return worth, false
}

// presses tells whether what is asked for has no home and has waited for a few
// loads, its worth rose by half: then any copy that is not the last makes way.
func (p *Partition) presses(asked wire.Resident, on stake) bool {
	return !on.last && !asked.Extra && asked.Worth*2 >= 3*max(p.view.Demands.Of(asked.Item).worth(), leastWorth*asked.Weight)
}

// noteLack remembers since when an item that is wanted has no home.
func (p *Partition) noteLack(now int64, item wire.ItemState) {
	kept := slices.ContainsFunc(item.Homes, func(h wire.HomeState) bool { return h.State == homeKept })
	if kept || !p.waitedFor(now, item) {
		delete(p.lacking, item.Name)
	} else if _, ok := p.lacking[item.Name]; !ok {
		p.lacking[item.Name] = now
	}
}

// awaits tells whether a worker waits for a model to be loaded.
func (p *Partition) awaits(room wire.WorkerNews) bool {
	return slices.ContainsFunc(room.Loaded, func(loaded wire.Loaded) bool {
		return !loaded.Ready && p.view.Policy.Items[loaded.Item].Base == ""
	})
}

func holds(room wire.WorkerNews, item string) bool {
	return slices.ContainsFunc(room.Loaded, func(l wire.Loaded) bool { return l.Item == item })
}

// rankWaits is the rank of a worker that waits for another model to be loaded: only a
// further copy that many more ask for may take the place of that.
const rankWaits = -1

// chooseWorker picks a worker by weighted rendezvous: those that have the
// model of an adapter first, then those with free room, then those where what
// would make way is worth least. Refusals turn the hash, and who refused lately
// is left out, so each is asked in turn. A further copy of an adapter goes only
// where its model is.
func (p *Partition) chooseWorker(now int64, item wire.ItemState) string {
	known := p.view.Policy.Items[item.Name]
	worth, extra := p.askedWorth(now, item, wire.HomeState{})
	asked := wire.Resident{Item: item.Name, Weight: max(item.Weight, 1), Worth: worth, Extra: extra}
	best, bestRank, bestScore := "", rankWaits-1, 0.0
	// An adapter is hashed as its model, so that both come to the same worker where
	// neither is up yet.
	hashed, turn := cmp.Or(known.Base, item.Name)+"|", "|"+strconv.FormatInt(item.Refusals, 10)
	for _, name := range sorted(p.view.Workers) {
		worker := p.view.Workers[name]
		taken := slices.ContainsFunc(item.Homes, func(h wire.HomeState) bool { return h.Worker == name })
		if taken || !p.able(item.Name, worker) || now < p.refused[item.Name+"|"+name] {
			continue
		}
		room := p.view.Rooms[name]
		free := room.RoomMb - room.UsedMb
		need, rank := p.view.Policy.NeedMb(item.Name), 0
		switch {
		case known.Base != "" && holds(room, known.Base):
			need, rank = known.SizeMb, 2
		case known.Base != "" && len(item.Homes) > 0:
			continue
		case free < need && p.awaits(room) && !extra:
			continue // it changes one model at a time
		case free < need && p.awaits(room):
			rank = rankWaits
		}
		if free >= need {
			rank++
		}
		score := rendezvous(hashed+name+turn, p.fitness(now, room, free, need, asked))
		if rank > bestRank || (rank == bestRank && score > bestScore) {
			best, bestRank, bestScore = name, rank, score
		}
	}
	return best
}

// fitness weighs a worker as a home: the more room it has, or the less is worth
// what would make way, and the less it has to do, the better.
func (p *Partition) fitness(now int64, room wire.WorkerNews, free, need int64, asked wire.Resident) float64 {
	fit := float64(max(free, need/8, 1))
	least, load := math.MaxFloat64, 0.0
	for _, loaded := range room.Loaded {
		if p.view.Policy.Items[loaded.Item].Base != "" {
			continue
		}
		idle := now-p.view.Demands.Of(loaded.Item).LastMs >= p.limits.IdleMs
		switch lost := p.stakeOf(now, room.Worker, loaded.Item); {
		case lost.spare && p.presses(asked, lost):
			// Where nothing is to spare, what is worth least is taken.
			least = 0
		case idle:
			least = min(least, float64(lost.worth)/4)
		case !lost.last || !asked.Extra:
			least = min(least, float64(lost.worth))
		}
		load += float64(p.view.Demands.Of(loaded.Item).Live) / float64(max(p.homes(now, loaded.Item), 1))
	}
	if free < need && least < math.MaxFloat64 {
		fit /= 1 + least*least
	} else if free < need && asked.Extra {
		fit /= math.MaxInt64 // what is there stays
	}
	return fit / (1 + load*load/16)
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
