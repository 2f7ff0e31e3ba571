package partition

// Placement sums up how the workers' room is used, in models, and what is lacking:
// whether what is asked for is not served because it is not loaded, or because the
// copies that are loaded are too busy.
type Placement struct {
	// Ready are models that serve, Coming those that have a place and are not loaded
	// yet, Leaving those that still take the room of others.
	Ready, Coming, Leaving int64
	// Homeless are models asked for that no worker has; Lacking how many copies more
	// the demand for all models calls for.
	Homeless, Lacking int64
	// StoreQueue are loads that wait for a turn of the store, StoreBusy those that have one.
	StoreQueue, StoreBusy int64
}

// Add adds what another partition says.
//
//	sum.Add(owned.Placement(now))
func (s *Placement) Add(other Placement) {
	s.Ready += other.Ready
	s.Coming += other.Coming
	s.Leaving += other.Leaving
	s.Homeless += other.Homeless
	s.Lacking += other.Lacking
	s.StoreQueue += other.StoreQueue
	s.StoreBusy += other.StoreBusy
}

// Placement sums up the workers and the items of this partition.
//
//	sum := owned.Placement(now)
func (p *Partition) Placement(now int64) Placement {
	var sum Placement
	for _, worker := range p.state.Workers {
		for _, kept := range worker.Residents {
			if kept.Base != "" {
				continue
			}
			switch kept.State {
			case residentReady:
				sum.Ready++
			case residentLeaving:
				sum.Leaving++
			default:
				sum.Coming++
			}
		}
	}
	for name := range p.view.Demands.items {
		known := p.view.Policy.Items[name]
		if known.Base != "" || Of(ItemKey(name), p.view.Count) != p.state.Partition || !p.demanded(now, name) {
			continue
		}
		homes := p.homes(now, name)
		if homes == 0 {
			sum.Homeless++
		}
		sum.Lacking += max(p.copies(name)-homes, 0)
	}
	sum.StoreQueue = int64(len(p.state.Store.Queue))
	for _, turn := range p.state.Store.Turns {
		if turn.Busy {
			sum.StoreBusy++
		}
	}
	return sum
}
