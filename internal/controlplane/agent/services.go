package agent

import (
	"maps"
	"slices"

	"applequay/internal/controlplane/controller"
	"applequay/internal/controlplane/distribution"
	"applequay/internal/transport/wire"
)

// services lists all that a zone has homes for.
func (a *Agent) services() []string {
	out := []string{distribution.ControlService}
	for _, service := range a.policy.Services {
		if name := "homes/" + service.Pool; !slices.Contains(out, name) {
			out = append(out, name)
		}
	}
	for _, item := range a.policy.Items {
		if name := "homes/" + item.Pool; !slices.Contains(out, name) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// SetSeeds takes the seeds of settings that were read again.
//
//	agent.SetSeeds([]string{"10.0.0.7:7100"})
func (a *Agent) SetSeeds(seeds []string) {
	a.boot.Seeds = seeds
	a.members.SetSeeds(controller.SeedsWith(seeds, a.proposer.Core()))
}

// heardNews passes on and feeds what rose: to the zone's peers what a controller
// told this front as their home. News of homes that comes in a burst goes together.
func (a *Agent) heardNews(now int64, out *wire.Outputs, from string, told *wire.News) {
	told.Topics = slices.DeleteFunc(told.Topics, func(topic wire.Topic) bool { return !a.take(topic) })
	if told.Confirms == a.boot.ID {
		a.begun, a.newsMs = true, now-a.boot.ProbeMs
	}
	if a.members.Role(from) == "controller" {
		agents := a.members.Alive("agent")
		for _, topic := range told.Topics {
			// What a front that is no home asked for is for itself alone.
			if binding(topic.Name) && a.inZone(from) {
				continue
			}
			if distribution.Home(distribution.ServiceOf(topic.Name), a.boot.Zone, agents) == a.boot.ID {
				a.passing[topic.Name] = topic
			}
		}
	}
	if slices.ContainsFunc(told.Topics, func(topic wire.Topic) bool { return distribution.ServiceOf(topic.Name) == distribution.ControlService }) {
		a.newsMs = now - a.boot.ProbeMs
	}
	a.newsOut(now, out)
}

// binding tells whether a topic is in force at all fronts at once.
func binding(topic string) bool {
	return topic == controller.PolicyKey || topic == controller.DirectoryKey
}

// inZone tells whether a controller that stands is in this zone: it tells all fronts
// here itself of what binds them all (controller.push).
func (a *Agent) inZone(id string) bool {
	return slices.ContainsFunc(a.members.Alive("controller"), func(one wire.Member) bool { return one.ID == id && one.Zone == a.boot.Zone })
}

// newsOut passes on and feeds what rose, unless something went out just before.
func (a *Agent) newsOut(now int64, out *wire.Outputs) {
	if now-a.newsMs < a.boot.ProbeMs/newsPerProbe {
		return
	}
	if len(a.passing) > 0 {
		told := &wire.News{}
		for _, name := range slices.Sorted(maps.Keys(a.passing)) {
			told.Topics = append(told.Topics, a.passing[name])
		}
		clear(a.passing)
		for _, member := range a.members.Alive("agent") {
			if member.ID != a.boot.ID && member.Zone == a.boot.Zone {
				out.Send(member.ID, wire.KindNews, told)
			}
		}
		a.newsMs = now
	}
	if a.feed(out) {
		a.newsMs = now
	}
}

// newsPerProbe is how often between two probes news goes on: what comes in a
// burst goes together, and what comes alone at once.
const newsPerProbe = 4

// subscribed answers one that asks for what it lacks. The proxy beside gets only
// what it may.
func (a *Agent) subscribed(out *wire.Outputs, from string, asked *wire.Subscribe) {
	kind, body := a.board.Answers(asked)
	if told, is := body.(*wire.News); is {
		if _, peer := a.members.Addr(from); !peer {
			told.Topics = a.fed(told.Topics)
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
func (a *Agent) feed(out *wire.Outputs) bool {
	fresh := a.board.Fresh()
	some := len(fresh) > 0
	if at := slices.IndexFunc(fresh, func(t wire.Topic) bool { return t.Name == distribution.WaitsTopic }); at >= 0 {
		a.feedWaits(out, fresh[at])
		fresh = slices.Delete(fresh, at, at+1)
	}
	if fresh = a.fed(fresh); len(fresh) > 0 {
		out.Send(a.boot.Proxy, wire.KindNews, &wire.News{Topics: fresh})
	}
	return some
}
