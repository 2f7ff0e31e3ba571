package membership

import (
	"maps"
	"slices"

	"applequay/internal/transport/wire"
)

// Hear takes a probe, an answer or a request for a second opinion.
//
//	out := picture.Hear(now, "c2~51", &wire.Probe{Seq: 4})
func (m *Members) Hear(now int64, from string, body wire.Record) wire.Outputs {
	var out wire.Outputs
	switch told := body.(type) {
	case *wire.Probe:
		m.merge(now, from, told.Members)
		m.heardClock(now, from, told.WallMs)
		out.Send(from, wire.KindProbeAck, &wire.ProbeAck{Seq: told.Seq, WallMs: now + m.offset, Members: m.telling(from, told.Sums), Board: m.board})
	case *wire.ProbeAck:
		m.merge(now, from, told.Members)
		m.heardClock(now, from, told.WallMs)
		m.answered(now, &out, from, told)
	case *wire.ProbeVia:
		m.merge(now, from, told.Members)
		if _, ok := m.table[told.Target]; ok {
			m.send(now, &out, told.Target, &probe{target: told.Target, sent: now, forWhom: from, forSeq: told.Seq})
		}
	}
	return out
}

// answered takes an answer from the one that was probed, or from one that was
// asked for a second opinion: another process may answer at the address by now.
func (m *Members) answered(now int64, out *wire.Outputs, from string, told *wire.ProbeAck) {
	sent, ok := m.probes[told.Seq]
	if !ok || (from != sent.target && !slices.Contains(sent.helpers, from)) {
		return
	}
	delete(m.probes, told.Seq)
	if kept, ok := m.table[sent.target]; ok {
		kept.heardMs = now
	}
	if sent.forWhom != "" {
		out.Send(sent.forWhom, wire.KindProbeAck, &wire.ProbeAck{Seq: sent.forSeq, WallMs: now + m.offset, Members: m.telling(sent.forWhom, nil), Board: m.board})
	}
}

// merge takes in what another says. Only a member itself raises its turn; for
// the same turn the worse standing counts.
func (m *Members) merge(now int64, from string, told []wire.Member) {
	for _, member := range told {
		if member.ID == m.self.ID {
			m.refute(member)
			continue
		}
		kept, ok := m.table[member.ID]
		if member.Since > 0 {
			if !ok || !applies(&kept.member, &member) {
				continue // sums find it
			}
			member = changed(kept.member, &member)
		}
		if !ok {
			if wire.Standing(member.Standing) != wire.StandingRemoved {
				m.replaced(now, from, member)
				m.table[member.ID] = &seen{member: member, since: now, heardMs: now, hash: m.hash(member.ID)}
				m.Mark++
				m.met(from, member)
			}
			continue
		}
		// Who speaks for itself stands well, whatever others said of it.
		self := member.ID == from
		newer := member.Born > kept.member.Born || (member.Born == kept.member.Born && member.Turn > kept.member.Turn)
		same := member.Born == kept.member.Born && member.Turn == kept.member.Turn
		switch {
		case newer, same && member.Standing > kept.member.Standing && !self:
			if kept.member.Standing != member.Standing || kept.member.Addr != member.Addr {
				kept.since = now
				m.Mark++
			}
			// A higher turn with nothing else new answers a doubt that others have.
			stands := kept.member.Standing != member.Standing || maps.Equal(kept.member.Fact, member.Fact)
			kept.change = m.change(kept, &member)
			kept.member = member
			m.changed(member.ID, stands)
		case same && !self && member.Standing == kept.member.Standing:
			m.heardAgain(member.ID)
		}
		if self {
			kept.heardMs = now
		}
	}
}

// met notes a member that was not known here. Who speaks for itself may be new
// to all; of others there was talk already, and sums spread the rest.
func (m *Members) met(from string, member wire.Member) {
	if member.ID == from || wire.Standing(member.Standing) != wire.StandingWell {
		m.changed(member.ID, false)
		return
	}
	m.version++
}

// replaced removes who was at the address of one that speaks for itself there: an
// address has one process at a time.
func (m *Members) replaced(now int64, from string, fresh wire.Member) {
	for _, id := range m.ids() {
		kept := m.table[id]
		if fresh.ID == from && kept.member.Addr == fresh.Addr && kept.member.Role == fresh.Role && wire.Standing(kept.member.Standing) != wire.StandingRemoved {
			m.set(now, kept, wire.StandingRemoved)
		}
	}
}

// refute answers a rumour about this node by a higher turn of its own.
func (m *Members) refute(told wire.Member) {
	if told.Born > m.self.Born {
		// The clock of this machine was set back between two starts.
		m.self.Born = told.Born
		m.raise(told.Turn + 1)
		m.Mark++
		return
	}
	if told.Born == m.self.Born && told.Turn >= m.self.Turn && told.Standing != m.self.Standing {
		m.raise(told.Turn + 1)
		m.Mark++
	}
}

// Standing returns how a member stands, and since when.
//
//	standing, sinceMs := picture.Standing("c2~51")
func (m *Members) Standing(id string) (wire.Standing, int64) {
	if id == m.self.ID {
		return wire.Standing(m.self.Standing), 0
	}
	if kept, ok := m.table[id]; ok {
		return wire.Standing(kept.member.Standing), kept.since
	}
	return wire.StandingRemoved, 0
}

// Majority tells whether a majority of the voters may be reached. While nothing
// is known of a voter it counts as reachable.
//
//	if !picture.Majority(core.Voters) { ... }
func (m *Members) Majority(voters []wire.Voter) bool {
	standing := 0
	for _, voter := range voters {
		kept, known := m.table[voter.ID]
		if !known || wire.Standing(kept.member.Standing) < wire.StandingRemoved {
			standing++
		}
	}
	return len(voters) > 0 && standing >= len(voters)/2+1
}
