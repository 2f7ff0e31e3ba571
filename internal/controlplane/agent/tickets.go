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
func (l *Agent) wished(now int64, out *wire.Outputs, wish *wire.TicketWish) {
	if _, already := l.asking[wish.Op]; already {
		return
	}
	asked := &asking{wish: wish, sinceMs: now, retryMs: l.boot.KeyMs, silent: map[string]bool{}, lost: map[string]bool{}}
	for _, roster := range l.rosters {
		if roster.Version > l.settled && slices.Contains(wish.Versions, roster.Version) {
			if asked.version = max(asked.version, roster.Version); asked.fromMs == 0 || roster.FromMs < asked.fromMs {
				asked.fromMs = roster.FromMs
			}
		}
	}
	if asked.version > 0 {
		// What was sent longer ago may not be repeated any more.
		asked.fromMs = max(asked.fromMs, l.members.Wall(now)-l.boot.KeyMs)
	}
	var lately int64
	for id, front := range l.fronts {
		if front.stands {
			asked.silent[id] = true
		}
		lately = max(lately, front.stoodMs)
	}
	switch {
	case len(asked.silent) == 0 && len(l.fronts) > 0 && now-lately < l.graceMs():
		asked.retryMs = l.graceMs() - (now - lately)
		l.tell(out, asked, "this front has lost sight of the others")
	case len(asked.silent) == 0 && asked.version > 0:
		l.tell(out, asked, l.verdict(now, asked))
	case len(asked.silent) == 0:
		l.noteBare(now, 0)
		l.tell(out, asked, "")
	default:
		l.asking[wish.Op] = asked
		l.askOn(now, out, asked)
	}
}

// need is how old a process must be to know what was since a moment.
func (l *Agent) need(now, fromMs int64) int64 { return l.members.Wall(now) - fromMs + l.boot.ProbeMs }

// noteBare tells the others that this front sent a key that none of them knows.
func (l *Agent) noteBare(now, ageMs int64) {
	if at := l.members.Wall(now) - ageMs; at > l.bareAt+l.boot.LeaseMs {
		l.bareAt = at
		l.members.Set(bareFact, strconv.FormatInt(at+l.boot.LeaseMs, 10))
	}
}

func (l *Agent) tell(out *wire.Outputs, asked *asking, why string) {
	delete(l.asking, asked.wish.Op)
	out.Send(l.boot.Proxy, wire.KindTicketDone, &wire.TicketDone{Op: asked.wish.Op, Ok: why == "", Others: asked.others, Why: why, RetryMs: asked.retryMs})
}

// askOn asks those who have not told yet, or some of them.
func (l *Agent) askOn(now int64, out *wire.Outputs, asked *asking) {
	asked.saidMs = now
	ids := slices.Sorted(maps.Keys(asked.silent))
	if asked.wish.Few {
		l.random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
		ids = ids[:min(len(ids), witnesses)]
	}
	for _, id := range ids {
		out.Send(id, wire.KindTicketAsk, &wire.TicketAsk{Op: asked.wish.Op, Asker: l.boot.ID, Key: asked.wish.Key, Server: asked.wish.Server, FromMs: asked.fromMs, Version: asked.version})
	}
}

// toldTicket takes the word of a proxy. This front's own goes to the front
// that asked, with what this agent knows of fronts that went; another's counts
// here.
func (l *Agent) toldTicket(now int64, out *wire.Outputs, from string, told *wire.TicketTold) {
	if told.Asker != l.boot.ID {
		l.sawBoard(now, from)
		told.LineMs = now - l.startMs
		told.Lost, told.Bad = l.judge(told.FromMs, told.Version)
		if l.boardAt >= told.FromMs {
			told.Lost = append(told.Lost, l.boot.Name)
			if l.bareAt >= told.FromMs {
				told.Bad = lostAlone
			}
		}
		out.Send(told.Asker, wire.KindTicketTold, told)
		return
	}
	asked, ok := l.asking[told.Op]
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
		l.tell(out, asked, "")
		return
	}
	l.weigh(now, asked, told)
	if len(asked.silent) == 0 {
		l.tell(out, asked, l.verdict(now, asked))
	}
}

// sawBoard notes when another proxy is beside this agent than before:
// the memory of the one before is lost.
func (l *Agent) sawBoard(now int64, id string) {
	if l.boardID == id {
		return
	}
	if l.boardID != "" {
		l.boardAt = l.members.Wall(now)
	}
	l.boardID = id
	// It was told nothing yet.
	l.toldContact, l.toldFronts = wire.Contact{}, 0
}

// weigh takes what another front knows of memories that were lost. Fronts older
// than what is in question judge those that went; a front that is younger and
// had none before it lost nothing.
func (l *Agent) weigh(now int64, asked *asking, told *wire.TicketTold) {
	needMs := l.need(now, asked.fromMs)
	asked.judged = asked.judged || told.LineMs >= needMs
	asked.bad = max(asked.bad, told.Bad)
	for _, name := range told.Lost {
		asked.lost[name] = true
	}
}

// verdict says why a doubtful key must be refused after all others have told.
// Each key was known to one front more than the one that sent it, so one that
// lost its memory is made up for by the others.
func (l *Agent) verdict(now int64, asked *asking) string {
	if asked.version == 0 {
		return ""
	}
	needMs := l.need(now, asked.fromMs)
	if l.boardAt >= asked.fromMs {
		asked.lost[l.boot.Name] = true
		if l.bareAt >= asked.fromMs {
			asked.bad = lostAlone
		}
	}
	if now-l.startMs >= needMs {
		lost, bad := l.judge(asked.fromMs, asked.version)
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
func (l *Agent) ticketsTick(now int64, out *wire.Outputs) {
	for _, op := range slices.Sorted(maps.Keys(l.asking)) {
		asked := l.asking[op]
		if now-asked.sinceMs > l.boot.LeaseMs {
			delete(l.asking, op)
		} else if now-asked.saidMs >= l.boot.ProbeMs/2 {
			l.askOn(now, out, asked)
		}
	}
}
