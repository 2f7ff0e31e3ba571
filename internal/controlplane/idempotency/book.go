// Package idempotency decides to which server a proxy sends a booking or a
// check, so that a key goes to one server however often it is repeated, at
// whatever front, and however the worker list changes meanwhile. As an
// operator's toll ticket it notes which line a call was put to. It is a pure
// machine.
package idempotency

import (
	"slices"

	"applequay/internal/transport/wire"
)

// Call is a request with a key. Choice is the key's server in the list in
// force, Past its servers in lists before; both are names of Name.
type Call struct {
	Key, Choice string
	Past        []Past
	// Open tells whether a server is listed under this very name and address
	// and may be sent to.
	Open func(server string) bool
}

// Past is the choice by a list that the one with the version replaced.
type Past struct {
	Version int64
	Server  string
}

// Decision is where a call goes; with no server it is refused, since it may
// have run elsewhere. RetryMs is when it may go better; never if nought.
type Decision struct {
	Server, Why string
	RetryMs     int64
}

// Name is how a server is known to tickets: another address is another server.
//
//	name := idempotency.Name("b1", "10.0.0.9:7800")
func Name(name, addr string) string { return name + "@" + addr }

// soonMs is when to come back to a front that has only just started.
const soonMs = 1000

// own is the asker under which a front notes its own wishes.
const own = ""

type wish struct {
	call     Call
	versions []int64 // of the lists by which the key may have gone elsewhere
	calls    []int64
	sentMs   int64
	toldMs   int64
	round    int // nought while only a witness is asked for
}

// Book is one proxy's memory of keys, with its part of the asking.
type Book struct {
	agent     string
	turnedMs  int64
	contactMs int64
	keyMs     int64
	answerMs  int64
	graceMs   int64
	bareMs    int64
	settled   int64
	keys      [2]map[string]string
	claims    [2]map[string]map[string]string
	wishes    map[int64]*wish
	byKey     map[string]int64
	nextOp    int64
	// Asked and Refused count the calls that had to ask, and that were refused.
	Asked, Refused int64
}

// New makes a book that knows nothing; the agent beside it asks the others. Its
// wishes are numbered after first, which must be another in each life: the
// agent may still tell of a wish of the life before.
//
//	book := idempotency.New(now, "127.0.0.1:7201", rand.Int63n(1<<40))
func New(now int64, agent string, first int64) *Book {
	return &Book{agent: agent, nextOp: first, turnedMs: now, keys: [2]map[string]string{{}, {}},
		claims: [2]map[string]map[string]string{{}, {}}, wishes: map[int64]*wish{}, byKey: map[string]int64{}}
}

// Times, as shares of those that the agent tells.
func (b *Book) contactTime() int64 { return b.keyMs / 2 }
func (b *Book) againTime() int64   { return b.answerMs / 8 }
func (b *Book) quietTime() int64   { return b.answerMs + b.answerMs/4 }

// Take decides where a call goes, at once or by an answer later on.
//
//	out := book.Take(now, 7, idempotency.Call{Key: "till-4-991", Choice: "b2@10.0.0.9:7800"})
func (b *Book) Take(now, id int64, call Call) wire.Outputs {
	var out wire.Outputs
	if b.contactMs == 0 || now-b.contactMs > b.contactTime() {
		b.refuse(&out, "this front does not know what the others do", max(b.answerMs, soonMs), id)
		return out
	}
	if server, known := b.server(call.Key); known {
		b.answer(&out, call, server, id)
		return out
	}
	if op, waits := b.byKey[call.Key]; waits {
		b.wishes[op].calls = append(b.wishes[op].calls, id)
		return out
	}
	versions := b.elsewhere(call)
	doubts := len(versions) > 0
	for _, server := range b.claimed(call.Key, own) {
		doubts = doubts || server != call.Choice
	}
	quiet := now - b.contactMs
	switch {
	case !doubts && call.Choice == "":
		b.refuse(&out, "no server can take this now", b.answerMs, id)
	case call.Choice == "":
		b.refuse(&out, "the key's server is gone, and no other can take it now", b.answerMs, id)
	case !doubts && quiet > b.graceMs:
		// Nobody can be told. The others take this front for one that may send
		// keys which nobody knows of.
		b.bareMs = now
		b.bind(call.Key, call.Choice)
		b.answer(&out, call, call.Choice, id)
	case quiet > b.quietTime():
		b.refuse(&out, "this front has lost sight of the others", max(b.graceMs-quiet, b.answerMs), id)
	case doubts:
		b.Asked++
		b.ask(now, &out, &wish{call: call, versions: versions, calls: []int64{id}, round: 1})
	default:
		b.ask(now, &out, &wish{call: call, versions: versions, calls: []int64{id}})
	}
	return out
}

func (b *Book) answer(out *wire.Outputs, call Call, server string, ids ...int64) {
	if !call.Open(server) {
		b.refuse(out, "the server that this key was sent to is gone", 0, ids...)
		return
	}
	for _, id := range ids {
		out.Answers = append(out.Answers, wire.Answer{Call: id, Body: Decision{Server: server}})
	}
}

func (b *Book) refuse(out *wire.Outputs, why string, retryMs int64, ids ...int64) {
	for _, id := range ids {
		b.Refused++
		out.Answers = append(out.Answers, wire.Answer{Call: id, Body: Decision{Why: why, RetryMs: retryMs}})
	}
}

func (b *Book) server(key string) (string, bool) {
	for _, kept := range b.keys {
		if server, ok := kept[key]; ok {
			return server, true
		}
	}
	return "", false
}

func (b *Book) bind(key, server string) { b.keys[0][key] = server }

// claimed lists the servers to which others than an asker mean to send a key.
func (b *Book) claimed(key, but string) []string {
	var out []string
	for _, kept := range b.claims {
		for asker, server := range kept[key] {
			if asker != but && !slices.Contains(out, server) {
				out = append(out, server)
			}
		}
	}
	slices.Sort(out)
	return out
}

// claim notes where an asker means to send a key, in place of what it said before.
func (b *Book) claim(key, asker, server string) {
	delete(b.claims[1][key], asker)
	if b.claims[0][key] == nil {
		b.claims[0][key] = map[string]string{}
	}
	b.claims[0][key][asker] = server
}

// ask begins a round: nothing is sent anywhere before one other front knows, or,
// for a doubtful key, before all others have told.
func (b *Book) ask(now int64, out *wire.Outputs, asked *wish) {
	b.nextOp++
	asked.sentMs, asked.toldMs = now, now
	b.wishes[b.nextOp], b.byKey[asked.call.Key] = asked, b.nextOp
	b.claim(asked.call.Key, own, asked.call.Choice)
	b.say(out, b.nextOp, asked)
}

func (b *Book) say(out *wire.Outputs, op int64, asked *wish) {
	told := &wire.TicketWish{Op: op, Key: asked.call.Key, Server: asked.call.Choice, Versions: asked.versions, Few: asked.round == 0}
	out.Send(b.agent, wire.KindTicketWish, told)
}

// elsewhere lists the versions that replaced lists which still matter and by which
// a key has another server than by the one in force.
func (b *Book) elsewhere(call Call) []int64 {
	var versions []int64
	for _, past := range call.Past {
		if past.Version > b.settled && past.Server != call.Choice {
			versions = append(versions, past.Version)
		}
	}
	return versions
}
