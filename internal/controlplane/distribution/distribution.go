// Package distribution keeps topics whose versions only rise, and decides who in a zone
// is the home of a topic.
package distribution

import (
	"hash/fnv"
	"maps"
	"slices"
	"strconv"

	"applequay/internal/transport/wire"
)

// Board holds the newest known copy of each topic.
type Board struct {
	topics map[string]kept
	fresh  map[string]bool
	names  []string // sorted
	sums   map[string]uint64
}

// kept is a topic with the service that tells of it and the hash of its version.
type kept struct {
	wire.Topic
	service string
	hash    uint64
}

// NewBoard makes an empty board.
//
//	board := distribution.NewBoard()
func NewBoard() *Board {
	return &Board{topics: map[string]kept{}, fresh: map[string]bool{}, sums: map[string]uint64{}}
}

// Newer tells whether a topic's version is past another's.
//
//	if distribution.Newer(told, kept) { ... }
func Newer(told, kept wire.Topic) bool {
	return told.Term > kept.Term || (told.Term == kept.Term && told.Step > kept.Step)
}

// Put takes a topic if its version is past the one kept.
//
//	if board.Put(topic) { ... }
func (b *Board) Put(topic wire.Topic) bool {
	before, known := b.topics[topic.Name]
	if known && !Newer(topic, before.Topic) {
		return false
	}
	next := kept{Topic: topic, service: before.service, hash: hash(topic)}
	if !known {
		next.service = ServiceOf(topic.Name)
		at, _ := slices.BinarySearch(b.names, topic.Name)
		b.names = slices.Insert(b.names, at, topic.Name)
	}
	if summed(topic.Name) {
		b.sums[next.service] += next.hash - before.hash
	}
	b.topics[topic.Name] = next
	b.fresh[topic.Name] = true
	return true
}

// Get returns a topic.
//
//	topic, ok := board.Get("policy")
func (b *Board) Get(name string) (wire.Topic, bool) {
	kept, ok := b.topics[name]
	return kept.Topic, ok
}

// Names lists the topics kept, sorted. Nobody may change the list.
//
//	for _, name := range board.Names() { ... }
func (b *Board) Names() []string { return b.names }

// Fresh returns the topics that rose since it was last asked.
//
//	for _, topic := range board.Fresh() { ... }
func (b *Board) Fresh() []wire.Topic {
	var out []wire.Topic
	if len(b.fresh) == 0 {
		return nil
	}
	for _, name := range slices.Sorted(maps.Keys(b.fresh)) {
		if topic, known := b.topics[name]; known {
			out = append(out, topic.Topic)
		}
	}
	b.fresh = map[string]bool{}
	return out
}

// HasFresh tells whether any topic rose since it was last asked for them.
//
//	if board.HasFresh() { ... }
func (b *Board) HasFresh() bool { return len(b.fresh) > 0 }

// Renew makes a topic count as risen once more.
//
//	board.Renew("policy")
func (b *Board) Renew(name string) { b.fresh[name] = true }

// have lists the versions kept of a service, without bodies; of all if none is named.
func (b *Board) have(service string) []wire.Topic {
	var out []wire.Topic
	for _, name := range b.names {
		if kept := b.topics[name]; service == "" || kept.service == service {
			out = append(out, wire.Topic{Name: name, Term: kept.Term, Step: kept.Step})
		}
	}
	return out
}

// since is all of a service that is past what a subscriber has.
func (b *Board) since(service string, listed []wire.Topic) *wire.News {
	have := make(map[string]wire.Topic, len(listed))
	for _, topic := range listed {
		have[topic.Name] = topic
	}
	told := &wire.News{}
	for _, name := range b.names {
		kept := b.topics[name]
		if service != "" && kept.service != service {
			continue
		}
		if other, ok := have[name]; !ok || Newer(kept.Topic, other) {
			told.Topics = append(told.Topics, kept.Topic)
		}
	}
	return told
}

// LinkFact tells the others how many megabits a second a member's link carries.
const LinkFact = "link"

// Home picks the agent of a zone that the others there subscribe to for a
// service, by rendezvous hash over those that stand and whose link is not much
// thinner than the widest: a home passes all news on to each agent of its zone.
//
//	home := distribution.Home("hints", "north", picture.Alive("agent"))
func Home(service, zone string, agents []wire.Member) string {
	best, bestScore := "", uint64(0)
	widest := int64(0)
	for _, member := range agents {
		if member.Zone == zone {
			widest = max(widest, linkOf(member))
		}
	}
	for _, member := range agents {
		if member.Zone != zone || linkOf(member) < widest/2 {
			continue
		}
		sum := fnv.New64a()
		_, _ = sum.Write([]byte(service + "|" + member.ID))
		score := sum.Sum64()
		score ^= score >> 29
		score *= 0xbf58476d1ce4e5b9
		score ^= score >> 32
		if best == "" || score > bestScore {
			best, bestScore = member.ID, score
		}
	}
	return best
}

// linkOf is a member's link in megabits a second; nought where it told none.
func linkOf(member wire.Member) int64 {
	mbps, err := strconv.ParseInt(member.Fact[LinkFact], 10, 64)
	if err != nil {
		return 0
	}
	return mbps
}
