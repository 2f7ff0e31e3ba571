package distribution

import (
	"hash/fnv"
	"strings"

	"applequay/internal/transport/wire"
)

// A subscriber asks with a sum of the versions that it has. Who holds the same says
// nothing; who does not asks for the list of them, and answers that with all
// that is past it. So what nothing happens to costs one short message.

// ControlService is the service under which all but the homes are told.
const ControlService = "control"

// Topics that sums leave out: when what waits for the store will be there is told
// anew all the time and of no use later; the zone is each agent's own.
const (
	WaitsTopic = "waits"
	ZoneTopic  = "zone"
)

func summed(topic string) bool { return topic != WaitsTopic && topic != ZoneTopic }

// ServiceOf names the service whose home in each zone tells of a topic: the
// pool that it is about, or control.
//
//	service := distribution.ServiceOf("homes/llm/w3")
func ServiceOf(topic string) string {
	if parts := strings.Split(topic, "/"); parts[0] == "homes" {
		return parts[0] + "/" + parts[1]
	}
	return ControlService
}

// Asks is what a subscriber sends for a service, or for all if none is named: the
// sum of what it has, or, as long as it has nothing, an empty list.
//
//	out.Send(home, wire.KindSubscribe, board.Asks("homes/llm"))
func (b *Board) Asks(service string) *wire.Subscribe {
	return &wire.Subscribe{Service: service, Sum: b.sum(service)}
}

// Answers tells a subscriber what it lacks, asks it for its list, or says nothing.
// A subscriber who is asked for its list sends that.
//
//	if kind, body := board.Answers(asked); body != nil { out.Send(from, kind, body) }
func (b *Board) Answers(asked *wire.Subscribe) (wire.Kind, wire.Record) {
	switch {
	case asked.Tell:
		return wire.KindSubscribe, &wire.Subscribe{Service: asked.Service, Have: b.have(asked.Service)}
	case asked.Sum != 0 && asked.Sum == b.sum(asked.Service):
		return wire.KindNone, nil
	case asked.Sum != 0:
		return wire.KindSubscribe, &wire.Subscribe{Service: asked.Service, Tell: true}
	}
	if told := b.since(asked.Service, asked.Have); len(told.Topics) > 0 {
		return wire.KindNews, told
	}
	return wire.KindNone, nil
}

// Sums tell others in short what this board has, of control topics and of homes.
//
//	picture.Tell(board.Sums())
func (b *Board) Sums() wire.BoardSums {
	out := wire.BoardSums{Control: int64(b.sums[ControlService])}
	for service, sum := range b.sums {
		if service != ControlService {
			out.Homes += int64(sum)
		}
	}
	return out
}

// sum tells the versions of a service, or of all, in one number; nought if there
// are none.
func (b *Board) sum(service string) int64 {
	if service != "" {
		return int64(b.sums[service])
	}
	var all uint64
	for _, sum := range b.sums {
		all += sum
	}
	return int64(all)
}

func hash(topic wire.Topic) uint64 {
	name := fnv.New64a()
	_, _ = name.Write([]byte(topic.Name))
	return mixed(mixed(name.Sum64()^uint64(topic.Term)*0x9e3779b97f4a7c15) ^ uint64(topic.Step))
}

// mixed spreads the bits of a hash.
func mixed(sum uint64) uint64 {
	sum ^= sum >> 29
	sum *= 0xbf58476d1ce4e5b9
	sum ^= sum >> 32
	return sum
}
