package agent

import (
	"strconv"

	"applequay/internal/controlplane/controller"
	"applequay/internal/controlplane/register"
	"applequay/internal/transport/wire"
)

// newestFact tells the others the newest policy version that this node has heard
// of, be it here or not.
const newestFact = "newest"

// firstCall is the read with which a front begins; operators' calls are above nought.
const firstCall = -1

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

// begin makes sure, after a start, of the policy that clients get first: one
// read at a majority, or, where the core cannot be reached, none older than any
// that the other fronts have heard of.
func (l *Agent) begin(now int64, out *wire.Outputs) {
	if l.fedVersion == 0 || l.due(now, "newest", l.boot.ProbeMs) {
		l.noteNewest()
	}
	if l.begun || l.proposer.Core().Epoch == 0 || !l.due(now, "first", l.boot.ProbeMs/2) {
		return
	}
	// The core may have just started too: it is asked again soon, and the first
	// answer counts. That there is none is known when the first question ends.
	standing := l.members.Majority(l.proposer.Core().Voters)
	if l.beginning && !standing {
		return
	}
	l.beginning = true
	more := l.proposer.Read(now, firstCall, controller.PolicyKey, wire.Ballot{}, nil)
	if !standing {
		more = register.Hopeless(firstCall, controller.PolicyKey)
	}
	out.Add(l.settleFirst(more))
}

// settleFirst takes the outcome of the first read out of what is to be answered.
func (l *Agent) settleFirst(out wire.Outputs) wire.Outputs {
	answers := out.Answers
	out.Answers = nil
	for _, answer := range answers {
		outcome, is := answer.Body.(register.Outcome)
		if answer.Call != firstCall || !is {
			out.Answers = append(out.Answers, answer)
			continue
		}
		if l.begun && outcome.Fate != register.FateDone {
			continue
		}
		l.begun = true
		if outcome.Fate == register.FateDone && outcome.Has {
			l.take(wire.Topic{Name: controller.PolicyKey, Step: outcome.Value.Version, Body: outcome.Value.Body})
		}
		l.feed(&out)
	}
	return out
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
