package membership

import (
	"cmp"
	"slices"
	"strings"

	"applequay/internal/transport/wire"
)

// nearMost is how many others of its role a node probes in each round where that is
// bounded: enough that what is told goes round as fast as among all, and that each
// member is probed by about as many.
const nearMost = 24

// Bounded are limits under which a node probes the same few others.
//
//	limits := membership.LimitsFor(200).Bounded()
func (l Limits) Bounded() Limits {
	l.Near = nearMost
	return l
}

// Meeting are limits under which a node probes its seeds each time until it knows
// somebody of a role. It is for roles of few nodes: their seeds are probed without bound.
//
//	limits := membership.LimitsFor(200).Meeting("agent")
func (l Limits) Meeting(role string) Limits {
	l.Meets = role
	return l
}

// LimitsFor derives all times from the time between probes.
//
//	limits := membership.LimitsFor(200)
func LimitsFor(probeMs int64) Limits {
	return Limits{ProbeMs: probeMs, AnswerMs: 2 * probeMs, SuspectMs: 6 * probeMs, ForgetMs: 600 * probeMs, Fanout: 1, Helpers: 2}
}

// oneInRemoved is one in how many rounds a member that went is tried, too: it may only
// have been cut off.
const oneInRemoved = 4

// round is whom this node probes next, in order: all others, shuffled; or, where that
// is bounded and there are many more, the nearest of its role, one of another role and
// one drawn from all, those that went among them. Each member is then probed as often
// as if all probed all, but always by the same few, and connections stay few.
func (m *Members) round() []string {
	out := slices.Clone(m.ids())
	if m.limits.Near == 0 || len(out) <= 2*m.limits.Near {
		out = slices.DeleteFunc(out, func(id string) bool {
			return wire.Standing(m.table[id].member.Standing) == wire.StandingRemoved && m.random.Intn(oneInRemoved) > 0
		})
	} else {
		out = m.nearest()
		if others := m.standing(func(one *wire.Member) bool { return one.Role != m.self.Role }); len(others) > 0 {
			out = append(out, others[m.random.Intn(len(others))])
		}
		if drawn := m.ids()[m.random.Intn(len(m.ids()))]; !slices.Contains(out, drawn) {
			out = append(out, drawn)
		}
	}
	m.random.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// nearInZone is how many of these are of this node's own zone, where so many are
// there: what goes round crosses zones only as often as it takes to get everywhere.
const nearInZone = 16

// nearest are the others of this node's role whose ids hash nearest to its own, of
// those that stand, most of them in its own zone; while too few do, also of those that
// went, who may only have been cut off.
func (m *Members) nearest() []string {
	mine := m.hash(m.self.ID)
	ids := m.standing(func(one *wire.Member) bool { return one.Role == m.self.Role })
	if len(ids) < m.limits.Near {
		ids = slices.Clone(m.ids())
	}
	away := func(id string) uint64 { return mixed(mine ^ m.table[id].hash) }
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(away(a), away(b)), strings.Compare(a, b))
	})
	var near, far []string
	for _, id := range ids {
		if len(near) < nearInZone && m.table[id].member.Zone == m.self.Zone {
			near = append(near, id)
		} else {
			far = append(far, id)
		}
	}
	return append(near, far[:min(len(far), m.limits.Near-len(near))]...)
}

// standing are the ids of the others that stand, of those of some kind.
func (m *Members) standing(of func(one *wire.Member) bool) []string {
	var out []string
	for _, id := range m.ids() {
		if member := &m.table[id].member; wire.Standing(member.Standing) < wire.StandingRemoved && of(member) {
			out = append(out, id)
		}
	}
	return out
}
