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

func (a *Agent) sender() string { return "front/" + a.boot.ID }

func (a *Agent) post(kind wire.Kind, key string, body wire.Record) {
	number := partition.Of(key, a.boot.Partitions)
	kept := a.boxes[number]
	if kept == nil {
		kept = &box{}
		a.boxes[number] = kept
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
func (a *Agent) reported(now int64, out *wire.Outputs, told *wire.Report) {
	if a.policy.Rollout != nil && a.due(now, "calls", a.boot.LeaseMs/4) {
		a.members.Set(controller.CallsFact, fmt.Sprintf("%d/%d", told.Bad, told.Came))
	}
	for _, want := range told.Wants {
		if _, ok := a.policy.Items[want.Item]; !ok || a.stands(want.Item) {
			continue
		}
		kept, known := a.wants[want.Item]
		a.wants[want.Item] = want
		if known && want.Held == kept.Held && now-a.wanted[want.Item] < a.boot.LeaseMs/2 {
			continue
		}
		if known && now-a.wanted[want.Item] < a.boot.ProbeMs {
			continue
		}
		a.wanted[want.Item] = now
		a.post(wire.KindWant, partition.ItemKey(want.Item), &want)
	}
	a.talliedUses(now, out, told.Uses)
	a.resend(now, out)
}

func (a *Agent) wantsTick(now int64, _ *wire.Outputs) {
	for item, since := range a.wanted {
		if now-since > 4*a.boot.LeaseMs {
			delete(a.wanted, item)
			delete(a.wants, item)
		}
	}
}

func (a *Agent) resend(now int64, out *wire.Outputs) {
	numbers := make([]int64, 0, len(a.boxes))
	for number := range a.boxes {
		numbers = append(numbers, number)
	}
	sort.Slice(numbers, func(i, j int) bool { return numbers[i] < numbers[j] })
	for _, number := range numbers {
		kept, owner := a.boxes[number], a.owners[number]
		if owner.Fence > kept.fence {
			kept.fence, kept.next, kept.sentMs = owner.Fence, 0, 0
			for i := range kept.msgs {
				kept.next++
				kept.msgs[i].Pos = kept.next
			}
		}
		if len(kept.msgs) == 0 || kept.fence == 0 || (kept.sentMs > 0 && now-kept.sentMs < a.boot.LeaseMs/8) {
			continue
		}
		kept.sentMs = now
		for _, msg := range kept.msgs {
			out.Send(owner.ID, wire.KindPost, &wire.Post{Sender: a.sender(), SenderFence: 1, Partition: number, Fence: kept.fence, Pos: msg.Pos, Kind: msg.Kind, Key: msg.Key, Body: msg.Body})
		}
	}
}

func (a *Agent) acked(ack *wire.PostAck) {
	kept := a.boxes[ack.Partition]
	if kept == nil || ack.Refused || ack.Fence != kept.fence || ack.Sender != a.sender() {
		return
	}
	kept.msgs = slices.DeleteFunc(kept.msgs, func(m wire.OutMsg) bool { return m.Pos <= ack.Pos })
}
