package agent

import (
	"maps"
	"slices"
	"strconv"

	"applequay/internal/transport/wire"
)

// asking is a key for which this front asks others: one of two, so that the key
// outlives this front, or all, where lists before the one in force say that it
// may have gone elsewhere.
type asking struct {
	wish    *wire.TicketWish
	sinceMs int64
	saidMs  int64
	fromMs  int64 // since when it may have gone elsewhere
	version int64
	silent  map[string]bool
	others  []string
	lost    map[string]bool
	judged  bool
	bad     string
	// retryMs is when a refused key may go better: at the latest once what was
	// sent before may not be repeated any more.
	retryMs int64
}

// witnesses is how many fronts are asked to know a new key; one is enough.
const witnesses = 2

// wished begins to ask the other fronts about a key.
func (a *Agent) wished(now int64, out *wire.Outputs, wish *wire.TicketWish) {
	if _, already := a.asking[wish.Op]; already {
		return
	}
	asked := &asking{wish: wish, sinceMs: now, retryMs: a.boot.KeyMs, silent: map[string]bool{}, lost: map[string]bool{}}
	for _, roster := range a.rosters {
		if roster.Version > a.settled && slices.Contains(wish.Versions, roster.Version) {
			if asked.version = max(asked.version, roster.Version); asked.fromMs == 0 || roster.FromMs < asked.fromMs {
				asked.fromMs = roster.FromMs
			}
		}
	}
	if asked.version > 0 {
		// What was sent longer ago may not be repeated any more.
		asked.fromMs = max(asked.fromMs, a.members.Wall(now)-a.boot.KeyMs)
	}
	var lately int64
	for id, front := range a.fronts {
		if front.stands {
			asked.silent[id] = true
		}
		lately = max(lately, front.stoodMs)
	}
	switch {
	case len(asked.silent) == 0 && len(a.fronts) > 0 && now-lately < a.graceMs():
		asked.retryMs = a.graceMs() - (now - lately)
		a.tell(out, asked, "this front has lost sight of the others")
	case len(asked.silent) == 0 && asked.version > 0:
		a.tell(out, asked, a.verdict(now, asked))
	case len(asked.silent) == 0:
		a.noteBare(now, 0)
		a.tell(out, asked, "")
	default:
		a.asking[wish.Op] = asked
		a.askOn(now, out, asked)
	}
}

// need is how old a process must be to know what was since a moment.
func (a *Agent) need(now, fromMs int64) int64 { return a.members.Wall(now) - fromMs + a.boot.ProbeMs }

// noteBare tells the others that this front sent a key that none of them knows.
func (a *Agent) noteBare(now, ageMs int64) {
	if at := a.members.Wall(now) - ageMs; at > a.bareAt+a.boot.LeaseMs {
		a.bareAt = at
		a.members.Set(bareFact, strconv.FormatInt(at+a.boot.LeaseMs, 10))
	}
}

func (a *Agent) tell(out *wire.Outputs, asked *asking, why string) {
	delete(a.asking, asked.wish.Op)
	out.Send(a.boot.Proxy, wire.KindTicketDone, &wire.TicketDone{Op: asked.wish.Op, Ok: why == "", Others: asked.others, Why: why, RetryMs: asked.retryMs})
}

// askOn asks those who have not told yet, or some of them.
func (a *Agent) askOn(now int64, out *wire.Outputs, asked *asking) {
	asked.saidMs = now
	ids := slices.Sorted(maps.Keys(asked.silent))
	if asked.wish.Few {
		a.random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
		ids = ids[:min(len(ids), witnesses)]
	}
	for _, id := range ids {
		out.Send(id, wire.KindTicketAsk, &wire.TicketAsk{Op: asked.wish.Op, Asker: a.boot.ID, Key: asked.wish.Key, Server: asked.wish.Server, FromMs: asked.fromMs, Version: asked.version})
	}
}

// toldTicket takes the word of a proxy. This front's own goes to the front
// that asked, with what this agent knows of fronts that went; another's counts
// here.
func (a *Agent) toldTicket(now int64, out *wire.Outputs, from string, told *wire.TicketTold) {
	if told.Asker != a.boot.ID {
		a.sawBoard(now, from)
		told.LineMs = now - a.startMs
		told.Lost, told.Bad = a.judge(told.FromMs, told.Version)
		if a.boardAt >= told.FromMs {
			told.Lost = append(told.Lost, a.boot.Name)
			if a.bareAt >= told.FromMs {
				told.Bad = lostAlone
			}
		}
		out.Send(told.Asker, wire.KindTicketTold, told)
		return
	}
	asked, ok := a.asking[told.Op]
	if !ok || !asked.silent[from] {
		return
	}
	delete(asked.silent, from)
	for _, server := range told.Others {
		if !slices.Contains(asked.others, server) {
			asked.others = append(asked.others, server)
		}
	}
	if asked.wish.Few {
		a.tell(out, asked, "")
		return
	}
	a.weigh(now, asked, told)
	if len(asked.silent) == 0 {
		a.tell(out, asked, a.verdict(now, asked))
	}
}

// sawBoard notes when another proxy is beside this agent than before:
// the memory of the one before is lost.
func (a *Agent) sawBoard(now int64, id string) {
	if a.boardID == id {
		return
	}
	if a.boardID != "" {
		a.boardAt = a.members.Wall(now)
	}
	a.boardID = id
	// It was told nothing yet.
	a.toldContact, a.toldFronts = wire.Contact{}, 0
}

// weigh takes what another front knows of memories that were lost. Fronts older
// than what is in question judge those that went; a front that is younger and
// had none before it lost nothing.
func (a *Agent) weigh(now int64, asked *asking, told *wire.TicketTold) {
	needMs := a.need(now, asked.fromMs)
	asked.judged = asked.judged || told.LineMs >= needMs
	asked.bad = max(asked.bad, told.Bad)
	for _, name := range told.Lost {
		asked.lost[name] = true
	}
}

// verdict says why a doubtful key must be refused after all others have told.
// Each key was known to one front more than the one that sent it, so one that
// lost its memory is made up for by the others.
func (a *Agent) verdict(now int64, asked *asking) string {
	if asked.version == 0 {
		return ""
	}
	needMs := a.need(now, asked.fromMs)
	if a.boardAt >= asked.fromMs {
		asked.lost[a.boot.Name] = true
		if a.bareAt >= asked.fromMs {
			asked.bad = lostAlone
		}
	}
	if now-a.startMs >= needMs {
		lost, bad := a.judge(asked.fromMs, asked.version)
		asked.judged, asked.bad = true, max(asked.bad, bad)
		for _, name := range lost {
			asked.lost[name] = true
		}
	}
	switch {
	case !asked.judged:
		return "no front is old enough to know this key"
	case asked.bad != "":
		return asked.bad
	case len(asked.lost) > 1:
		return "more than one front lost its memory of keys"
	}
	return ""
}

// ticketsTick asks again where messages were lost, and drops what the
// proxy has given up.
func (a *Agent) ticketsTick(now int64, out *wire.Outputs) {
	for _, op := range slices.Sorted(maps.Keys(a.asking)) {
		asked := a.asking[op]
		if now-asked.sinceMs > a.boot.LeaseMs {
			delete(a.asking, op)
		} else if now-asked.saidMs >= a.boot.ProbeMs/2 {
			a.askOn(now, out, asked)
		}
	}
}
