package membership

import (
	"cmp"
	"math/bits"
	"slices"
	"strings"

	"applequay/internal/transport/wire"
)

// What is new of a member goes with so many messages and one for each doubling of
// their number, and with one message go so many members at most: those who were
// told of least. Whether members stand is told of without that bound: who is taken
// for dead must be heard in time. What a message lost, or had no room for, is found
// by sums.
const (
	tellTimes = 8
	tellMost  = 16
)

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

// telling is what a message says of members: this node, some of those of whom
// something is new, the one that it goes to, should it stand badly, and those
// in whom the other's sums, if it sent any, differ.
func (m *Members) telling(to string, sums []int64) []wire.Member {
	ids := m.fresh()
	if kept, known := m.table[to]; known && wire.Standing(kept.member.Standing) != wire.StandingWell && !slices.Contains(ids, to) {
		ids = append(ids, to)
	}
	out := []wire.Member{m.self}
	for _, id := range append(ids, m.differing(sums)...) {
		if !slices.ContainsFunc(out, func(one wire.Member) bool { return one.ID == id }) {
			out = append(out, m.table[id].member)
		}
	}
	return out
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
