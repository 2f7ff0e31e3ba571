// Package policy reads operators' configurations and keeps what one mark of
// them says. A Table is never changed once made.
package policy

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
}

// Store is the weight store: its rate and its turns.
type Store struct {
	MbPerS, Turns int64
}

// PaceMs is how long one turn is busy with a load of the size.
//
//	freeMs := now + table.Store.PaceMs(item.SizeMb)
func (s Store) PaceMs(sizeMb int64) int64 { return sizeMb * s.Turns * 1000 / max(s.MbPerS, 1) }

// Service is a back end: a pool of workers and how requests may be sent there.
type Service struct {
	Name, Pool   string
	Model        bool
	RetryPercent int64
}

// Route sends a method and path to a service.
type Route struct {
	Method, Path, Service, Kind string
	DeadlineMs                  int64
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

// Table is one mark of the policy.
type Table struct {
	Mark     int64
	Kinds    map[string]Kind
	Items    map[string]Item
	Store    Store
	Services map[string]Service
	Routes   []Route
	Openings []Opening
	// Rollout is a policy on its way from zone to zone, or nil.
	Rollout *Rollout
}

// Empty is the table before any policy was set: it routes nothing.
//
//	table := policy.Empty()
func Empty() *Table {
	return &Table{Kinds: map[string]Kind{}, Items: map[string]Item{}, Services: map[string]Service{}, Store: Store{MbPerS: 1000, Turns: 4}}
}

// LargestMb is the size of the largest item, its model included.
//
//	quietMs := table.Store.PaceMs(table.LargestMb())
func (t *Table) LargestMb() int64 {
	var size int64
	for _, item := range t.Items {
		size = max(size, item.SizeMb)
	}
	return size
}

// NeedMb is the room an item takes where nothing of it is loaded yet.
//
//	if table.NeedMb("rx-lora") > worker.RoomMb { ... }
func (t *Table) NeedMb(name string) int64 {
	item := t.Items[name]
	if item.Base == "" {
		return item.SizeMb
	}
	return item.SizeMb + t.Items[item.Base].SizeMb
}

// TakesModels tells whether a pool's workers take orders: applications do not.
//
//	if table.TakesModels(worker.Pool) { ... }
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
//	weight := table.Weight("hint", wallMs)
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
//	faults := table.Roomless(map[string]int64{"llm": 24000})
func (t *Table) Roomless(largestRoom map[string]int64) Faults {
	var faults Faults
	for name, item := range t.Items {
		room, known := largestRoom[item.Pool]
		if known && t.NeedMb(name) > room {
			faults = append(faults, Fault{Path: "items." + name, Said: fmt.Sprintf("needs %d MB and the largest worker of pool %q has %d MB", t.NeedMb(name), item.Pool, room)})
		}
	}
	return faults
}
