package membership

import (
	"slices"

	"applequay/internal/transport/wire"
)

// listed is the table in order of ids, made once for each version.
type listed struct {
	version int64
	ids     []string
	all     []wire.Member
	alive   map[string][]wire.Member
	// suspectMs is since when the first of those suspected is; nought if none is.
	suspectMs int64
}

// All lists everyone known, this node among them, sorted by id. Nobody may
// change the list.
//
//	for _, member := range picture.All() { ... }
func (m *Members) All() []wire.Member { return m.list().all }

// Alive lists the members of a role that stand well or are only suspected; of
// all roles if none is named. Nobody may change the list.
//
//	for _, member := range picture.Alive("agent") { ... }
func (m *Members) Alive(role string) []wire.Member {
	kept := m.list()
	alive, made := kept.alive[role]
	if !made {
		for _, one := range kept.all {
			if (role == "" || one.Role == role) && wire.Standing(one.Standing) < wire.StandingLeaving {
				alive = append(alive, one)
			}
		}
		kept.alive[role] = alive
	}
	return alive
}

// list is the table in order, made anew if anything changed.
func (m *Members) list() *listed {
	if m.kept.version == m.version {
		return &m.kept
	}
	next := listed{version: m.version, ids: make([]string, 0, len(m.table)), all: make([]wire.Member, 0, len(m.table)+1), alive: map[string][]wire.Member{}}
	for id := range m.table {
		next.ids = append(next.ids, id)
	}
	slices.Sort(next.ids)
	self := false
	for _, id := range next.ids {
		if !self && m.self.ID < id {
			self, next.all = true, append(next.all, m.self)
		}
		kept := m.table[id]
		next.all = append(next.all, kept.member)
		if wire.Standing(kept.member.Standing) == wire.StandingSuspect && (next.suspectMs == 0 || kept.since < next.suspectMs) {
			next.suspectMs = kept.since
		}
	}
	if !self {
		next.all = append(next.all, m.self)
	}
	m.kept = next
	return &m.kept
}

// ids are those of all others, sorted. Nobody may change the list.
func (m *Members) ids() []string { return m.list().ids }

// DueMs is when Tick has something to do at the latest, if nothing is heard before.
//
//	if picture.DueMs() <= now { out := picture.Tick(now) }
func (m *Members) DueMs() int64 {
	due := m.probed + m.limits.ProbeMs
	for _, sent := range m.probes {
		due = min(due, sent.sent+m.limits.AnswerMs)
	}
	if since := m.list().suspectMs; since > 0 {
		due = min(due, since+m.limits.SuspectMs)
	}
	return due
}
