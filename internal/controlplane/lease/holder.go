package lease

import "applequay/internal/transport/wire"

// Change tells the owner of a holder what came of its claims.
type Change int

// The changes. Reserved: a majority keeps the partition free for this node; it
// must now settle the fence in the register. Held and Lost speak for turns.
const (
	Reserved Change = iota
	Held
	Lost
)

// Move is one change of one partition.
type Move struct {
	Partition int64
	Change    Change
	Fence     int64
}

type stage int

const (
	stageClaiming stage = iota
	stageSettling
	stageRenewing
	stageHeld
)

type claim struct {
	stage stage
	fence int64
	until int64
	since int64
	// votes is the most that one round of claims got, split since when.
	votes int
	tries int64
	// asks are the first and the last ask that named this claim.
	asks wire.AskRange
}

// wait is how long a partition is left to others after a split vote.
type wait struct{ until, tries int64 }

type round struct {
	sent   int64
	claim  bool
	yes    map[int64]map[string]bool
	fences map[int64]int64
}

// Holder is a node's side of its grants: one message renews them all.
type Holder struct {
	limits  Limits
	nextOp  int64
	claims  map[int64]*claim
	rounds  map[int64]*round
	renewed int64
	soon    int64 // when a partition that was refused may be free
	waits   map[int64]wait
	quietTo int64 // until when some grantor said that it grants nothing
	// Seen is who the grantors last said holds a partition.
	Seen map[int64]wire.Refusal
}

// NewHolder makes a holder that has nothing.
//
//	holder := lease.NewHolder(limits)
func NewHolder(limits Limits) *Holder {
	return &Holder{limits: limits, claims: map[int64]*claim{}, rounds: map[int64]*round{}, Seen: map[int64]wire.Refusal{}, waits: map[int64]wait{}, renewed: -limits.LeaseMs}
}

// NumberFrom has the rounds numbered from somewhere that no earlier life of this
// node, of the same identity, was at: what grantors told that life, and what
// comes late, then counts for no round of this one.
//
//	holder.NumberFrom(random.Int63n(1 << 31))
func (h *Holder) NumberFrom(number int64) { h.nextOp = number }

// Claim starts to ask for a partition; it is asked again at each renewal.
//
//	holder.Claim(now, 3)
func (h *Holder) Claim(now, partition int64) {
	if _, ok := h.claims[partition]; !ok && now >= h.waits[partition].until {
		h.claims[partition] = &claim{since: now, fence: h.Seen[partition].Fence, tries: h.waits[partition].tries}
	}
}

// Claims tells whether the holder is after a partition, or has it.
//
//	if !holder.Claims(3) { holder.Claim(now, 3) }
func (h *Holder) Claims(partition int64) bool { return h.claims[partition] != nil }

// Settled gives the fence that the register now names for this node.
//
//	holder.Settled(3, 8)
func (h *Holder) Settled(partition, fence int64) {
	if kept := h.claims[partition]; kept != nil && kept.stage == stageSettling {
		kept.stage, kept.fence = stageRenewing, fence
		h.renewed = -h.limits.LeaseMs
	}
}

// Drop gives a claim up without a word to the grantors.
//
//	holder.Drop(3)
func (h *Holder) Drop(partition int64) { delete(h.claims, partition) }

// Mine tells whether a turn may be taken now, and under which fence.
//
//	if fence, ok := holder.Mine(now, 3); ok { ... }
func (h *Holder) Mine(now, partition int64) (int64, bool) {
	kept := h.claims[partition]
	if kept == nil || kept.stage != stageHeld || now >= kept.until {
		return 0, false
	}
	return kept.fence, true
}

// Tick ends grants that ran out and sends the next round of renewals.
//
//	moves, out := holder.Tick(now, voters, "127.0.0.1:7100")
func (h *Holder) Tick(now int64, voters []wire.Voter, addr string) ([]Move, wire.Outputs) {
	var moves []Move
	var out wire.Outputs
	for _, partition := range sortedKeys(h.claims) {
		kept := h.claims[partition]
		expired := kept.stage == stageHeld && now >= kept.until
		stuck := kept.stage != stageHeld && now-kept.since > 4*h.limits.LeaseMs
		if expired || stuck {
			delete(h.claims, partition)
			if expired {
				moves = append(moves, Move{Partition: partition, Change: Lost, Fence: kept.fence})
			}
		}
	}
	h.yield(now, voters, addr, &out)
	if (now-h.renewed < h.limits.RenewMs && (h.soon == 0 || now < h.soon)) || len(h.claims) == 0 {
		return moves, out
	}
	h.renewed, h.soon = now, 0
	for _, op := range sortedKeys(h.rounds) {
		if now-h.rounds[op].sent > h.limits.LeaseMs {
			delete(h.rounds, op)
		}
	}
	for _, claiming := range []bool{false, true} {
		asked := h.ask(now, claiming, addr)
		if asked == nil {
			continue
		}
		for _, voter := range voters {
			out.Send(voter.ID, wire.KindGrantAsk, asked)
		}
	}
	return moves, out
}

func (h *Holder) ask(now int64, claiming bool, addr string) *wire.GrantAsk {
	asked := &wire.GrantAsk{Claim: claiming, Addr: addr}
	sent := &round{sent: now, claim: claiming, yes: map[int64]map[string]bool{}, fences: map[int64]int64{}}
	for _, partition := range sortedKeys(h.claims) {
		kept := h.claims[partition]
		if (kept.stage == stageClaiming || kept.stage == stageSettling) != claiming {
			continue
		}
		if claiming {
			kept.fence = max(kept.fence, h.Seen[partition].Fence)
		}
		asked.Holds = append(asked.Holds, wire.Hold{Partition: partition, Fence: kept.fence})
		sent.yes[partition], sent.fences[partition] = map[string]bool{}, kept.fence
	}
	if len(asked.Holds) == 0 {
		return nil
	}
	h.nextOp++
	asked.Op = h.nextOp
	for _, hold := range asked.Holds {
		h.claims[hold.Partition].note(asked.Op)
	}
	h.rounds[asked.Op] = sent
	return asked
}

// Told counts a grantor's answer; the grant runs from when it was asked for.
//
//	moves := holder.Told(now, "c2~51", told, voters)
func (h *Holder) Told(now int64, from string, told *wire.GrantTold, voters []wire.Voter) []Move {
	var moves []Move
	sent := h.rounds[told.Op]
	admitted := false
	for _, voter := range voters {
		admitted = admitted || voter.ID == from
	}
	if sent == nil || !admitted {
		return nil
	}
	for _, refusal := range told.Refused {
		if refusal.Fence >= h.Seen[refusal.Partition].Fence {
			h.Seen[refusal.Partition] = refusal
		}
		if h.claims[refusal.Partition] != nil {
			h.asksBy(now + refusal.LeftMs + 1)
		}
	}
	if told.QuietMs > 0 {
		h.quietTo = max(h.quietTo, now+told.QuietMs)
		h.asksBy(now + told.QuietMs + 1)
	}
	for _, hold := range told.Granted {
		votes, kept := sent.yes[hold.Partition], h.claims[hold.Partition]
		if votes == nil || kept == nil || sent.fences[hold.Partition] != hold.Fence || kept.fence != hold.Fence {
			continue
		}
		votes[from] = true
		count := 0
		for _, voter := range voters {
			if votes[voter.ID] {
				count++
			}
		}
		kept.votes = max(kept.votes, count)
		until := sent.sent + h.limits.LeaseMs - h.limits.MarginMs
		if count < len(voters)/2+1 || now >= until {
			continue
		}
		switch {
		case sent.claim && kept.stage == stageClaiming:
			kept.stage = stageSettling
			moves = append(moves, Move{Partition: hold.Partition, Change: Reserved, Fence: kept.fence})
		case !sent.claim && kept.stage == stageRenewing:
			kept.stage, kept.until = stageHeld, until
			moves = append(moves, Move{Partition: hold.Partition, Change: Held, Fence: kept.fence})
		case !sent.claim && kept.stage == stageHeld:
			kept.until = max(kept.until, until)
		}
	}
	return moves
}

// note remembers that an ask named this claim.
func (c *claim) note(op int64) {
	if c.asks.First == 0 {
		c.asks.First = op
	}
	c.asks.Last = op
}
