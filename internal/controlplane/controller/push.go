package controller

import (
	"slices"

	"applequay/internal/controlplane/distribution"
	"applequay/internal/transport/wire"
)

// push tells each zone's home of a topic that it rose, at once; a home that
// misses it asks for it a little later. What this node alone knows first goes to
// all zones; what all controllers hear goes to those that this one looks after.
func (f *Frame) push(out *wire.Outputs, topic wire.Topic, all bool) {
	agents := f.members.Alive("agent")
	var zones []string
	for _, agent := range agents {
		if !slices.Contains(zones, agent.Zone) {
			zones = append(zones, agent.Zone)
		}
	}
	for _, zone := range zones {
		if home := distribution.Home(distribution.ServiceOf(topic.Name), zone, agents); home != "" && (all || f.looksAfter(zone)) {
			out.Send(home, wire.KindNews, &wire.News{Topics: []wire.Topic{topic}})
		}
	}
}

// looksAfter tells whether this controller tells a zone what all controllers hear:
// the first that stands there does, or the first of all where none is there.
func (f *Frame) looksAfter(zone string) bool {
	first, there := "", false
	for _, seat := range f.members.Alive("controller") {
		here := seat.Zone == zone
		if first == "" || (here && !there) || (here == there && seat.ID < first) {
			first, there = seat.ID, here
		}
	}
	return first == f.boot.ID
}

// tellSubscriber answers with what is past the subscriber's marks, of the service
// it names or of all.
func (f *Frame) tellSubscriber(out *wire.Outputs, from string, asked *wire.Subscribe) {
	if kind, body := f.board.Answers(asked); body != nil {
		out.Send(from, kind, body)
	}
}
