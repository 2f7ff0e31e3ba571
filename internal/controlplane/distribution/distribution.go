// Package distribution keeps topics whose marks only rise, and decides who in a zone
// is the home of a topic.
package distribution

import (
	"hash/fnv"
	"slices"

	"applequay/internal/transport/wire"
)

// Board holds the newest known copy of each topic.
type Board struct {
	topics map[string]wire.Topic
	fresh  map[string]bool
}

// NewBoard makes an empty board.
//
//	board := distribution.NewBoard()
func NewBoard() *Board { return &Board{topics: map[string]wire.Topic{}, fresh: map[string]bool{}} }

// Newer tells whether a topic's mark is past another's.
//
//	if distribution.Newer(told, kept) { ... }
func Newer(told, kept wire.Topic) bool {
	return told.Term > kept.Term || (told.Term == kept.Term && told.Step > kept.Step)
}

// Put takes a topic if its mark is past the one kept.
//
//	if board.Put(topic) { ... }
func (b *Board) Put(topic wire.Topic) bool {
	kept, ok := b.topics[topic.Name]
	if ok && !Newer(topic, kept) {
		return false
	}
	b.topics[topic.Name] = topic
	b.fresh[topic.Name] = true
	return true
}

// Get returns a topic.
//
//	topic, ok := board.Get("policy")
func (b *Board) Get(name string) (wire.Topic, bool) {
	topic, ok := b.topics[name]
	return topic, ok
}

// Names lists the topics kept, sorted.
//
//	for _, name := range board.Names() { ... }
func (b *Board) Names() []string {
	names := make([]string, 0, len(b.topics))
	for name := range b.topics {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Fresh returns the topics that rose since it was last asked.
//
//	for _, topic := range board.Fresh() { ... }
func (b *Board) Fresh() []wire.Topic {
	var out []wire.Topic
	if len(b.fresh) == 0 {
		return nil
	}
	for _, name := range b.Names() {
		if b.fresh[name] {
			out = append(out, b.topics[name])
		}
	}
	b.fresh = map[string]bool{}
	return out
}

// Renew makes a topic count as risen once more.
//
//	board.Renew("policy")
func (b *Board) Renew(name string) { b.fresh[name] = true }

// Have lists the marks kept, without bodies, of the topics asked for.
//
//	subscribe := &wire.Subscribe{Have: board.Have(nil)}
func (b *Board) Have(only func(name string) bool) []wire.Topic {
	var out []wire.Topic
	for _, name := range b.Names() {
		if only == nil || only(name) {
			kept := b.topics[name]
			out = append(out, wire.Topic{Name: name, Term: kept.Term, Step: kept.Step})
		}
	}
	return out
}

// Since answers a subscriber with all that is past what it has.
//
//	told := board.Since(subscribe, nil)
func (b *Board) Since(asked *wire.Subscribe, only func(name string) bool) *wire.News {
	have := map[string]wire.Topic{}
	for _, topic := range asked.Have {
		have[topic.Name] = topic
	}
	told := &wire.News{}
	for _, name := range b.Names() {
		if only != nil && !only(name) {
			continue
		}
		if kept, ok := have[name]; !ok || Newer(b.topics[name], kept) {
			told.Topics = append(told.Topics, b.topics[name])
		}
	}
	return told
}

// Home picks the agent of a zone that the others there subscribe to for a
// service, by rendezvous hash over those that stand.
//
//	home := distribution.Home("hints", "north", picture.Alive("agent"))
func Home(service, zone string, agents []wire.Member) string {
	best, bestScore := "", uint64(0)
	for _, member := range agents {
		if member.Zone != zone {
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
