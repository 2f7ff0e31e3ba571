package controller

import (
	"slices"

	"applequay/internal/controlplane/distribution"
	"applequay/internal/transport/wire"
)

// push tells the fronts of a topic that rose, at once. What this node alone knows
// first (all) goes to each zone's home, which passes it on; a home that misses it
// asks for it a little later. What all controllers hear binds all fronts: each
// controller tells the zones that it looks after, and in its own zone every front
// itself, since its link carries that sooner than any front's and nobody then waits
// for a home that is slow or gone (toldByController in package agent).
func (c *Controller) push(out *wire.Outputs, topic wire.Topic, all bool) {
	agents := c.members.Alive("agent")
	told := &wire.News{Topics: []wire.Topic{topic}}
	homes := map[string]bool{}
	for _, agent := range agents {
		if !all && agent.Zone == c.boot.Zone {
			if c.looksAfter(agent.Zone) {
				out.Send(agent.ID, wire.KindNews, told)
			}
			continue
		}
		if homes[agent.Zone] || (!all && !c.looksAfter(agent.Zone)) {
			continue
		}
		homes[agent.Zone] = true
		out.Send(distribution.Home(distribution.ServiceOf(topic.Name), agent.Zone, agents), wire.KindNews, told)
	}
}

// looksAfter tells whether this controller tells a zone what all controllers hear:
// the first that stands there does, or the first of all where none is there.
func (c *Controller) looksAfter(zone string) bool {
	first, there := "", false
	for _, voter := range c.members.Alive("controller") {
		here := voter.Zone == zone
		if first == "" || (here && !there) || (here == there && voter.ID < first) {
			first, there = voter.ID, here
		}
	}
	return first == c.boot.ID
}

// tellSubscriber answers with what is past the subscriber's versions, of the service
// it names or of all; with the policy only once that is known to stand.
func (c *Controller) tellSubscriber(out *wire.Outputs, from string, asked *wire.Subscribe) {
	if asked.Confirm {
		c.confirm(from, asked)
		return
	}
	kind, body := c.board.Answers(asked)
	if news, is := body.(*wire.News); is {
		news.Topics = c.withoutUnconfirmed(from, news.Topics)
		if len(news.Topics) == 0 {
			return
		}
	}
	if body != nil {
		out.Send(from, kind, body)
	}
}

// withoutUnconfirmed leaves the policy out of what a subscriber is told; the
// subscriber gets it once a majority has confirmed it (confirmTick).
func (c *Controller) withoutUnconfirmed(subscriber string, topics []wire.Topic) []wire.Topic {
	at := slices.IndexFunc(topics, func(topic wire.Topic) bool { return topic.Name == PolicyKey })
	if at < 0 {
		return topics
	}
	c.confirming.waits = append(c.confirming.waits, waiting{id: subscriber})
	return slices.Delete(topics, at, at+1)
}

// sums are what this node's probes say of its news. It vouches for its control topics
// only while it may be in touch with a majority.
func (c *Controller) sums() wire.BoardSums {
	out := c.board.Sums()
	if c.founded() && c.members.Majority(c.proposer.Core().Voters) {
		out.AgeMs = 1
	}
	return out
}
