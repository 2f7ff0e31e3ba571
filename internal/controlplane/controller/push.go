package controller

import (
	"slices"
	"strings"

	"applequay/internal/controlplane/distribution"
	"applequay/internal/transport/wire"
)

// ServiceOf names the service whose home in each zone tells of a topic: the
// pool that it is about, or control.
//
//	service := controller.ServiceOf("homes/llm/w3")
func ServiceOf(topic string) string {
	if parts := strings.Split(topic, "/"); parts[0] == "homes" {
		return parts[0] + "/" + parts[1]
	}
	return ControlService
}

// ControlService is the service under which all but the homes are told.
const ControlService = "control"

// TopicsOf tells the topics of a service from the others; nil where none is named.
//
//	told := board.Since(asked, controller.TopicsOf(asked.Service))
func TopicsOf(service string) func(topic string) bool {
	if service == "" {
		return nil
	}
	return func(topic string) bool { return ServiceOf(topic) == service }
}

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
		if home := distribution.Home(ServiceOf(topic.Name), zone, agents); home != "" && (all || f.looksAfter(zone)) {
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
// it names or of all; with the policy only once that is known to stand.
func (f *Frame) tellSubscriber(out *wire.Outputs, from string, asked *wire.Subscribe) {
	told := f.board.Since(asked, TopicsOf(asked.Service))
	if at := slices.IndexFunc(told.Topics, func(t wire.Topic) bool { return t.Name == PolicyKey }); at >= 0 {
		told.Topics = slices.Delete(told.Topics, at, at+1)
		f.confirming.waits = append(f.confirming.waits, from)
	}
	if len(told.Topics) > 0 {
		out.Send(from, wire.KindNews, told)
	}
}
