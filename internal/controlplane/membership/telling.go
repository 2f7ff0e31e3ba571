package membership

import (
	"math/bits"
	"slices"

	"applequay/internal/transport/wire"
)

// What is new of a member goes with so many messages and one for each doubling of
// their number, and with one message go so many members at most: those who were
// told of least. What a message lost, or had no room for, is found by sums.
const (
	tellTimes = 8
	tellMost  = 16
)

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
	ids := make([]string, 0, len(m.told))
	for id, told := range m.told {
		if told >= times {
			delete(m.told, id)
		} else if id != m.self.ID {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b string) int {
		if less := m.told[a] - m.told[b]; less != 0 {
			return less
		}
		// Who stands badly goes first.
		if worse := int(m.table[b].member.Standing - m.table[a].member.Standing); worse != 0 {
			return worse
		}
		if a < b {
			return -1
		}
		return 1
	})
	ids = ids[:min(len(ids), tellMost)]
	for _, id := range ids {
		m.told[id]++
	}
	if _, known := m.told[m.self.ID]; known {
		m.told[m.self.ID]++
	}
	return ids
}
