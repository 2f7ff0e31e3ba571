package membership

import (
	"hash/fnv"
	"math/bits"
	"slices"

	"applequay/internal/transport/wire"
)

// Sums are how two nodes find what differs in their pictures without telling all
// of them (anti-entropy by digests): the members are put into buckets by a hash
// of their ids, and a sum tells the turns of those in one bucket. Whoever gets
// sums answers with the members of the buckets that differ. Who went is left
// out: each node forgets them in its own time.

// fewestBuckets and mostBuckets bound the number of sums, a power of two.
const (
	fewestBuckets = 4
	mostBuckets   = 64
)

// bucketsFor makes a bucket hold a few members, however many there are.
func bucketsFor(members int) int {
	return min(max(1<<bits.Len(uint(members/4)), fewestBuckets), mostBuckets)
}

// sums are those of so many buckets.
func (m *Members) sums(buckets int) []int64 {
	out := make([]int64, buckets)
	add := func(member *wire.Member, hash uint64) {
		if wire.Standing(member.Standing) < wire.StandingLeaving {
			// Half a word is enough, and shorter on the wire.
			out[hash%uint64(buckets)] += int64(uint32(mixed(hash ^ uint64(member.Born)*0x9e3779b97f4a7c15 ^ mixed(uint64(member.Turn)))))
		}
	}
	add(&m.self, m.hash(m.self.ID))
	for _, kept := range m.table {
		add(&kept.member, kept.hash)
	}
	for at := range out {
		out[at] &= 1<<32 - 1
	}
	return out
}

// differing are the ids of those in whose buckets another's sums are not as here:
// some of them, where there are many, since the next messages bring the rest; all
// for one that knows hardly anybody.
func (m *Members) differing(sums []int64) []string {
	if len(sums) == 0 || len(sums) > mostBuckets {
		return nil
	}
	var out []string
	mine, empty := m.sums(len(sums)), 0
	for _, sum := range sums {
		if sum == 0 {
			empty++
		}
	}
	for _, id := range m.ids() {
		if at := m.table[id].hash % uint64(len(sums)); mine[at] != sums[at] {
			out = append(out, id)
		}
	}
	if 2*empty > len(sums) {
		return out
	}
	// What is being told anyway goes round without sums; who stands is not left to that.
	out = slices.DeleteFunc(out, func(id string) bool { return m.told[id] != nil && !m.told[id].stands })
	if len(out) <= mostDiffering {
		return out
	}
	from := m.random.Intn(len(out))
	return append(out[from:], out[:from]...)[:mostDiffering]
}

// mostDiffering is how many members an answer holds for sums that differ.
const mostDiffering = 32

func (m *Members) hash(id string) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(id))
	return mixed(sum.Sum64())
}

// mixed spreads the bits of a hash.
func mixed(hash uint64) uint64 {
	hash ^= hash >> 29
	hash *= 0xbf58476d1ce4e5b9
	hash ^= hash >> 32
	return hash
}
