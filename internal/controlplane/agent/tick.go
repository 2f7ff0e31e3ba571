package agent

import (
	"fmt"
	"slices"

	"applequay/internal/controlplane/controller"
	"applequay/internal/controlplane/distribution"
	"applequay/internal/controlplane/register"
	"applequay/internal/transport/wire"
)

// Tick does all that time brings.
//
//	out := upstream.Tick(now, wallMs)
func (l *Agent) Tick(now, wallMs int64) wire.Outputs {
	var out wire.Outputs
	l.now = now
	l.members.Clock(now, wallMs)
	l.members.Tell(l.sums(now))
	out.Add(l.members.Tick(now))
	out.Add(l.proposer.Tick(now))
	l.begin(now, &out)
	l.findCore(now, &out)
	l.subscribe(now, &out)
	l.ticketsTick(now, &out)
	told := l.due(now, "contact", l.boot.ProbeMs) && l.contact(now, &out)
	l.fleet(now, told, &out)
	l.wantsTick(now, &out)
	l.resend(now, &out)
	l.newsOut(now, &out)
	return out
}

// fleet tells the proxy how many fronts there are: when that changes, and now and
// then in case it missed it, then beside a word of contact if there is one.
func (l *Agent) fleet(now int64, beside bool, out *wire.Outputs) {
	fronts := int64(max(len(l.members.Alive("agent")), 1))
	if fronts != l.toldFronts || (beside && l.due(now, "fleet", 3*l.boot.ProbeMs)) || l.due(now, "fleet", 8*l.boot.ProbeMs) {
		l.toldFronts, l.timers["fleet"] = fronts, now
		out.Send(l.boot.Proxy, wire.KindFleet, &wire.Fleet{Fronts: fronts})
	}
}

// DueMs is when Tick has something to do at the latest, if nothing is heard
// before: at the next probe where nothing is under way.
//
//	if line.DueMs(now) <= now { out := line.Tick(now, wallMs) }
func (l *Agent) DueMs(now int64) int64 {
	busy := !l.begun || l.young(now) || l.proposer.Busy() || len(l.asking) > 0 || len(l.passing) > 0 || l.board.HasFresh()
	for _, kept := range l.boxes {
		busy = busy || len(kept.msgs) > 0
	}
	if busy {
		return now
	}
	return l.members.DueMs()
}

// subscribe asks the zone's home of each service for what is past the versions
// here, which is little: homes pass on what they are told; a home asks a controller.
// It asks only if others were heard that do not have the same, or none that has.
// Once in a while, and while the core is deaf to it, a home asks its zone's peers
// too, and a front that knows nothing asks all.
func (l *Agent) subscribe(now int64, out *wire.Outputs) {
	if l.young(now) {
		if voters := l.proposer.Core().Voters; len(voters) > 0 && l.due(now, "young", l.boot.ProbeMs/2) {
			// One after the other: each is asked for what those before lacked.
			l.youngAsked++
			out.Send(voters[l.youngAsked%len(voters)].ID, wire.KindSubscribe, l.board.Asks(""))
		}
	}
	l.askController(now, out)
	if !l.due(now, "subscribe", 2*l.boot.ProbeMs) {
		return
	}
	l.turns++
	agents := l.members.Alive("agent")
	control, homes := l.lacks(now)
	for _, service := range l.services() {
		if (service == distribution.ControlService && !control) || (service != distribution.ControlService && !homes) {
			continue
		}
		if home := distribution.Home(service, l.boot.Zone, agents); home != l.boot.ID && home != "" {
			out.Send(home, wire.KindSubscribe, l.board.Asks(service))
		} else {
			l.askAnyController(out, service)
		}
	}
	if _, knows := l.board.Get(controller.PolicyKey); knows && (!l.due(now, "peers", 8*l.boot.ProbeMs) || !(control || homes)) {
		return
	}
	all := l.board.Asks("")
	if peer := l.peer(agents, true); peer != "" {
		out.Send(peer, wire.KindSubscribe, all)
	} else if peer := l.peer(agents, false); peer != "" {
		out.Send(peer, wire.KindSubscribe, all)
	}
}

// lacks tells whether control topics, and homes, may have been missed.
func (l *Agent) lacks(now int64) (control, homes bool) {
	control = l.agreement.control.asks(now, agreedProbes*l.boot.ProbeMs)
	// What a worker holds may be a little later than what binds all.
	if l.turns%2 == 1 || l.young(now) {
		homes = l.agreement.homes.asks(now, agreedProbes*l.boot.ProbeMs)
	}
	return control || l.young(now), homes || l.young(now)
}

// askController asks a controller itself what must be in force everywhere in time
// (configuration, worker list): the zone's home may be cut off from the
// controllers while it stands well among the fronts. It need not ask while it knows
// by others that it has what a controller had a moment ago. A question holds a sum.
func (l *Agent) askController(now int64, out *wire.Outputs) {
	if l.young(now) || now-l.agreement.coreMs < 3*l.boot.ProbeMs || !l.due(now, "controller", 3*l.boot.ProbeMs) {
		return
	}
	l.askAnyController(out, distribution.ControlService)
}

// askAnyController asks one of the controllers that stand, or any if none does.
func (l *Agent) askAnyController(out *wire.Outputs, service string) {
	voters := slices.Clone(l.proposer.Core().Voters)
	well := slices.DeleteFunc(slices.Clone(voters), func(voter wire.Voter) bool {
		standing, _ := l.members.Standing(voter.ID)
		return standing != wire.StandingWell
	})
	if len(well) > 0 {
		voters = well
	}
	if len(voters) > 0 {
		out.Send(voters[l.random.Intn(len(voters))].ID, wire.KindSubscribe, l.board.Asks(service))
	}
}

// young tells whether this front started so lately that it may lack what others
// know, and what all controllers have is worth asking for.
func (l *Agent) young(now int64) bool { return now-l.startMs < 8*l.boot.ProbeMs }

func (l *Agent) peer(agents []wire.Member, inZone bool) string {
	var peers []string
	for _, member := range agents {
		if member.ID != l.boot.ID && (!inZone || member.Zone == l.boot.Zone) {
			peers = append(peers, member.ID)
		}
	}
	if len(peers) == 0 {
		return ""
	}
	return peers[l.random.Intn(len(peers))]
}

// Change runs an operator's compare-and-set; the outcome answers the call.
//
//	out := upstream.Change(now, call, register.Write{Key: controller.PolicyKey, Expected: 7, Body: body})
func (l *Agent) Change(now, call int64, asked register.Write) wire.Outputs {
	if !l.members.Majority(l.proposer.Core().Voters) {
		return register.Hopeless(call, asked.Key)
	}
	if asked.Name == "" {
		asked.Name = fmt.Sprintf("%s#%x", l.boot.ID, l.random.Int63())
	}
	return l.proposer.Write(now, call, asked)
}

// Read runs a read at a majority; the outcome answers the call.
//
//	out := upstream.Read(now, call, controller.PolicyKey)
func (l *Agent) Read(now, call int64, key string) wire.Outputs {
	if !l.members.Majority(l.proposer.Core().Voters) {
		return register.Hopeless(call, key)
	}
	return l.proposer.Read(now, call, key, wire.Ballot{}, nil)
}

// Learnt tells this machine what an operator's call found, at once.
//
//	out := upstream.Learnt(now, controller.PolicyKey, value)
func (l *Agent) Learnt(_ int64, key string, value wire.Value) wire.Outputs {
	var out wire.Outputs
	value = register.Standing(value)
	l.take(wire.Topic{Name: key, Step: value.Version, Body: value.Body})
	l.feed(&out)
	return out
}

// Leave tells the others that this node goes.
//
//	out := upstream.Leave(now)
func (l *Agent) Leave(now int64) wire.Outputs {
	l.members.Leave()
	return l.members.Tick(now)
}

// Addr returns where a member is reached.
//
//	addr, ok := upstream.Addr("c2~51")
func (l *Agent) Addr(id string) (string, bool) {
	if addr, ok := l.members.Addr(id); ok {
		return addr, true
	}
	for _, voter := range l.proposer.Core().Voters {
		if voter.ID == id {
			return voter.Addr, true
		}
	}
	return "", false
}

// Fact notes a fact about this node that all others hear.
//
//	upstream.Fact("clock_jump_ms", "3600000")
func (l *Agent) Fact(name, fact string) { l.members.Set(name, fact) }
