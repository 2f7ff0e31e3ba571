package adminapi

import (
	"maps"
	"slices"
	"strings"

	"applequay/internal/transport/wire"
)

// Bounds of what the doctor takes for a passing state.
const (
	// settleMs is how long a new controller may be without a vote.
	settleMs = 30000
	// fullVoters is how many voters a core set may have.
	fullVoters = 9
	// leastVoters is how many voters bear the loss of one.
	leastVoters = 3
	// store waits longer than this are told.
	longWaitMs = 10000
)

// size looks at how many voters the core set has, and at controllers that have none.
func (d *doctor) size() {
	core := d.page.Core
	if core.Epoch == 0 {
		return
	}
	admitted := func(id string) bool {
		return slices.ContainsFunc(append(slices.Clone(core.Voters), core.Joining...), func(s wire.Voter) bool { return s.ID == id })
	}
	names := map[string]bool{}
	for _, member := range d.page.Members {
		if member.Role != "controller" {
			continue
		}
		names[member.Name] = true
		if stands(member) && !admitted(member.ID) && len(core.Voters) < fullVoters && d.wallMs-member.Born > settleMs {
			d.find("a controller has no seat", member.Name, "look at its log and its links to the others: a newcomer is seated within seconds", "it stands, and the core set of epoch %d with %d seats does not name it", core.Epoch, len(core.Voters))
		}
	}
	if len(core.Voters) < leastVoters && len(names) > 1 {
		d.find("the core bears no loss", "core", "start controllers until there are three: the set takes them in by itself", "it has %d seats, and more than half of them must stand", len(core.Voters))
	}
}

// workers looks for those that nobody has looked at: they get no requests.
func (d *doctor) workers() {
	pools := map[string][]string{}
	for _, worker := range d.page.Workers {
		if _, seen := d.page.Rooms[worker.Name]; !seen && !worker.Leaving && d.page.Policy.TakesModels(worker.Pool) {
			pools[worker.Pool] = append(pools[worker.Pool], worker.Name)
		}
	}
	for _, pool := range slices.Sorted(maps.Keys(pools)) {
		slices.Sort(pools[pool])
		d.find("workers are listed and not looked at", pool, "if it lasts, look whether core machines reach them and whether their partitions have owners", "no owner has told what is loaded at %s", strings.Join(pools[pool], ", "))
	}
}

// store looks at what is on its way from the weight store.
func (d *doctor) store() {
	rate, loads := d.page.Policy.Store.LoadsPer1000S, int64(0)
	if rate == 0 {
		return
	}
	for _, room := range d.page.Rooms {
		for _, held := range room.Loaded {
			if !held.Ready && !d.page.Policy.Items[held.Item].Light {
				loads++
			}
		}
	}
	if need := loads * 1_000_000 / rate; need > longWaitMs {
		d.find("loads wait for the weight store", "store", "announce models by an opening, hold fewer rare ones, or have a faster store", "%d loads are wanted and take %d ms at %d in 1000 s", loads, need, rate)
	}
}
