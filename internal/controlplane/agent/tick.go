package agent

import (
	"fmt"

	"applequay/internal/controlplane/controller"
	"applequay/internal/controlplane/distribution"
	"applequay/internal/controlplane/register"
	"applequay/internal/transport/wire"
)

// Tick does all that time brings.
//
//	out := upstream.Tick(now, wallMs)
func (l *Line) Tick(now, wallMs int64) wire.Outputs {
	var out wire.Outputs
	l.now = now
	l.members.Clock(now, wallMs)
	out.Add(l.members.Tick(now))
	out.Add(l.settleFirst(l.proposer.Tick(now)))
	l.begin(now, &out)
	if l.proposer.Core().Epoch == 0 && l.due(now, "found", l.boot.ProbeMs) {
		for _, seed := range l.boot.Seeds {
			out.Send(seed, wire.KindFoundAsk, &wire.FoundAsk{Seat: wire.Seat{ID: l.boot.ID, Addr: l.boot.Addr}})
		}
	}
	l.subscribe(now, &out)
	l.ticketsTick(now, &out)
	if l.due(now, "contact", l.boot.ProbeMs) {
		l.contact(now, &out)
	}
	if l.due(now, "fleet", 4*l.boot.ProbeMs) {
		fronts := l.members.Alive("agent")
		out.Send(l.boot.Proxy, wire.KindFleet, &wire.Fleet{Fronts: int64(max(len(fronts), 1))})
	}
	l.wantsTick(now, &out)
	l.resend(now, &out)
	l.feed(&out)
	return out
}

// subscribe asks the zone's home of each service for what is past the marks
// here, which is little: homes pass on what they are told; a home asks a controller. Once in a while, and while the core is deaf to
// it, a home asks its zone's peers too, and a front that knows nothing asks all.
func (l *Line) subscribe(now int64, out *wire.Outputs) {
	if l.young(now) {
		if l.due(now, "young", l.boot.ProbeMs/2) {
			for _, seat := range l.proposer.Core().Seats {
				out.Send(seat.ID, wire.KindSubscribe, &wire.Subscribe{Have: l.board.Have(nil)})
			}
		}
	}
	if !l.due(now, "subscribe", 2*l.boot.ProbeMs) {
		return
	}
	agents := l.members.Alive("agent")
	seats := l.proposer.Core().Seats
	for _, service := range l.services() {
		asked := &wire.Subscribe{Service: service, Have: l.board.Have(controller.TopicsOf(service))}
		home := distribution.Home(service, l.boot.Zone, agents)
		if home != l.boot.ID && home != "" {
			out.Send(home, wire.KindSubscribe, asked)
			continue
		}
		if len(seats) > 0 {
			out.Send(seats[l.random.Intn(len(seats))].ID, wire.KindSubscribe, asked)
		}
	}
	if _, knows := l.board.Get(controller.PolicyKey); knows && !l.due(now, "peers", 8*l.boot.ProbeMs) {
		return
	}
	all := &wire.Subscribe{Have: l.board.Have(nil)}
	if peer := l.peer(agents, true); peer != "" {
		out.Send(peer, wire.KindSubscribe, all)
	} else if peer := l.peer(agents, false); peer != "" {
		out.Send(peer, wire.KindSubscribe, all)
	}
}

// young tells whether this front started so lately that it may lack what others
// know, and what all controllers have is worth asking for.
func (l *Line) young(now int64) bool { return now-l.startMs < 8*l.boot.ProbeMs }

func (l *Line) peer(agents []wire.Member, inZone bool) string {
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
func (l *Line) Change(now, call int64, asked register.Write) wire.Outputs {
	if !l.members.Majority(l.proposer.Core().Seats) {
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
func (l *Line) Read(now, call int64, key string) wire.Outputs {
	if !l.members.Majority(l.proposer.Core().Seats) {
		return register.Hopeless(call, key)
	}
	return l.proposer.Read(now, call, key, wire.Ballot{}, nil)
}

// Learnt tells this machine what an operator's call found, at once.
//
//	out := upstream.Learnt(now, controller.PolicyKey, value)
func (l *Line) Learnt(_ int64, key string, value wire.Value) wire.Outputs {
	var out wire.Outputs
	value = register.Standing(value)
	l.take(wire.Topic{Name: key, Step: value.Mark, Body: value.Body})
	l.feed(&out)
	return out
}

// Leave tells the others that this node goes.
//
//	out := upstream.Leave(now)
func (l *Line) Leave(now int64) wire.Outputs {
	l.members.Leave()
	return l.members.Tick(now)
}

// Addr returns where a member is reached.
//
//	addr, ok := upstream.Addr("c2~51")
func (l *Line) Addr(id string) (string, bool) {
	if addr, ok := l.members.Addr(id); ok {
		return addr, true
	}
	for _, seat := range l.proposer.Core().Seats {
		if seat.ID == id {
			return seat.Addr, true
		}
	}
	return "", false
}

// Page copies what operators may be shown.
//
//	page := upstream.Page(now)
func (l *Line) Page(int64) controller.Page {
	page := controller.Page{ID: l.boot.ID, Role: "agent", Core: l.proposer.Core(), Policy: l.policy, Marks: map[string]int64{}, Members: l.members.All(),
		Owners: map[int64]wire.Owner{}, Workers: map[string]wire.Worker{}, Rooms: map[string]wire.WorkerNews{}, Rounds: l.proposer.Rounds, Seeds: l.boot.Seeds, Partitions: l.boot.Partitions}
	for key, mark := range l.marks {
		page.Marks[key] = mark
	}
	for number, owner := range l.owners {
		page.Owners[number] = owner
	}
	for name, worker := range l.workers {
		page.Workers[name] = worker
	}
	for name, room := range l.rooms {
		page.Rooms[name] = room
	}
	return page
}

// Board shows the news kept here.
//
//	topic, ok := upstream.Board().Get("policy")
func (l *Line) Board() *distribution.Board { return l.board }

// Fact notes a fact about this node that all others hear.
//
//	upstream.Fact("clock_jump_ms", "3600000")
func (l *Line) Fact(name, fact string) { l.members.Set(name, fact) }
