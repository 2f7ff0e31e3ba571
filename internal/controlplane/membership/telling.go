package membership

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"
	"strings"

	"applequay/internal/transport/wire"
)

// What is new of a member goes with so many messages and one for each doubling of
// their number, and with one message go so many members at most: those who were
// told of least. Of most of them a message holds no more than what changed, so that
// what becomes new of all members together, as when all fronts take up a list of
// workers, goes round in a second. Whether members stand is told of without that bound: who is taken
// for dead must be heard in time. What a message lost, or had no room for, is found
// by sums.
const (
	tellTimes = 8
	tellMost  = 64
)

// heardCounts is for how many messages of one's own another's message counts that
// holds the same: where most know it already, nobody goes on telling it (rumour
// mongering with feedback and counters; Demers and others, "Epidemic Algorithms for
// Replicated Database Maintenance", 1987).
const heardCounts = 2

// rumour is what is told of a member that changed: how often it was, and whether it
// is about its standing.
type rumour struct {
	times  int
	stands bool
}

// standingTimes is how many times as often it is told whether a member stands.
const standingTimes = 3

// over tells whether it was told often enough.
func (r *rumour) over(times int) bool {
	return r.times >= times*standingTimes || (!r.stands && r.times >= times)
}

// Tell sets what the next messages say of the news that this node has.
//
//	picture.Tell(board.Sums())
func (m *Members) Tell(board wire.BoardSums) { m.board = board }

// telling is what a message says of members: this node, some of those of whom
// something is new, the one that it goes to, should it stand badly, and those
// in whom the other's sums, if it sent any, differ.
func (m *Members) telling(to string, sums []int64) []wire.Member {
	out := []wire.Member{m.self}
	for _, id := range m.fresh() {
		kept := m.table[id]
		if kept.change != nil && !m.told[id].stands && id != to {
			out = append(out, *kept.change)
		} else {
			out = append(out, kept.member)
		}
	}
	ids := m.differing(sums)
	if kept, known := m.table[to]; known && wire.Standing(kept.member.Standing) != wire.StandingWell {
		ids = append(ids, to)
	}
	for _, id := range ids {
		if !slices.ContainsFunc(out, func(one wire.Member) bool { return one.ID == id }) {
			out = append(out, m.table[id].member)
		}
	}
	return out
}

// heardAgain counts that another told what this node would tell. Whether a member
// stands is told to the end, since the one that it is about may have to object.
func (m *Members) heardAgain(id string) {
	if told := m.told[id]; told != nil && !told.stands {
		told.times += heardCounts
	}
}

// applies tells whether a change can be made to what is known of a member.
func applies(known, change *wire.Member) bool {
	return known.Born == change.Born && known.Turn+1 >= change.Since
}

// changed is a member after a change.
func changed(known wire.Member, change *wire.Member) wire.Member {
	if change.Turn > known.Turn {
		facts := maps.Clone(known.Fact)
		if facts == nil {
			facts = map[string]string{}
		}
		maps.Copy(facts, change.Fact)
		known.Fact = facts
	}
	known.Turn, known.Standing = change.Turn, change.Standing
	return known
}

// change is what becomes new of a member with its next turn: since the last, or,
// if that is still being told, since the one before. None where more than facts and
// standing differ.
func (m *Members) change(kept *seen, next *wire.Member) *wire.Member {
	before := &kept.member
	if next.Born != before.Born || next.Addr != before.Addr || next.Role != before.Role || next.Zone != before.Zone || next.Name != before.Name || next.Outward != before.Outward {
		return nil
	}
	since, facts := before.Turn+1, map[string]string{}
	if _, telling := m.told[next.ID]; telling && kept.change != nil {
		since, facts = kept.change.Since, maps.Clone(kept.change.Fact)
	} else if telling {
		return nil
	}
	for name, fact := range next.Fact {
		if was, had := before.Fact[name]; !had || was != fact {
			facts[name] = fact
		}
	}
	return &wire.Member{ID: next.ID, Born: next.Born, Turn: next.Turn, Standing: next.Standing, Since: since, Fact: facts}
}

// fresh picks whom this message tells of, and counts that it does. This node is
// in every message.
func (m *Members) fresh() []string {
	if len(m.told) == 0 {
		return nil
	}
	times := tellTimes + bits.Len(uint(len(m.table)))
	ids, standings := make([]string, 0, len(m.told)), 0
	for id, told := range m.told {
		if told.over(times) {
			delete(m.told, id)
		} else if id != m.self.ID {
			ids = append(ids, id)
			if told.stands {
				standings++
			}
		}
	}
	slices.SortFunc(ids, func(a, b string) int {
		one, other := m.told[a], m.told[b]
		switch {
		case one.stands != other.stands && one.stands:
			return -1
		case one.stands != other.stands:
			return 1
		case one.times != other.times:
			return one.times - other.times
		}
		// Who stands badly goes first.
		return cmp.Or(int(m.table[b].member.Standing-m.table[a].member.Standing), strings.Compare(a, b))
	})
	ids = ids[:min(len(ids), max(tellMost, standings))]
	for _, id := range ids {
		m.told[id].times++
	}
	if mine := m.told[m.self.ID]; mine != nil {
		mine.times++
	}
	return ids
}
