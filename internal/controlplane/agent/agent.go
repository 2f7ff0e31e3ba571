// Package agent is an agent's control state in one pure machine: members,
// news, the proposer through which operators write, and posts to partitions.
package agent

import (
	"fmt"
	"math/rand"
	"strconv"
	"strings"

	"applequay/internal/configuration"
	"applequay/internal/controlplane/controller"
	"applequay/internal/controlplane/distribution"
	"applequay/internal/controlplane/membership"
	"applequay/internal/controlplane/register"
	"applequay/internal/transport/wire"
)

// Boot is what an agent is told at its start.
type Boot struct {
	ID, Name, Addr, Zone, Outward string
	Proxy                         string
	Born                          int64
	Seeds                         []string
	Partitions                    int64
	LeaseMs, ProbeMs, CallMs      int64
	// LinkMbps is what this machine's link carries; nought if unknown.
	LinkMbps int64
	// KeyMs is how long after its first use a key may be repeated.
	KeyMs int64
	// Bootstrap says that the whole system starts for the very first time.
	Bootstrap bool
	// Form is how operators write policies; the product's own where none is named.
	Form configuration.Form
}

// Agent is the control state of one agent.
type Agent struct {
	boot     Boot
	random   *rand.Rand
	members  *membership.Members
	proposer *register.Proposer
	board    *distribution.Board
	policy   *configuration.Table
	owners   map[int64]wire.Owner
	workers  map[string]wire.Worker
	rooms    map[string]wire.WorkerNews
	boxes    map[int64]*box
	wants    map[string]wire.Want
	wanted   map[string]int64
	timers   map[string]int64
	versions map[string]int64
	now      int64
	startMs  int64
	listAt   int64
	// list is what the others are to hear of listAt, listToldMs when they last did.
	list       string
	listToldMs int64
	bareAt     int64
	boardAt    int64 // when another proxy took the place of the one before
	boardID    string
	settled    int64
	rosters    []wire.Roster
	fronts     map[string]*otherFront
	asking     map[int64]*asking
	// begun: a majority's word on the policy was heard, or is not to be had; it was
	// first asked for at firstMs, and firstAsked times since. fedVersion was given on;
	// newest was heard of.
	begun              bool
	firstMs            int64
	firstAsked         int
	fedVersion, newest int64
	// passing is what the zone's peers are to be told, newsMs when news went last.
	passing map[string]wire.Topic
	newsMs  int64
	// toldFronts and toldContact are what the proxy was told; youngAsked and coreAsked
	// count the controllers asked at the start, for news and for the core set.
	toldFronts  int64
	toldContact wire.Contact
	youngAsked  int
	coreAsked   int
	agreement   agreement
	// nominee is the controller that this agent, a seed, nominated to found the core.
	nominee string
	// turns counts how often homes were asked.
	turns int
	// newestOf and frontsOf are the versions of the members that were looked at.
	newestOf, frontsOf int64
	// told was passed on at toldMs; a tally came at tallyMs, uses alone at usesMs.
	told                    []wire.Demand
	toldMs, tallyMs, usesMs int64
}

// New makes an agent that knows nothing but its seeds.
//
//	agent := agent.New(now, boot, random)
func New(now int64, boot Boot, random *rand.Rand) *Agent {
	if boot.Form == nil {
		boot.Form = configuration.Native
	}
	self := wire.Member{ID: boot.ID, Name: boot.Name, Role: "agent", Zone: boot.Zone, Addr: boot.Addr, Born: boot.Born, Outward: boot.Outward, Fact: map[string]string{"settings": controller.SettingsFact(boot.Partitions, boot.LeaseMs, boot.ProbeMs)}}
	if boot.LinkMbps > 0 {
		self.Fact[distribution.LinkFact] = strconv.FormatInt(boot.LinkMbps, 10)
	}
	l := &Agent{
		boot: boot, random: random, now: now, startMs: now, listToldMs: now - boot.LeaseMs, fronts: map[string]*otherFront{}, asking: map[int64]*asking{}, passing: map[string]wire.Topic{},
		members:  membership.New(self, membership.LimitsFor(boot.ProbeMs).Bounded(), random, boot.Seeds),
		proposer: register.NewProposer(fmt.Sprintf("%s/%x", boot.ID, random.Int63()), random, register.Limits{CallMs: boot.CallMs, PhaseMs: boot.CallMs / 4, LineageLen: controller.LineageLen}),
		board:    distribution.NewBoard(), policy: configuration.Empty(),
		owners: map[int64]wire.Owner{}, workers: map[string]wire.Worker{}, rooms: map[string]wire.WorkerNews{},
		boxes: map[int64]*box{}, wants: map[string]wire.Want{}, wanted: map[string]int64{}, timers: map[string]int64{}, versions: map[string]int64{},
	}
	l.board.Put(wire.Topic{Name: zoneTopic, Step: 1, Body: []byte(boot.Zone)})
	return l
}

// Hear takes a message from another process.
//
//	out := agent.Hear(now, "c2~51", body)
func (a *Agent) Hear(now int64, from string, body wire.Record) wire.Outputs {
	var out wire.Outputs
	a.now = now
	switch told := body.(type) {
	case *wire.TicketWish:
		a.sawBoard(now, from)
		a.wished(now, &out, told)
	case *wire.Bare:
		a.noteBare(now, told.AgeMs)
	case *wire.TicketAsk:
		out.Send(a.boot.Proxy, wire.KindTicketAsk, told)
	case *wire.TicketTold:
		a.toldTicket(now, &out, from, told)
	case *wire.Promise, *wire.Accepted, *wire.KeysTold:
		return a.proposer.Hear(now, from, body)
	case *wire.Probe:
		a.compare(now, &told.Board)
		a.members.Tell(a.sums(now))
		return a.members.Hear(now, from, body)
	case *wire.ProbeAck:
		a.compare(now, &told.Board)
		return a.members.Hear(now, from, body)
	case *wire.ProbeVia:
		return a.members.Hear(now, from, body)
	case *wire.FoundTold:
		if core, ok := register.ParseCore(told.Core); ok {
			a.learnCore(core)
		}
	case *wire.FoundAsk:
		out.Send(from, wire.KindFoundTold, a.foundTold(told))
	case *wire.Subscribe:
		a.subscribed(&out, from, told)
	case *wire.News:
		a.heardNews(now, &out, from, told)
	case *wire.Report:
		a.sawBoard(now, from)
		a.reported(now, &out, told)
	case *wire.Tally:
		a.sawBoard(now, from)
		a.tallied(now, &out, told)
	case *wire.PostAck:
		a.acked(told)
	case *wire.HomeTold:
		out.Send(a.boot.Proxy, wire.KindHomeTold, told)
	}
	return out
}

// take puts a topic on the board and learns from it; false if it did not rise.
func (a *Agent) take(topic wire.Topic) bool {
	if topic.Name == zoneTopic || !a.board.Put(topic) {
		return false
	}
	switch {
	case topic.Name == register.CoreKey:
		var core wire.CoreSet
		if core.Unmarshal(topic.Body) == nil {
			a.proposer.Learn(core)
			a.SetSeeds(a.boot.Seeds)
		}
	case topic.Name == controller.PolicyKey:
		body, _ := wire.Unpack(topic)
		if table, faults, _ := a.boot.Form.Parse(body, topic.Step); table != nil && len(faults) == 0 {
			a.policy = table.Placement()
		}
		a.versions[controller.PolicyKey] = topic.Step
		a.members.Set("mark", fmt.Sprint(topic.Step))
	case topic.Name == controller.DirectoryKey:
		var list wire.WorkerList
		if body, err := wire.Unpack(topic); err == nil && list.Unmarshal(body) == nil {
			a.learntList(topic.Step)
			a.workers, a.rosters = map[string]wire.Worker{}, sortedRosters(&list)
			for _, worker := range list.Workers {
				a.workers[worker.Name] = worker
			}
		}
		a.versions[controller.DirectoryKey] = topic.Step
	case strings.HasPrefix(topic.Name, "owner/"):
		var owner wire.Owner
		if owner.Unmarshal(topic.Body) == nil && owner.Fence > a.owners[owner.Partition].Fence {
			a.owners[owner.Partition] = owner
		}
	case strings.HasPrefix(topic.Name, "homes/"):
		var room wire.WorkerNews
		if room.Unmarshal(topic.Body) == nil {
			a.rooms[room.Worker] = room
		}
	}
	return true
}

// zoneTopic tells the proxy its zone, by which it picks its part of a
// policy that is rolled out; it is nobody else's news.
const zoneTopic = distribution.ZoneTopic

// feedWaits tells the proxy when loads will be done, and how long ago
// that was said by the clocks; what is old is of no use.
func (a *Agent) feedWaits(out *wire.Outputs, topic wire.Topic) {
	var told wire.Waits
	if told.Unmarshal(topic.Body) != nil {
		return
	}
	told.AgeMs, told.ValidMs = a.members.Wall(a.now)-told.WallMs, 2*a.boot.LeaseMs
	if told.AgeMs < told.ValidMs && told.AgeMs > -told.ValidMs {
		told.AgeMs = max(told.AgeMs, 0)
		out.Send(a.boot.Proxy, wire.KindWaits, &told)
	}
}

func (a *Agent) due(now int64, name string, everyMs int64) bool {
	if last, ok := a.timers[name]; ok && now-last < everyMs {
		return false
	}
	a.timers[name] = now
	return true
}
