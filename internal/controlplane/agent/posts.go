package agent

import (
	"fmt"
	"slices"
	"sort"

	"applequay/internal/controlplane/controller"
	"applequay/internal/controlplane/partition"
	"applequay/internal/transport/wire"
)

// box holds what this front has told one partition and is not acknowledged.
type box struct {
	fence, next int64
	msgs        []wire.OutMsg
	sentMs      int64
}

// mostUnsent bounds a box while a partition has no owner: wants are said again
// anyway, and uses only age.
const mostUnsent = 64

func (l *Agent) sender() string { return "front/" + l.boot.ID }

func (l *Agent) post(kind wire.Kind, key string, body wire.Record) {
	number := partition.Of(key, l.boot.Partitions)
	kept := l.boxes[number]
	if kept == nil {
		kept = &box{}
		l.boxes[number] = kept
	}
	if len(kept.msgs) >= mostUnsent {
		return
	}
	kept.next++
	kept.msgs = append(kept.msgs, wire.OutMsg{Pos: kept.next, Kind: int64(kind), Key: key, Body: wire.Encode(body)})
	kept.sentMs = 0
}

// reported takes what the proxy saw: models it holds requests for, and
// what it used.
func (l *Agent) reported(now int64, out *wire.Outputs, told *wire.Report) {
	if l.policy.Rollout != nil && l.due(now, "calls", l.boot.LeaseMs/4) {
		l.members.Set(controller.CallsFact, fmt.Sprintf("%d/%d", told.Bad, told.Came))
	}
	for _, want := range told.Wants {
		if _, ok := l.policy.Items[want.Item]; !ok || l.stands(want.Item) {
			continue
		}
		kept, known := l.wants[want.Item]
		l.wants[want.Item] = want
		if known && want.Held == kept.Held && now-l.wanted[want.Item] < l.boot.LeaseMs/2 {
			continue
		}
		if known && now-l.wanted[want.Item] < l.boot.ProbeMs {
			continue
		}
		l.wanted[want.Item] = now
		l.post(wire.KindWant, partition.ItemKey(want.Item), &want)
	}
	l.talliedUses(now, out, told.Uses)
	l.resend(now, out)
}

func (l *Agent) wantsTick(now int64, _ *wire.Outputs) {
	for item, since := range l.wanted {
		if now-since > 4*l.boot.LeaseMs {
			delete(l.wanted, item)
			delete(l.wants, item)
		}
	}
}

func (l *Agent) resend(now int64, out *wire.Outputs) {
	numbers := make([]int64, 0, len(l.boxes))
	for number := range l.boxes {
		numbers = append(numbers, number)
	}
	sort.Slice(numbers, func(i, j int) bool { return numbers[i] < numbers[j] })
	for _, number := range numbers {
		kept, owner := l.boxes[number], l.owners[number]
		if owner.Fence > kept.fence {
			kept.fence, kept.next, kept.sentMs = owner.Fence, 0, 0
			for i := range kept.msgs {
				kept.next++
				kept.msgs[i].Pos = kept.next
			}
		}
		if len(kept.msgs) == 0 || kept.fence == 0 || (kept.sentMs > 0 && now-kept.sentMs < l.boot.LeaseMs/8) {
			continue
		}
		kept.sentMs = now
		for _, msg := range kept.msgs {
			out.Send(owner.ID, wire.KindPost, &wire.Post{Sender: l.sender(), SenderFence: 1, Partition: number, Fence: kept.fence, Pos: msg.Pos, Kind: msg.Kind, Key: msg.Key, Body: msg.Body})
		}
	}
}

func (l *Agent) acked(ack *wire.PostAck) {
	kept := l.boxes[ack.Partition]
	if kept == nil || ack.Refused || ack.Fence != kept.fence || ack.Sender != l.sender() {
		return
	}
	kept.msgs = slices.DeleteFunc(kept.msgs, func(m wire.OutMsg) bool { return m.Pos <= ack.Pos })
}
