package membership

import "slices"

// clockMs is how long another's clock counts after it was heard, in probes.
const clockProbes = 100

// Clock notes what this machine's wall clock says.
//
//	picture.Clock(now, wallMs)
func (m *Members) Clock(now, wallMs int64) { m.offset = wallMs - now }

func (m *Members) heardClock(now int64, from string, wallMs int64) {
	if kept, ok := m.table[from]; ok && wallMs > 0 {
		kept.offset, kept.offsetAt = wallMs-now, now
	}
}

// Wall is the moment that the middle one of all known clocks shows: a clock
// that jumps, this machine's too, moves nothing as long as most do not.
//
//	picture.Wall(now)
func (m *Members) Wall(now int64) int64 {
	offsets := []int64{m.offset}
	for _, kept := range m.table {
		if kept.offsetAt > 0 && now-kept.offsetAt < clockProbes*m.limits.ProbeMs {
			offsets = append(offsets, kept.offset)
		}
	}
	slices.Sort(offsets)
	return now + offsets[(len(offsets)-1)/2]
}

// Role is what a member does; empty if it is not known.
//
//	if picture.Role("c2~51") == "controller" { ... }
func (m *Members) Role(id string) string {
	if kept, ok := m.table[id]; ok {
		return kept.member.Role
	}
	return ""
}

// AgeMs is how long a member has been up by its own clock; false if its clock was
// not heard of.
//
//	age, known := picture.AgeMs(now, "c2~51")
func (m *Members) AgeMs(now int64, id string) (int64, bool) {
	kept, ok := m.table[id]
	if !ok || kept.offsetAt == 0 {
		return 0, false
	}
	return max(now+kept.offset-kept.member.Born, 0), true
}
