package partition

import (
	"strconv"

	"applequay/internal/configuration"
	"applequay/internal/transport/wire"
)

// Times of demand, in milliseconds: what a front said counts for so long, is
// summed so often, is compared with what it was so long ago, and is averaged
// over so long.
const (
	tallyMs = 4000
	sumMs   = 200
	trendMs = 1000
	slowMs  = 8000
	// keeperMs is for how long the same home keeps an item.
	keeperMs = 2000
)

// Demand is what all fronts together ask of an item, its adapters included.
type Demand struct {
	// Rate is requests in 1000 s, Live those in work, Held those that wait for a
	// holder, Late those that came late in 1000 s, Weight the heaviest.
	Rate, Live, Held, Late, Weight int64
	// LastMs is when it was last asked for.
	LastMs int64
	before int64
	slow   float64
}

// Demands is the soft memory of what fronts ask for. It is in no log: what is
// decided from it is.
type Demands struct {
	fronts            map[string]front
	items             map[string]*Demand
	summedMs, trendMs int64
}

type front struct {
	atMs  int64
	tally *wire.Tally
}

// Note takes what a front tells of its clients.
//
//	view.Demands.Note(now, &wire.Tally{Front: "l1", Demands: []wire.Demand{{Item: "m1", Rate: 500, Live: 2}}})
func (d *Demands) Note(now int64, tally *wire.Tally) {
	if d.fronts == nil {
		d.fronts, d.items = map[string]front{}, map[string]*Demand{}
	}
	d.fronts[tally.Front] = front{atMs: now, tally: tally}
}

// NoteAll takes what fronts told another controller.
//
//	view.Demands.NoteAll(now, told)
func (d *Demands) NoteAll(now int64, told *wire.Tallies) {
	for at := range told.Tallies {
		d.Note(now, &told.Tallies[at])
	}
}

// Sum adds up what the fronts said lately; it does so only now and then.
//
//	view.Demands.Sum(now, view.Policy)
func (d *Demands) Sum(now int64, table *configuration.Table) {
	if len(d.fronts)+len(d.items) == 0 || now-d.summedMs < sumMs {
		return
	}
	past := now - d.summedMs
	d.summedMs = now
	turn := now-d.trendMs >= trendMs
	if turn {
		d.trendMs = now
	}
	for _, one := range d.items {
		if turn {
			one.before = one.Live + one.Held
		}
		one.Rate, one.Live, one.Held, one.Late = 0, 0, 0, 0
	}
	// In order, since sums of fractions depend on it.
	for _, name := range sorted(d.fronts) {
		said := d.fronts[name]
		if now-said.atMs > tallyMs {
			delete(d.fronts, name)
			continue
		}
		for i := range said.tally.Demands {
			asked := &said.tally.Demands[i]
			d.add(now, asked.Item, asked)
			if base := table.Items[asked.Item].Base; base != "" {
				d.add(now, base, asked)
			}
		}
	}
	part := min(float64(past)/slowMs, 1)
	for name, one := range d.items {
		one.slow += (float64(one.Rate) - one.slow) * part
		if one.slow < 1 && one.Rate+one.Live+one.Held == 0 {
			delete(d.items, name)
		}
	}
}

func (d *Demands) add(now int64, name string, asked *wire.Demand) {
	one := d.items[name]
	if one == nil {
		one = &Demand{}
		d.items[name] = one
	}
	one.Rate += asked.Rate
	one.Live += asked.Live
	one.Held += asked.Held
	one.Late += asked.Late
	one.Weight = max(one.Weight, asked.Weight)
	if asked.Rate+asked.Live+asked.Held > 0 {
		one.LastMs = now
	}
}

// Of tells what is asked of an item.
//
//	if view.Demands.Of("m1").Live > 16 { ... }
func (d *Demands) Of(item string) Demand {
	if one := d.items[item]; one != nil {
		return *one
	}
	return Demand{}
}

// Known tells whether any front said what its clients ask for.
//
//	if view.Demands.Known() { ... }
func (d *Demands) Known() bool { return len(d.items) > 0 }

// worth is what an item's requests are worth in 1000 s: the average of late, or
// what it is now where that is more.
func (d Demand) worth() int64 { return max(int64(d.slow), d.Rate) * max(d.Weight, 1) }

// ahead is how many requests are to be expected in work: as many as there are,
// and as many more as came since a moment ago.
func (d Demand) ahead() int64 { return d.Live + d.Held + max(d.Live+d.Held-d.before, 0) }

// kept are the workers that have or will have an item, and stand, and the one of
// them that keeps it while others make way: owners that decide at the same moment
// must not each count on the other's. It is another one every few seconds.
type kept struct {
	holders []string
	keeper  string // once it was asked for
}

func (p *Partition) homes(now int64, item string) int64 {
	if one := p.counted(now)[item]; one != nil {
		return int64(len(one.holders))
	}
	return 0
}

// keeper is the worker that keeps an item; none where it stands nowhere.
func (p *Partition) keeper(now int64, item string) string {
	one := p.counted(now)[item]
	if one == nil {
		return ""
	}
	if one.keeper != "" {
		return one.keeper
	}
	turn, best := item+strconv.FormatInt(p.view.WallMs/keeperMs, 10), 0.0
	for _, holder := range one.holders {
		if score := rendezvous(holder+"|"+turn, 1); one.keeper == "" || score > best {
			one.keeper, best = holder, score
		}
	}
	return one.keeper
}

// counted counts all homes at once, and again when time went on.
func (p *Partition) counted(now int64) map[string]*kept {
	if p.countedMs == now && p.counts != nil {
		return p.counts
	}
	if p.countedMs = now; p.counts == nil {
		p.counts = map[string]*kept{}
	}
	for _, one := range p.counts {
		one.holders, one.keeper = one.holders[:0], ""
	}
	for _, room := range p.view.Rooms {
		if room.Dark || room.Leaving || p.view.Workers[room.Worker].Leaving {
			continue
		}
		for _, loaded := range room.Loaded {
			one := p.counts[loaded.Item]
			if one == nil {
				one = &kept{}
				p.counts[loaded.Item] = one
			}
			one.holders = append(one.holders, room.Worker)
		}
	}
	return p.counts
}

// copyShare is the part of a worker's slots that requests for one item may fill
// before another copy is due; spareShare the part from which on a copy is put
// where there is room anyway.
const (
	copyShare  = 2
	spareShare = 16
)

// copies is how many homes an item's demand needs.
func (p *Partition) copies(item string) int64 {
	slots := p.view.Policy.Pools[p.view.Policy.Items[item].Pool].Slots
	if slots == 0 {
		return 1
	}
	asked, per := p.view.Demands.Of(item), max(slots/copyShare, 1)
	return max((asked.ahead()+per-1)/per, 1)
}

// stake is what a worker loses with an item.
type stake struct {
	worth int64
	// last says that no other home is left to count on, spare that there are more
	// homes than the demand needs.
	last, spare bool
}

// stakeOf is all of an item's worth if this is its last home or the one that keeps it,
// its part of it if all homes are needed, and little if one is to spare.
func (p *Partition) stakeOf(now int64, worker, item string) stake {
	worth := p.view.Demands.Of(item).worth()
	homes := p.homes(now, item)
	switch {
	case homes <= 1 || p.keeper(now, item) == worker:
		return stake{worth: worth, last: true}
	case homes > p.copies(item):
		return stake{worth: worth / (4 * homes), spare: true}
	default:
		return stake{worth: worth / homes}
	}
}
