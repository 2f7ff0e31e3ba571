package agent

import (
	"maps"
	"slices"

	"applequay/internal/controlplane/controller"
	"applequay/internal/controlplane/distribution"
	"applequay/internal/transport/wire"
)

// services lists all that a zone has homes for.
func (l *Agent) services() []string {
	out := []string{distribution.ControlService}
	for _, service := range l.policy.Services {
		if name := "homes/" + service.Pool; !slices.Contains(out, name) {
			out = append(out, name)
		}
	}
	for _, item := range l.policy.Items {
		if name := "homes/" + item.Pool; !slices.Contains(out, name) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// SetSeeds takes the seeds of settings that were read again.
//
//	upstream.SetSeeds([]string{"10.0.0.7:7100"})
func (l *Agent) SetSeeds(seeds []string) {
	l.boot.Seeds = seeds
	l.members.SetSeeds(controller.SeedsWith(seeds, l.proposer.Core()))
}

// heardNews passes on and feeds what rose: to the zone's peers what a controller
// told this front as their home. News of homes that comes in a burst goes together.
func (l *Agent) heardNews(now int64, out *wire.Outputs, from string, told *wire.News) {
	told.Topics = slices.DeleteFunc(told.Topics, func(topic wire.Topic) bool { return !l.take(topic) })
	if told.Confirms == l.boot.ID {
		l.begun, l.newsMs = true, now-l.boot.ProbeMs
	}
	if l.members.Role(from) == "controller" {
		agents := l.members.Alive("agent")
		for _, topic := range told.Topics {
			// What a front that is no home asked for is for itself alone.
			if binding(topic.Name) && l.inZone(from) {
				continue
			}
			if distribution.Home(distribution.ServiceOf(topic.Name), l.boot.Zone, agents) == l.boot.ID {
				l.passing[topic.Name] = topic
			}
		}
	}
	if slices.ContainsFunc(told.Topics, func(topic wire.Topic) bool { return distribution.ServiceOf(topic.Name) == distribution.ControlService }) {
		l.newsMs = now - l.boot.ProbeMs
	}
	l.newsOut(now, out)
}

// binding tells whether a topic is in force at all fronts at once.
func binding(topic string) bool {
	return topic == controller.PolicyKey || topic == controller.DirectoryKey
}

// inZone tells whether a controller that stands is in this zone: it tells all fronts
// here itself of what binds them all (controller.push).
func (l *Agent) inZone(id string) bool {
	return slices.ContainsFunc(l.members.Alive("controller"), func(one wire.Member) bool { return one.ID == id && one.Zone == l.boot.Zone })
}

// newsOut passes on and feeds what rose, unless something went out just before.
func (l *Agent) newsOut(now int64, out *wire.Outputs) {
	if now-l.newsMs < l.boot.ProbeMs/newsPerProbe {
		return
	}
	if len(l.passing) > 0 {
		told := &wire.News{}
		for _, name := range slices.Sorted(maps.Keys(l.passing)) {
			told.Topics = append(told.Topics, l.passing[name])
		}
		clear(l.passing)
		for _, member := range l.members.Alive("agent") {
			if member.ID != l.boot.ID && member.Zone == l.boot.Zone {
				out.Send(member.ID, wire.KindNews, told)
			}
		}
		l.newsMs = now
	}
	if l.feed(out) {
		l.newsMs = now
	}
}

// newsPerProbe is how often between two probes news goes on: what comes in a
// burst goes together, and what comes alone at once.
const newsPerProbe = 4

// subscribed answers one that asks for what it lacks. The proxy beside gets only
// what it may.
func (l *Agent) subscribed(out *wire.Outputs, from string, asked *wire.Subscribe) {
	kind, body := l.board.Answers(asked)
	if told, is := body.(*wire.News); is {
		if _, peer := l.members.Addr(from); !peer {
			told.Topics = l.fed(told.Topics)
		}
		if len(told.Topics) == 0 {
			return
		}
	}
	if body != nil {
		out.Send(from, kind, body)
	}
}

// feed gives the proxy beside this agent what rose; false if nothing did.
func (l *Agent) feed(out *wire.Outputs) bool {
	fresh := l.board.Fresh()
	some := len(fresh) > 0
	if at := slices.IndexFunc(fresh, func(t wire.Topic) bool { return t.Name == distribution.WaitsTopic }); at >= 0 {
		l.feedWaits(out, fresh[at])
		fresh = slices.Delete(fresh, at, at+1)
	}
	if fresh = l.fed(fresh); len(fresh) > 0 {
		out.Send(l.boot.Proxy, wire.KindNews, &wire.News{Topics: fresh})
	}
	return some
}
