// Package routing is what a proxy routes by: one version of policy, worker
// list and homes together. A table is never changed once made; only the
// counters that servers keep live on from one to the next.
package routing

import (
	"slices"
	"strings"

	"applequay/internal/configuration"
	"applequay/internal/transport/wire"
)

// Server is one worker as a proxy uses it.
type Server struct {
	Name, Addr, Pool, Zone string
	Leaving, Dark          bool
	Loaded                 map[string]bool
	Load                   *Load
	loaded                 []wire.Loaded // of which Loaded is made
}

// Table is one state of all that routing needs.
type Table struct {
	Policy  *configuration.Table
	Known   bool
	Servers map[string]*Server
	Pools   map[string][]*Server
	Refused map[string]int64
	// Waits tells when what workers are to load is there, up to WaitsTo.
	Waits   map[string]int64
	WaitsTo int64
	Budgets map[string]*Budget
	// Next is closed when a newer table is there.
	Next   chan struct{}
	routes *routes
	// holders are the servers of each pool that have an item.
	holders map[string][]*Server
	// pasts are what the servers of each pool were by lists before.
	pasts map[string][]past
	// order is that of the list of workers; rosters are what pasts was made of.
	order   []*Server
	rosters []wire.Roster
}

// Empty is the table of a proxy that knows nothing yet.
//
//	start := routing.Empty()
func Empty() *Table {
	return &Table{Policy: configuration.Empty(), Servers: map[string]*Server{}, Pools: map[string][]*Server{}, Refused: map[string]int64{}, Budgets: map[string]*Budget{}, Next: make(chan struct{}), routes: newRoutes(nil), holders: map[string][]*Server{}}
}

// News is what a new table is made of.
type News struct {
	Policy  *configuration.Table
	Workers []wire.Worker
	Rosters []wire.Roster
	Rooms   map[string]wire.WorkerNews
	Refused map[string]int64
	Waits   map[string]int64
	WaitsTo int64
}

// Holders lists the servers of a pool that have an item, and its model. The
// list is not to be changed.
//
//	servers := current.Holders("llm", "rx-lora")
func (t *Table) Holders(pool, item string) []*Server { return t.holders[pool+"|"+item] }

// Open lists the servers of a pool that may get something new.
//
//	servers := current.Open("booking")
func (t *Table) Open(pool string) []*Server {
	return slices.DeleteFunc(slices.Clone(t.Pools[pool]), func(s *Server) bool { return s.Leaving })
}

// Item is what a request asks for: the adapter where it names one, else the
// model. False where the policy has no such thing in the pool.
//
//	item, ok := current.Item("llm", "lens-7b", "rx-lora")
func (t *Table) Item(pool, model, adapter string) (string, bool) {
	name := model
	if adapter != "" {
		name = adapter
		if t.Policy.Items[adapter].Base != model {
			return "", false
		}
	}
	item, ok := t.Policy.Items[name]
	if item.Base != "" && adapter == "" {
		return "", false
	}
	return name, ok && item.Pool == pool && strings.TrimSpace(name) != ""
}
