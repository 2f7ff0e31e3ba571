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
//	out := agent.Tick(now, wallMs)
func (a *Agent) Tick(now, wallMs int64) wire.Outputs {
	var out wire.Outputs
	a.now = now
	a.members.Clock(now, wallMs)
	a.members.Tell(a.sums(now))
	out.Add(a.members.Tick(now))
	out.Add(a.proposer.Tick(now))
	a.begin(now, &out)
	a.findCore(now, &out)
	a.subscribe(now, &out)
	a.ticketsTick(now, &out)
	told := a.due(now, "contact", a.boot.ProbeMs) && a.contact(now, &out)
	a.fleet(now, told, &out)
	a.wantsTick(now, &out)
	a.resend(now, &out)
	a.newsOut(now, &out)
	return out
}

// fleet tells the proxy how many fronts there are: when that changes, and now and
// then in case it missed it, then beside a word of contact if there is one.
func (a *Agent) fleet(now int64, beside bool, out *wire.Outputs) {
	fronts := int64(max(len(a.members.Alive("agent")), 1))
	if fronts != a.toldFronts || (beside && a.due(now, "fleet", 3*a.boot.ProbeMs)) || a.due(now, "fleet", 8*a.boot.ProbeMs) {
		a.toldFronts, a.timers["fleet"] = fronts, now
		out.Send(a.boot.Proxy, wire.KindFleet, &wire.Fleet{Fronts: fronts})
	}
}

// DueMs is when Tick has something to do at the latest, if nothing is heard
// before: at the next probe where nothing is under way.
//
//	if line.DueMs(now) <= now { out := line.Tick(now, wallMs) }
func (a *Agent) DueMs(now int64) int64 {
	busy := !a.begun || a.young(now) || a.proposer.Busy() || len(a.asking) > 0 || len(a.passing) > 0 || a.board.HasFresh()
	for _, kept := range a.boxes {
		busy = busy || len(kept.msgs) > 0
	}
	if busy {
		return now
	}
	return a.members.DueMs()
}

// subscribe asks the zone's home of each service for what is past the versions
// here, which is little: homes pass on what they are told; a home asks a controller.
// It asks only if others were heard that do not have the same, or none that has.
// Once in a while, and while the core is deaf to it, a home asks its zone's peers
// too, and a front that knows nothing asks all.
func (a *Agent) subscribe(now int64, out *wire.Outputs) {
	if a.young(now) {
		if voters := a.proposer.Core().Voters; len(voters) > 0 && a.due(now, "young", a.boot.ProbeMs/2) {
			// One after the other: each is asked for what those before lacked.
			a.youngAsked++
			out.Send(voters[a.youngAsked%len(voters)].ID, wire.KindSubscribe, a.board.Asks(""))
		}
	}
	a.askController(now, out)
	if !a.due(now, "subscribe", 2*a.boot.ProbeMs) {
		return
	}
	a.turns++
	agents := a.members.Alive("agent")
	control, homes := a.lacks(now)
	for _, service := range a.services() {
		if (service == distribution.ControlService && !control) || (service != distribution.ControlService && !homes) {
			continue
		}
		if home := distribution.Home(service, a.boot.Zone, agents); home != a.boot.ID && home != "" {
			out.Send(home, wire.KindSubscribe, a.board.Asks(service))
		} else {
			a.askAnyController(out, service)
		}
	}
	if _, knows := a.board.Get(controller.PolicyKey); knows && (!a.due(now, "peers", 8*a.boot.ProbeMs) || !(control || homes)) {
		return
	}
	all := a.board.Asks("")
	if peer := a.peer(agents, true); peer != "" {
		out.Send(peer, wire.KindSubscribe, all)
	} else if peer := a.peer(agents, false); peer != "" {
		out.Send(peer, wire.KindSubscribe, all)
	}
}

// lacks tells whether control topics, and homes, may have been missed.
func (a *Agent) lacks(now int64) (control, homes bool) {
	control = a.agreement.control.asks(now, agreedProbes*a.boot.ProbeMs)
	// What a worker holds may be a little later than what binds all.
	if a.turns%2 == 1 || a.young(now) {
		homes = a.agreement.homes.asks(now, agreedProbes*a.boot.ProbeMs)
	}
	return control || a.young(now), homes || a.young(now)
}

// askController asks a controller itself what must be in force everywhere in time
// (configuration, worker list): the zone's home may be cut off from the
// controllers while it stands well among the fronts. It need not ask while it knows
// by others that it has what a controller had a moment ago. A question holds a sum.
func (a *Agent) askController(now int64, out *wire.Outputs) {
	if a.young(now) || now-a.agreement.coreMs < 3*a.boot.ProbeMs || !a.due(now, "controller", 3*a.boot.ProbeMs) {
		return
	}
	a.askAnyController(out, distribution.ControlService)
}

// askAnyController asks one of the controllers that stand, or any if none does.
func (a *Agent) askAnyController(out *wire.Outputs, service string) {
	voters := slices.Clone(a.proposer.Core().Voters)
	well := slices.DeleteFunc(slices.Clone(voters), func(voter wire.Voter) bool {
		standing, _ := a.members.Standing(voter.ID)
		return standing != wire.StandingWell
	})
	if len(well) > 0 {
		voters = well
	}
	if len(voters) > 0 {
		out.Send(voters[a.random.Intn(len(voters))].ID, wire.KindSubscribe, a.board.Asks(service))
	}
}

// young tells whether this front started so lately that it may lack what others
// know, and what all controllers have is worth asking for.
func (a *Agent) young(now int64) bool { return now-a.startMs < 8*a.boot.ProbeMs }

func (a *Agent) peer(agents []wire.Member, inZone bool) string {
	var peers []string
	for _, member := range agents {
		if member.ID != a.boot.ID && (!inZone || member.Zone == a.boot.Zone) {
			peers = append(peers, member.ID)
		}
	}
	if len(peers) == 0 {
		return ""
	}
	return peers[a.random.Intn(len(peers))]
}

// Change runs an operator's compare-and-set; the outcome answers the call.
//
//	out := agent.Change(now, call, register.Write{Key: controller.PolicyKey, Expected: 7, Body: body})
func (a *Agent) Change(now, call int64, asked register.Write) wire.Outputs {
	if !a.members.Majority(a.proposer.Core().Voters) {
		return register.Hopeless(call, asked.Key)
	}
	if asked.Name == "" {
		asked.Name = fmt.Sprintf("%s#%x", a.boot.ID, a.random.Int63())
	}
	return a.proposer.Write(now, call, asked)
}

// Read runs a read at a majority; the outcome answers the call.
//
//	out := agent.Read(now, call, controller.PolicyKey)
func (a *Agent) Read(now, call int64, key string) wire.Outputs {
	if !a.members.Majority(a.proposer.Core().Voters) {
		return register.Hopeless(call, key)
	}
	return a.proposer.Read(now, call, key, wire.Ballot{}, nil)
}

// Learnt tells this machine what an operator's call found, at once.
//
//	out := agent.Learnt(now, controller.PolicyKey, value)
func (a *Agent) Learnt(_ int64, key string, value wire.Value) wire.Outputs {
	var out wire.Outputs
	value = register.Standing(value)
	a.take(wire.Topic{Name: key, Step: value.Version, Body: value.Body})
	a.feed(&out)
	return out
}

// Leave tells the others that this node goes.
//
//	out := agent.Leave(now)
func (a *Agent) Leave(now int64) wire.Outputs {
	a.members.Leave()
	return a.members.Tick(now)
}

// Addr returns where a member is reached.
//
//	addr, ok := agent.Addr("c2~51")
func (a *Agent) Addr(id string) (string, bool) {
	if addr, ok := a.members.Addr(id); ok {
		return addr, true
	}
	for _, voter := range a.proposer.Core().Voters {
		if voter.ID == id {
			return voter.Addr, true
		}
	}
	return "", false
}

// Fact notes a fact about this node that all others hear.
//
//	agent.Fact("clock_jump_ms", "3600000")
func (a *Agent) Fact(name, fact string) { a.members.Set(name, fact) }
