package partition

import (
	"sort"

	"applequay/internal/transport/wire"
)

// batchSent is the last sending of an outbox: the receiver's fence, the position
// of the last message, and when.
type batchSent struct{ fence, last, at int64 }

// renewals notices partitions that have a new owner and says again what they
// have not answered.
func (p *Partition) renewals(now int64, out *wire.Outputs) {
	for partition := range p.view.Count {
		owner, ok := p.view.Owners[partition]
		name := boxName(partition)
		if !ok || partition == p.state.Partition || owner.Fence <= p.state.Outboxes[name].Fence {
			continue
		}
		p.log(out, wire.KindPeerRenewed, &wire.PeerRenewed{Partition: partition, Fence: owner.Fence})
		if owner.Fence > 1 {
			p.sayAgain(now, out, partition, owner.Fence)
		}
	}
}

// resend sends each outbox whose messages are not acknowledged. A receiver
// takes only the next position, so all go in order.
func (p *Partition) resend(now int64, out *wire.Outputs) {
	names := make([]string, 0, len(p.state.Outboxes))
	for name, box := range p.state.Outboxes {
		if len(box.Msgs) > 0 {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	for _, name := range names {
		box := p.state.Outboxes[name]
		owner, ok := p.view.Owners[box.Partition]
		if !ok || owner.Fence != box.Fence {
			continue
		}
		last := box.Msgs[len(box.Msgs)-1].Pos
		if sent := p.boxSent[name]; sent.fence == box.Fence && sent.last == last && now-sent.at < p.limits.ResendMs {
			continue
		}
		p.boxSent[name] = batchSent{fence: box.Fence, last: last, at: now}
		for _, msg := range box.Msgs[:min(len(box.Msgs), 64)] {
			out.After(owner.ID, wire.KindPost, &wire.Post{Sender: boxName(p.state.Partition), SenderFence: p.state.Fence, Partition: box.Partition, Fence: box.Fence, Pos: msg.Pos, Kind: msg.Kind, Key: msg.Key, Body: msg.Body})
		}
	}
}
