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
func (a *Agent) noteNewest() {
	if version := a.members.Version(); version == a.newestOf {
		return
	}
	for _, member := range a.members.All() {
		for _, fact := range []string{"mark", newestFact} {
			if mark, err := strconv.ParseInt(member.Fact[fact], 10, 64); err == nil {
				a.newest = max(a.newest, mark)
			}
		}
	}
	// What this front goes by itself is told anyway.
	if a.newest > a.versions[controller.PolicyKey] {
		a.members.Set(newestFact, strconv.FormatInt(a.newest, 10))
	}
	a.newestOf = a.members.Version()
}

// findCore asks for the core set while none is known here: the seeds, and one controller
// after another of those that were heard of, since seeds may know as little.
func (a *Agent) findCore(now int64, out *wire.Outputs) {
	if a.proposer.Core().Epoch > 0 || !a.due(now, "found", a.boot.ProbeMs) {
		return
	}
	asked := slices.Clone(a.boot.Seeds)
	if controllers := a.members.Alive("controller"); len(controllers) > 0 {
		a.coreAsked++
		asked = append(asked, controllers[a.coreAsked%len(controllers)].Addr)
	}
	slices.Sort(asked)
	for _, addr := range slices.Compact(asked) {
		out.Send(addr, wire.KindFoundAsk, &wire.FoundAsk{Voter: wire.Voter{ID: a.boot.ID, Addr: a.boot.Addr}})
	}
}

// foundTold answers one that looks for the core set: with the set, if it is known here,
// and else as a machine that has no vote, with whom it nominated to found the set. A seed
// may be such a machine.
func (a *Agent) foundTold(asked *wire.FoundAsk) *wire.FoundTold {
	core := a.proposer.Core()
	if asked.Propose && a.boot.Bootstrap && a.nominee == "" && core.Epoch == 0 {
		a.nominee = asked.Voter.ID
	}
	told := &wire.FoundTold{Voter: wire.Voter{Addr: a.boot.Addr}, Bound: a.nominee}
	if core.Epoch > 0 {
		told.Founded = true
		told.Core = wire.Encode(&wire.Value{Version: 1, Body: wire.Encode(&core)})
	}
	return told
}

func (a *Agent) learnCore(core wire.CoreSet) {
	a.proposer.Learn(core)
	a.SetSeeds(a.boot.Seeds)
	a.board.Put(register.CoreTopic(core))
}

// begin makes sure, after a start, of the policy that clients get first: the one
// that a controller reads for this front at a majority, or, where the core cannot be
// reached, none older than any that the other fronts have heard of. The controllers
// read it, one read for all who wait: a configuration may be large, a front's link
// thin, and many fronts may start at once while changes follow one another.
func (a *Agent) begin(now int64, out *wire.Outputs) {
	if a.fedVersion == 0 || a.due(now, "newest", a.boot.ProbeMs) {
		a.noteNewest()
	}
	voters := a.proposer.Core().Voters
	if a.begun || len(voters) == 0 || !a.due(now, "first", a.boot.ProbeMs/2) {
		return
	}
	// The core may have just started too: another controller is asked soon, and the
	// first answer counts. That there is none is known when a call's time is over.
	standing := a.members.Majority(voters)
	if (a.firstMs == 0 && !standing) || (a.firstMs > 0 && now-a.firstMs >= a.boot.CallMs) {
		a.begun = true
		a.feed(out)
		return
	}
	if a.firstMs == 0 {
		a.firstMs = now
	}
	if standing {
		a.firstAsked++
		out.Send(voters[a.firstAsked%len(voters)].ID, wire.KindSubscribe, &wire.Subscribe{Service: distribution.ControlService, Confirm: true, Have: []wire.Topic{{Name: controller.PolicyKey, Step: a.versions[controller.PolicyKey]}}})
	}
}

// withheld tells whether the proxy is not to get the policy kept here: it
// might be older than the one that clients here were served by before.
func (a *Agent) withheld(topic wire.Topic) bool {
	if topic.Name != controller.PolicyKey || a.fedVersion > 0 {
		return false
	}
	return !a.begun || topic.Step < a.newest
}

// fed is what of some topics the proxy may get now; what is withheld
// stays on the board, and goes with a later feed.
func (a *Agent) fed(topics []wire.Topic) []wire.Topic {
	var out []wire.Topic
	for _, topic := range topics {
		if a.withheld(topic) {
			a.board.Renew(topic.Name)
			continue
		}
		if topic.Name == controller.PolicyKey {
			a.fedVersion = max(a.fedVersion, topic.Step)
		}
		out = append(out, topic)
	}
	return out
}
