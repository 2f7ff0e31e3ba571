package controller

import (
	"strconv"

	"applequay/internal/controlplane/partition"
	"applequay/internal/transport/wire"
)

// recalled is what the journal of an earlier life says of the others, which is
// believed only until something better is known.
type recalled struct {
	owners map[int64]wire.Owner
	told   bool
}

// recallOwners notes whom this node's copies of the registers name as owners.
// They may not have been chosen, or be old: claims and fences go by reads. They
// keep nodes that start together from claiming each other's partitions.
func (f *Controller) recallOwners() {
	f.recalled.owners = map[int64]wire.Owner{}
	for number := range f.boot.Partitions {
		var owner wire.Owner
		body := f.accepted(ownerPrefix + strconv.FormatInt(number, 10))
		if len(body) == 0 {
			continue
		}
		if value, err := wire.DecodeValue(body); err == nil && owner.Unmarshal(value.Body) == nil {
			f.recalled.owners[number] = owner
		}
	}
}

// ownerOf is who owns a partition as far as this node knows.
func (f *Controller) ownerOf(number int64) (wire.Owner, bool) {
	owner, known := f.view.Owners[number]
	if !known {
		owner, known = f.recalled.owners[number]
	}
	return owner, known
}

// recallTick tells the fronts, once the worker list is known, what the workers
// had when this node's journal ended: they serve by that while the partitions
// have no owners yet. What an owner says later, under this fence or a higher
// one, takes its place; a worker that has something no more says so itself.
func (f *Controller) recallTick(now int64, out *wire.Outputs) {
	if f.recalled.told || !f.founded() || f.versions[DirectoryKey] == 0 {
		return
	}
	f.recalled.told = true
	for number := range f.boot.Partitions {
		state, owner := f.kept[number], f.recalled.owners[number]
		if state == nil || f.owned[number] != nil || state.Sealed || owner.ID != f.boot.ID || owner.Fence != state.Fence {
			continue
		}
		if told := partition.Recalled(state, f.view); len(told) > 0 {
			f.heardNews(now, out, f.boot.ID, &wire.News{Topics: told})
		}
	}
}

// young tells whether this node started so lately that it may lack what the
// others know, and asks more often.
func (f *Controller) young(now int64) bool { return now-f.StartedMs < 8*f.boot.ProbeMs }

// often is how long to wait between questions that otherwise wait longer.
func (f *Controller) often(now, everyMs int64) int64 {
	if f.young(now) {
		return min(everyMs, f.boot.ProbeMs/2)
	}
	return everyMs
}
