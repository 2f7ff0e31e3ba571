package partition

import (
	"slices"

	"applequay/internal/transport/wire"
)

// mostHad bounds what is remembered of what a worker held in this life.
const mostHad = 64

// had remembers that a worker held a model: it loads it again from its own disk.
func (p *Partition) had(worker *wire.WorkerState, loaded wire.Loaded) {
	if p.gapUs() > 0 && loaded.Ready && !p.view.Policy.Items[loaded.Item].Light && !slices.Contains(worker.Had, loaded.Item) && len(worker.Had) < mostHad {
		worker.Had = append(slices.Clone(worker.Had), loaded.Item)
	}
}

// free tells whether a load needs no turn of the store: it is light, or comes
// from the worker's own disk where the store counts loads only.
func (p *Partition) free(worker *wire.WorkerState, kept wire.Resident) bool {
	return p.view.Policy.Items[kept.Item].Light || (p.gapUs() > 0 && slices.Contains(worker.Had, kept.Item))
}

// atRest tells whether a worker that takes one order at a time could be handed
// another soon: none is under way or asked for, beside unloads not yet due.
func (p *Partition) atRest(now int64, worker *wire.WorkerState) bool {
	if p.under(worker.Name) {
		return false
	}
	return !slices.ContainsFunc(worker.Residents, func(r wire.Resident) bool { return r.State == residentAsked || r.State == residentLoading }) &&
		!slices.ContainsFunc(p.state.Tasks, func(t wire.Task) bool {
			return t.Worker == worker.Name && (t.Op == "load" || t.NotBeforeMs <= now)
		})
}

// rank orders loads among those that wait, for the store or at a worker: by what
// the requests for them are worth, or by their weight where that is not known.
// What stands somewhere already comes after what stands nowhere.
func rank(kept wire.Resident) int64 {
	worth := max(kept.Worth, kept.Weight)
	if kept.Extra {
		return worth / 2
	}
	return worth
}
