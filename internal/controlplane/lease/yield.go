package lease

import (
	"fmt"
	"hash/fnv"

	"applequay/internal/transport/wire"
)

// Rounds of claims that a split vote may take, and the longest wait after one,
// in rounds.
const (
	splitRounds = 3
	longestWait = 4
)

// yield gives up claims that got some votes and no majority for some rounds:
// another node has the rest, and both would keep each other out. Each then
// waits a time of its own. Votes that lack because a grantor is quiet yet are
// nobody else's.
func (h *Holder) yield(now int64, voters []wire.Voter, addr string, out *wire.Outputs) {
	back := &wire.GrantBack{}
	asks := false
	for _, kept := range h.claims {
		asks = asks || kept.stage == stageClaiming
	}
	if !asks {
		return
	}
	for _, partition := range sortedKeys(h.claims) {
		kept := h.claims[partition]
		if kept.stage != stageClaiming || kept.votes == 0 || now-max(kept.since, h.quietTo) < splitRounds*h.limits.RenewMs {
			continue
		}
		sum := fnv.New32a()
		_, _ = fmt.Fprintf(sum, "%s/%d/%d", addr, partition, kept.tries)
		pause := h.limits.RenewMs * int64(1+sum.Sum32()%longestWait)
		h.waits[partition] = wait{until: now + pause, tries: kept.tries + 1}
		giveBack(back, partition, kept)
		delete(h.claims, partition)
	}
	if len(back.Holds) == 0 {
		return
	}
	for _, voter := range voters {
		out.Send(voter.ID, wire.KindGrantBack, back)
	}
}

// Hurry has all asked anew at once, where those who vote are others than before.
//
//	holder.Hurry(now)
func (h *Holder) Hurry(now int64) { h.asksBy(now) }

// asksBy has the next round begin when what was refused is free, if that is
// before its turn.
func (h *Holder) asksBy(at int64) {
	if h.soon == 0 || at < h.soon {
		h.soon = at
	}
}

// Owned lists the partitions held now.
//
//	for _, hold := range holder.Owned(now) { ... }
func (h *Holder) Owned(now int64) []wire.Hold {
	var out []wire.Hold
	for _, partition := range sortedKeys(h.claims) {
		if fence, ok := h.Mine(now, partition); ok {
			out = append(out, wire.Hold{Partition: partition, Fence: fence})
		}
	}
	return out
}

// Release stops at once and returns what to tell the grantors.
//
//	back := holder.Release([]int64{3})
func (h *Holder) Release(partitions []int64) *wire.GrantBack {
	back := &wire.GrantBack{}
	for _, partition := range partitions {
		if kept := h.claims[partition]; kept != nil {
			giveBack(back, partition, kept)
			delete(h.claims, partition)
		}
	}
	return back
}

// Until is when the turns on a partition must stop.
//
//	endMs := holder.Until(3)
func (h *Holder) Until(partition int64) int64 {
	if kept := h.claims[partition]; kept != nil && kept.stage == stageHeld {
		return kept.until
	}
	return 0
}

// giveBack adds a claim to what the grantors are told, with the asks that named it.
func giveBack(back *wire.GrantBack, partition int64, kept *claim) {
	back.Holds = append(back.Holds, wire.Hold{Partition: partition, Fence: kept.fence})
	back.Asks = append(back.Asks, kept.asks)
}
