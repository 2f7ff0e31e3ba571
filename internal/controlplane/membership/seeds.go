package membership

import (
	"slices"

	"applequay/internal/transport/wire"
)

// SetSeeds takes the seeds of settings that were read again.
//
//	picture.SetSeeds([]string{"127.0.0.1:7100"})
func (m *Members) SetSeeds(seeds []string) { m.seeds = seeds }

// ProbeAddrs probes whoever is at some addresses.
//
//	out := picture.ProbeAddrs(now, []string{"10.0.1.1:7100"})
func (m *Members) ProbeAddrs(now int64, addrs []string) wire.Outputs {
	var out wire.Outputs
	for _, addr := range addrs {
		m.nextSeq++
		out.Send(addr, wire.KindProbe, m.probeTo(now, ""))
	}
	return out
}

// seedsNow are the seeds to be probed now: all while nobody else is known, or nobody
// of a role that this node has to meet, and else now and then, so that halves that lost
// each other meet again. How often falls as the fleet grows: all nodes together probe
// the seeds at a bounded rate.
func (m *Members) seedsNow() []string {
	known := len(m.Alive(""))
	met := known > 1 && (m.limits.Meets == "" || len(m.Alive(m.limits.Meets)) > 0)
	if met && m.random.Intn(max(seedsOnceIn, known/2)) > 0 {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(m.seeds), func(seed string) bool { return seed == m.self.Addr })
}

// seedsOnceIn is one in how many probes the seeds are probed, too, in a small fleet.
const seedsOnceIn = 16
