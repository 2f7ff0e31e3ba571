// Package configuration reads operators' configurations and keeps what one version of
// them says. A Table is never changed once made.
package configuration

import (
	"fmt"
	"strings"
)

// Fault is one thing wrong with a policy, by the path of the value.
type Fault struct {
	Path string `json:"path"`
	Said string `json:"said"`
}

// Faults are all things wrong with a policy.
type Faults []Fault

// Error lists the faults.
//
//	return faults.Error()
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Path + ": " + fault.Said
	}
	return strings.Join(lines, "; ")
}

// Kind is a kind of request and how much it matters.
type Kind struct {
	Name   string
	Weight int64
}

// Item is a model, or an adapter with the model it belongs to as Base.
type Item struct {
	Name, Base, Pool string
	SizeMb           int64
	// LoadMs is how long a load takes where nothing else slows it; nought where
	// only the store's rate tells.
	LoadMs int64
	// Light items come in moments and ask the store for no turn.
	Light bool
}

// Store is the weight store: its rate and its turns. LoadsPer1000S, where not
// nought, bounds how many loads may begin, whatever their size: so many in 1000 s.
type Store struct {
	MbPerS, Turns, LoadsPer1000S int64
}

// Pool is what the workers of a pool are like, as far as operators say.
type Pool struct {
	Name, HealthPath string
	// MostLines is how many connections a worker takes from all fronts together;
	// nought where none is said.
	MostLines int64
	// Slots is how many requests a worker runs at once, CacheTokens what its
	// memory holds, Stride how many tokens come with a piece.
	Slots, CacheTokens, Stride int64
	// RoomMb and AdapterSlots are what a worker has room for; nought: not said.
	RoomMb, AdapterSlots int64
}

// Share is a service with its part of a route's requests.
type Share struct {
	Service string
	Weight  int64
}

// Limits bound what clients may send and how long they may take.
type Limits struct {
	HeaderBytes, BodyBytes, HeaderMs, IdleMs int64
}

// PaceMs is how long one turn is busy with a load of the size.
//
//	freeMs := now + routing.Store.PaceMs(item.SizeMb)
func (s Store) PaceMs(sizeMb int64) int64 { return sizeMb * s.Turns * 1000 / max(s.MbPerS, 1) }

// Service is a back end: a pool of workers and how requests may be sent there.
type Service struct {
	Name, Pool   string
	Model        bool
	RetryPercent int64
	// Again says that all its requests may run more than once.
	Again bool
}

// Route sends requests to a service: those of a method and a whole path, or,
// with Prefix, all below a path. An empty Host or Method stands for any.
type Route struct {
	Name, Host, Method, Path, Service, Kind string
	Prefix                                  bool
	DeadlineMs                              int64
	// Split shares the requests out by weight, where there is more than Service.
	Split []Share
	// Safe requests may run more than once. Streams come piece by piece; one that
	// is Resumable may be gone on with at another worker.
	Safe, Stream, Resumable bool
	// Tries is to how many workers one request may be sent; nought: not said.
	Tries int64
	// TargetMs is the time wanted to the first piece or the answer, PauseMs the
	// longest wanted pause between pieces, Rank the urgency, nought first.
	TargetMs, PauseMs, Rank int64
	// Sticky requests come in sessions that gain by going to the same worker.
	Sticky bool
	// PatienceMs is after how long a silence clients give up; nought: not said.
	PatienceMs int64
}

// Opening is a named moment and what it needs.
type Opening struct {
	Name    string
	AtMs    int64
	LeadMs  int64
	LastMs  int64
	Items   []string
	Copies  int64
	Weights map[string]int64
}

// Table is one version of the policy.
type Table struct {
	Version  int64
	Kinds    map[string]Kind
	Items    map[string]Item
	Store    Store
	Services map[string]Service
	Pools    map[string]Pool
	Limits   Limits
	Routes   []Route
	Openings []Opening
	// Rollout is a policy on its way from zone to zone, or nil.
	Rollout *Rollout
}

// Empty is the table before any policy was set: it routes nothing.
//
//	table := configuration.Empty()
func Empty() *Table {
	return &Table{Kinds: map[string]Kind{}, Items: map[string]Item{}, Services: map[string]Service{}, Pools: map[string]Pool{}, Store: Store{MbPerS: 1000, Turns: 4}}
}

// LargestMb is the size of the largest item, its model included.
//
//	quietMs := routing.Store.PaceMs(routing.LargestMb())
func (t *Table) LargestMb() int64 {
	var size int64
	for _, item := range t.Items {
		size = max(size, item.SizeMb)
	}
	return size
}

// NeedMb is the room an item takes where nothing of it is loaded yet.
//
//	if routing.NeedMb("rx-lora") > worker.RoomMb { ... }
func (t *Table) NeedMb(name string) int64 {
	item := t.Items[name]
	if item.Base == "" {
		return item.SizeMb
	}
	return item.SizeMb + t.Items[item.Base].SizeMb
}

// TakesModels tells whether a pool's workers take orders: applications do not.
//
//	if routing.TakesModels(worker.Pool) { ... }
func (t *Table) TakesModels(pool string) bool {
	for _, item := range t.Items {
		if item.Pool == pool {
			return true
		}
	}
	return false
}

// Weight is how much a kind of request matters at a moment: openings that are
// on raise it.
//
//	weight := routing.Weight("hint", wallMs)
func (t *Table) Weight(kind string, wallMs int64) int64 {
	weight := max(t.Kinds[kind].Weight, 1)
	for _, opening := range t.Openings {
		if raised, ok := opening.Weights[kind]; ok && opening.On(wallMs) {
			weight = max(weight, raised)
		}
	}
	return weight
}

// On tells whether the moment lies within the opening, its lead included.
//
//	if opening.On(wallMs) { ... }
func (o Opening) On(wallMs int64) bool { return wallMs >= o.AtMs-o.LeadMs && wallMs < o.AtMs+o.LastMs }

// Roomless lists the items that no worker of their pool has room for. Pools
// without any worker are left out: their workers may be yet to come.
//
//	faults := routing.Roomless(map[string]int64{"llm": 24000})
func (t *Table) Roomless(largestRoom map[string]int64) Faults {
	var faults Faults
	for name, item := range t.Items {
		room, known := largestRoom[item.Pool]
		if room == 0 {
			// Workers do not say: as operators say, if they do.
			room = t.Pools[item.Pool].RoomMb
		}
		if known && room > 0 && t.NeedMb(name) > room {
			faults = append(faults, Fault{Path: "items." + name, Said: fmt.Sprintf("needs %d MB and the largest worker of pool %q has %d MB", t.NeedMb(name), item.Pool, room)})
		}
	}
	return faults
}
