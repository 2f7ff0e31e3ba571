package routing

import (
	"hash/fnv"
	"sync/atomic"

	"applequay/internal/dataplane/upstream"
)

// keptSlots is how many beginnings of prompts a proxy remembers of each
// server; a power of two.
const keptSlots = 512

// Load is what a proxy itself knows of a server. It lives on from one
// table to the next, as long as the server is at its address.
type Load struct {
	// InWork counts this proxy's requests there, Pending the tokens of
	// prompts whose first piece has not come.
	InWork, Pending atomic.Int64
	AvoidToMs       atomic.Int64
	// HeardMs is when anything last came from the server.
	HeardMs atomic.Int64
	// Silences is how many attempts in a row the server left without any sign.
	Silences atomic.Int64
	// Pool holds the connections.
	Pool upstream.Pool
	// told is how many requests the server said it has, beyond this
	// proxy's own; toldMs is when; places is how many it runs at once.
	told, toldMs, places atomic.Int64
	// missing is an item that the server said it does not hold, and until when
	// that counts.
	missing     atomic.Pointer[string]
	missingToMs atomic.Int64
	kept        [keptSlots]atomic.Uint64
}

// Told notes how many requests the server said it has in all, and its places.
//
//	server.Load.Told(nowMs, 14, 64)
func (l *Load) Told(nowMs, all, places int64) {
	l.told.Store(max(all-l.InWork.Load(), 0))
	l.toldMs.Store(nowMs)
	l.places.Store(places)
}

// staleMs is after how long what a server said of its load counts half.
const staleMs = 400

// All is how many requests the server has by all that is known: this
// proxy's own, and those of others as it last said, fading.
//
//	busy := server.Load.All(nowMs)
func (l *Load) All(nowMs int64) int64 {
	others := l.told.Load()
	for age := nowMs - l.toldMs.Load(); age >= staleMs && others > 0; age -= staleMs {
		others /= 2
	}
	return l.InWork.Load() + others
}

// Places is how many requests the server runs at once, as it said; nought if it
// never did.
//
//	places := server.Load.Places()
func (l *Load) Places() int64 { return l.places.Load() }

// Miss notes that the server does not hold an item, for a while.
//
//	server.Load.Miss("lens-7b", nowMs+500)
func (l *Load) Miss(item string, untilMs int64) {
	l.missing.Store(&item)
	l.missingToMs.Store(untilMs)
}

// Misses tells whether the server lately said that it does not hold an item.
//
//	if server.Load.Misses("lens-7b", nowMs) { ... }
func (l *Load) Misses(item string, nowMs int64) bool {
	missing := l.missing.Load()
	return missing != nil && nowMs < l.missingToMs.Load() && *missing == item
}

// Opening is a beginning of a prompt: the hash of all parts up to one, and the
// tokens of that one.
type Opening struct {
	Hash   uint64
	Tokens int64
}

// Openings are the beginnings of a prompt for an item, shortest first.
//
//	openings := routing.Openings("lens-7b", []string{"5c1e", "91bd"}, []int64{800, 410})
func Openings(item string, parts []string, tokens []int64) []Opening {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(item))
	out := make([]Opening, len(parts))
	for at, part := range parts {
		_, _ = sum.Write([]byte{0})
		_, _ = sum.Write([]byte(part))
		out[at] = Opening{Hash: sum.Sum64() | 1, Tokens: tokens[at]}
	}
	return out
}

// Kept is how many tokens of a prompt the server has probably kept: parts count
// only while all before them are there.
//
//	saved := server.Load.Kept(openings)
func (l *Load) Kept(openings []Opening) int64 {
	var tokens int64
	for _, opening := range openings {
		if l.kept[opening.Hash%keptSlots].Load() != opening.Hash {
			break
		}
		tokens += opening.Tokens
	}
	return tokens
}

// Keep notes that the server has read a prompt.
//
//	server.Load.Keep(openings)
func (l *Load) Keep(openings []Opening) {
	for _, opening := range openings {
		l.kept[opening.Hash%keptSlots].Store(opening.Hash)
	}
}
