package agent

import (
	"slices"
	"strconv"

	"applequay/internal/controlplane/controller"
	"applequay/internal/controlplane/distribution"
	"applequay/internal/controlplane/register"
	"applequay/internal/transport/wire"
)

// newestFact tells the others the newest policy version that this node has heard
// of, be it here or not.
const newestFact = "newest"

// noteNewest gathers the newest policy version known to anyone, also to those that
// went: a front that comes back must not fall behind what it went by before.
func (l *Agent) noteNewest() {
	if version := l.members.Version(); version == l.newestOf {
		return
	}
	for _, member := range l.members.All() {
		for _, fact := range []string{"mark", newestFact} {
			if mark, err := strconv.ParseInt(member.Fact[fact], 10, 64); err == nil {
				l.newest = max(l.newest, mark)
			}
		}
	}
	// What this front goes by itself is told anyway.
	if l.newest > l.versions[controller.PolicyKey] {
		l.members.Set(newestFact, strconv.FormatInt(l.newest, 10))
	}
	l.newestOf = l.members.Version()
}

// findCore asks for the core set while none is known here: the seeds, and one controller
// after another of those that were heard of, since seeds may know as little.
func (l *Agent) findCore(now int64, out *wire.Outputs) {
	if l.proposer.Core().Epoch > 0 || !l.due(now, "found", l.boot.ProbeMs) {
		return
	}
	asked := slices.Clone(l.boot.Seeds)
	if controllers := l.members.Alive("controller"); len(controllers) > 0 {
		l.coreAsked++
		asked = append(asked, controllers[l.coreAsked%len(controllers)].Addr)
	}
	slices.Sort(asked)
	for _, addr := range slices.Compact(asked) {
		out.Send(addr, wire.KindFoundAsk, &wire.FoundAsk{Voter: wire.Voter{ID: l.boot.ID, Addr: l.boot.Addr}})
	}
}

// foundTold answers one that looks for the core set: with the set, if it is known here,
// and else as a machine that has no vote, with whom it nominated to found the set. A seed
// may be such a machine.
func (l *Agent) foundTold(asked *wire.FoundAsk) *wire.FoundTold {
	core := l.proposer.Core()
	if asked.Propose && l.boot.Bootstrap && l.nominee == "" && core.Epoch == 0 {
		l.nominee = asked.Voter.ID
	}
	told := &wire.FoundTold{Voter: wire.Voter{Addr: l.boot.Addr}, Bound: l.nominee}
	if core.Epoch > 0 {
		told.Founded = true
		told.Core = wire.Encode(&wire.Value{Version: 1, Body: wire.Encode(&core)})
	}
	return told
}

func (l *Agent) learnCore(core wire.CoreSet) {
	l.proposer.Learn(core)
	l.SetSeeds(l.boot.Seeds)
	l.board.Put(register.CoreTopic(core))
}

// begin makes sure, after a start, of the policy that clients get first: the one
// that a controller reads for this front at a majority, or, where the core cannot be
// reached, none older than any that the other fronts have heard of. The controllers
// read it, one read for all who wait: a configuration may be large, a front's link
// thin, and many fronts may start at once while changes follow one another.
func (l *Agent) begin(now int64, out *wire.Outputs) {
	if l.fedVersion == 0 || l.due(now, "newest", l.boot.ProbeMs) {
		l.noteNewest()
	}
	voters := l.proposer.Core().Voters
	if l.begun || len(voters) == 0 || !l.due(now, "first", l.boot.ProbeMs/2) {
		return
	}
	// The core may have just started too: another controller is asked soon, and the
	// first answer counts. That there is none is known when a call's time is over.
	standing := l.members.Majority(voters)
	if (l.firstMs == 0 && !standing) || (l.firstMs > 0 && now-l.firstMs >= l.boot.CallMs) {
		l.begun = true
		l.feed(out)
		return
	}
	if l.firstMs == 0 {
		l.firstMs = now
	}
	if standing {
		l.firstAsked++
		out.Send(voters[l.firstAsked%len(voters)].ID, wire.KindSubscribe, &wire.Subscribe{Service: distribution.ControlService, Confirm: true, Have: []wire.Topic{{Name: controller.PolicyKey, Step: l.versions[controller.PolicyKey]}}})
	}
}

// withheld tells whether the proxy is not to get the policy kept here: it
// might be older than the one that clients here were served by before.
func (l *Agent) withheld(topic wire.Topic) bool {
	if topic.Name != controller.PolicyKey || l.fedVersion > 0 {
		return false
	}
	return !l.begun || topic.Step < l.newest
}

// fed is what of some topics the proxy may get now; what is withheld
// stays on the board, and goes with a later feed.
func (l *Agent) fed(topics []wire.Topic) []wire.Topic {
	var out []wire.Topic
	for _, topic := range topics {
		if l.withheld(topic) {
			l.board.Renew(topic.Name)
			continue
		}
		if topic.Name == controller.PolicyKey {
			l.fedVersion = max(l.fedVersion, topic.Step)
		}
		out = append(out, topic)
	}
	return out
}
