package controller

import (
	"slices"

	"applequay/internal/controlplane/register"
	"applequay/internal/transport/wire"
)

// confirming are the subscribers to whom the policy kept here would be news. It
// may have been replaced without a word of it here, so they get it after a read
// at a majority that began since they asked; a controller that is cut off tells
// them nothing.
type confirming struct {
	waits  []string
	asking bool
}

// confirmTick reads the policy once for all who wait.
func (f *Controller) confirmTick(now int64, out *wire.Outputs) {
	if f.confirming.asking || len(f.confirming.waits) == 0 {
		return
	}
	waits := f.confirming.waits
	f.confirming.waits = nil
	if !f.members.Majority(f.proposer.Core().Voters) {
		return
	}
	slices.Sort(waits)
	waits = slices.Compact(waits)
	f.confirming.asking = true
	call := f.then(func(now int64, outcome register.Outcome) wire.Outputs {
		var out wire.Outputs
		f.confirming.asking = false
		if outcome.Fate != register.FateDone || !outcome.Has {
			return out
		}
		f.learn(now, &out, PolicyKey, outcome.Value)
		if topic, known := f.board.Get(PolicyKey); known {
			for _, subscriber := range waits {
				out.Send(subscriber, wire.KindNews, &wire.News{Topics: []wire.Topic{topic}})
			}
		}
		return out
	})
	ballot, held := f.acceptor.Accepted(PolicyKey)
	out.Add(f.proposer.Read(now, call, PolicyKey, ballot, held))
}
