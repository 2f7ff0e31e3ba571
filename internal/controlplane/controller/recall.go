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
func (c *Controller) recallOwners() {
	c.recalled.owners = map[int64]wire.Owner{}
	for number := range c.boot.Partitions {
		var owner wire.Owner
		body := c.accepted(ownerPrefix + strconv.FormatInt(number, 10))
		if len(body) == 0 {
			continue
		}
		if value, err := wire.DecodeValue(body); err == nil && owner.Unmarshal(value.Body) == nil {
			c.recalled.owners[number] = owner
		}
	}
}

// ownerOf is who owns a partition as far as this node knows.
func (c *Controller) ownerOf(number int64) (wire.Owner, bool) {
	owner, known := c.view.Owners[number]
	if !known {
		owner, known = c.recalled.owners[number]
	}
	return owner, known
}

// recallTick tells the fronts, once the worker list is known, what the workers
// had when this node's journal ended: they serve by that while the partitions
// have no owners yet. What an owner says later, under this fence or a higher
// one, takes its place; a worker that has something no more says so itself.
func (c *Controller) recallTick(now int64, out *wire.Outputs) {
	if c.recalled.told || !c.founded() || c.versions[DirectoryKey] == 0 {
		return
	}
	c.recalled.told = true
	for number := range c.boot.Partitions {
		state, owner := c.kept[number], c.recalled.owners[number]
		if state == nil || c.owned[number] != nil || state.Sealed || owner.ID != c.boot.ID || owner.Fence != state.Fence {
			continue
		}
		if told := partition.Recalled(state, c.view); len(told) > 0 {
			c.heardNews(now, out, c.boot.ID, &wire.News{Topics: told})
		}
	}
}

// young tells whether this node started so lately that it may lack what the
// others know, and asks more often.
func (c *Controller) young(now int64) bool { return now-c.StartedMs < 8*c.boot.ProbeMs }

// often is how long to wait between questions that otherwise wait longer.
func (c *Controller) often(now, everyMs int64) int64 {
	if c.young(now) {
		return min(everyMs, c.boot.ProbeMs/2)
	}
	return everyMs
}
