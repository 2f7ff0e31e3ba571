package partition

import (
	"cmp"
	"fmt"
	"slices"

	"applequay/internal/transport/wire"
)

// candidate is an adapter that a worker may load ahead.
type candidate struct {
	item string
	// homes is how many workers have it, turn how many holders of its model are a
	// better choice for it.
	homes, turn int64
	score       float64
}

// lackingAdapters lists the adapters of a worker's models that it has not, best
// first. Models that nobody asks for get none once it is known what is asked for.
func (p *Partition) lackingAdapters(now int64, worker *wire.WorkerState) []string {
	var found []candidate
	for _, model := range worker.Residents {
		if model.Base != "" || model.State != residentReady || (p.view.Demands.Known() && p.view.Demands.Of(model.Item).worth() == 0) {
			continue
		}
		holders := p.holders(model.Item)
		for _, item := range p.view.Policy.Items {
			if item.Base != model.Item || !item.Light || resident(worker, item.Name) >= 0 {
				continue
			}
			one := candidate{item: item.Name, homes: p.homes(now, item.Name), score: aheadScore(item.Name, worker.Name)}
			for _, holder := range holders {
				if holder != worker.Name && aheadScore(item.Name, holder) > one.score {
					one.turn++
				}
			}
			found = append(found, one)
		}
	}
	slices.SortFunc(found, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.homes, b.homes), cmp.Compare(a.turn, b.turn), cmp.Compare(b.score, a.score), cmp.Compare(a.item, b.item))
	})
	names := make([]string, len(found))
	for i, one := range found {
		names[i] = one.item
	}
	return names
}

func aheadScore(item, worker string) float64 {
	return rendezvous(fmt.Sprintf("%s|%s|ahead", item, worker), 1)
}

// holders are the workers that have or will have a model, and stand.
func (p *Partition) holders(model string) []string {
	var names []string
	for _, name := range sorted(p.view.Rooms) {
		if room := p.view.Rooms[name]; !room.Dark && !room.Leaving && !p.view.Workers[name].Leaving && holds(room, model) {
			names = append(names, name)
		}
	}
	return names
}
