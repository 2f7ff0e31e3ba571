package membership

import (
	"slices"

	"applequay/internal/transport/wire"
)

// How long what is new is told on, in times between probes, and how often all is
// told to one that may have missed it.
const (
	newsProbes = 12
	allOnceIn  = 8
)

// telling is what a letter says of members: this node, those of whom something
// new was heard lately, and the one that it goes to, should it stand badly; now
// and then all.
func (m *Members) telling(now int64, to string) []wire.Member {
	if _, known := m.table[to]; !known || m.random.Intn(allOnceIn) == 0 {
		return m.All()
	}
	out := []wire.Member{m.self}
	for _, id := range m.ids() {
		kept := m.table[id]
		doubted := id == to && wire.Standing(kept.member.Standing) != wire.StandingWell
		if doubted || now-kept.changed < newsProbes*m.limits.ProbeMs {
			out = append(out, kept.member)
		}
	}
	return out
}

// fresh tells whether a letter comes from a process that started since it was
// last heard of, and so knows nobody.
func (m *Members) fresh(from string, told []wire.Member) bool {
	kept, known := m.table[from]
	return !known || slices.ContainsFunc(told, func(one wire.Member) bool { return one.ID == from && one.Born > kept.member.Born })
}
