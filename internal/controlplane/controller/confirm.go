package controller

import (
	"cmp"
	"slices"
	"strings"

	"applequay/internal/controlplane/register"
	"applequay/internal/transport/wire"
)

// confirming are the subscribers to whom the policy kept here would be news. It
// may have been replaced without a word of it here, so they get it after a read
// at a majority that began since they asked; a controller that is cut off tells
// them nothing.
type confirming struct {
	waits  []waiting
	asking bool
}

// waiting is a subscriber with the version that it has; confirms says that it waits for
// the majority's word even where that is the one it has.
type waiting struct {
	id       string
	version  int64
	confirms bool
}

// confirm notes a subscriber that waits for the majority's word on the policy.
func (c *Controller) confirm(from string, asked *wire.Subscribe) {
	one := waiting{id: from, confirms: true}
	for _, topic := range asked.Have {
		if topic.Name == PolicyKey {
			one.version = topic.Step
		}
	}
	c.confirming.waits = append(c.confirming.waits, one)
}

// confirmTick reads the policy once for all who wait.
func (c *Controller) confirmTick(now int64, out *wire.Outputs) {
	if c.confirming.asking || len(c.confirming.waits) == 0 {
		return
	}
	waits := c.confirming.waits
	c.confirming.waits = nil
	if !c.members.Majority(c.proposer.Core().Voters) {
		return
	}
	slices.SortFunc(waits, func(a, b waiting) int {
		return cmp.Or(strings.Compare(a.id, b.id), cmp.Compare(a.version, b.version))
	})
	waits = slices.Compact(waits)
	c.confirming.asking = true
	call := c.then(func(now int64, outcome register.Outcome) wire.Outputs {
		var out wire.Outputs
		c.confirming.asking = false
		if outcome.Fate != register.FateDone {
			return out
		}
		if outcome.Has {
			c.learn(now, &out, PolicyKey, outcome.Value)
		}
		c.confirmed(&out, waits)
		return out
	})
	ballot, held := c.acceptor.Accepted(PolicyKey)
	out.Add(c.proposer.Read(now, call, PolicyKey, ballot, held))
}

// confirmed tells those who wait what the majority holds: the policy kept here is no
// older, and a read found none that is newer.
func (c *Controller) confirmed(out *wire.Outputs, waits []waiting) {
	topic, known := c.board.Get(PolicyKey)
	for _, subscriber := range waits {
		told := &wire.News{}
		if known && subscriber.version < topic.Step {
			told.Topics = []wire.Topic{topic}
		}
		if subscriber.confirms {
			told.Confirms = subscriber.id
		}
		if subscriber.confirms || len(told.Topics) > 0 {
			out.Send(subscriber.id, wire.KindNews, told)
		}
	}
}
