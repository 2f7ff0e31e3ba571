package adminapi

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"applequay/internal/configuration"
	"applequay/internal/controlplane/controller"
	"applequay/internal/transport/wire"
)

// Finding is one fault that the doctor found: what, where, by which evidence,
// and what to do.
type Finding struct {
	What     string `json:"what"`
	Where    string `json:"where"`
	Evidence string `json:"evidence"`
	Do       string `json:"do"`
}

// Bounds beyond which the doctor speaks.
const (
	slowSyncMs   = 250
	leastFreePct = 10
	behindMs     = 5000
)

type doctor struct {
	page     *controller.Page
	wallMs   int64
	findings []Finding
}

// Findings looks for common faults in what a node knows.
//
//	for _, finding := range adminapi.Findings(page, time.Now().UnixMilli()) { ... }
func Findings(page *controller.Page, wallMs int64) []Finding {
	d := &doctor{page: page, wallMs: wallMs, findings: []Finding{}}
	d.seeds()
	d.voters()
	d.machines()
	d.versions()
	d.owners()
	d.models()
	d.openings()
	d.services()
	d.size()
	d.workers()
	d.store()
	return d.findings
}

func (d *doctor) find(what, where, do, evidence string, args ...any) {
	d.findings = append(d.findings, Finding{What: what, Where: where, Evidence: fmt.Sprintf(evidence, args...), Do: do})
}

func stands(member wire.Member) bool {
	return wire.Standing(member.Standing) <= wire.StandingSuspect
}

func (d *doctor) member(match func(wire.Member) bool) (wire.Member, bool) {
	at := slices.IndexFunc(d.page.Members, match)
	if at < 0 {
		return wire.Member{}, false
	}
	return d.page.Members[at], true
}

func (d *doctor) seeds() {
	for _, seed := range d.page.Seeds {
		if _, ok := d.member(func(m wire.Member) bool { return m.Addr == seed && stands(m) }); !ok {
			d.find("a seed cannot be reached", seed, "start the process there, or name another seed in the settings of all nodes", "%s knows no standing member at this address", d.page.ID)
		}
	}
}

func (d *doctor) voters() {
	core, standing := d.page.Core, 0
	if core.Epoch == 0 {
		d.find("there is no core set", d.page.ID, "check that every controller named in -core runs: the first set is founded only when all answer", "no controller told this node of a core set")
		return
	}
	for _, voter := range core.Voters {
		if _, ok := d.member(func(m wire.Member) bool { return m.ID == voter.ID && stands(m) }); ok {
			standing++
			continue
		}
		d.find("a core set member is absent", voter.Name+" ("+voter.ID+")", "start it, or start an empty controller in its place: it is seated after a while", "the core set of epoch %d names it and it does not answer", core.Epoch)
	}
	if standing < len(core.Voters)/2+1 {
		d.find("the core has no majority", "core", "start absent controllers; fronts serve on from their last marks meanwhile", "%d of %d members stand", standing, len(core.Voters))
	}
	if !core.Rereplicated || len(core.Joining) > 0 {
		d.find("a change of the core set is under way", "core", "nothing, unless it lasts for minutes: then look for slow disks", "epoch %d is not swept", core.Epoch)
	}
}

func number(member wire.Member, fact string) (int64, bool) {
	value, err := strconv.ParseInt(member.Fact[fact], 10, 64)
	return value, err == nil
}

// machines looks at what members tell of their own machines.
func (d *doctor) machines() {
	settings := map[string][]string{}
	for _, member := range d.page.Members {
		if !stands(member) {
			continue
		}
		if ms, ok := number(member, "sync_ms"); ok && ms >= slowSyncMs {
			d.find("a disk is slow", member.Name, "look at the machine's disk; policies and placement wait for the slower half of the core", "the last write took %d ms", ms)
		}
		if free, ok := number(member, "disk_free_pct"); ok && free < leastFreePct {
			d.find("a disk is nearly full", member.Name, "free some space: a controller with a full disk acknowledges nothing and lets its partitions go", "%d%% are free", free)
		}
		if fault := member.Fact["list_fault"]; fault != "" {
			d.find("the platform's worker list cannot be used", member.Name, "look at the platform's directory; the last good list stays in force", "%s", fault)
		}
		if jumped, ok := number(member, "clock_jump_ms"); ok && jumped != 0 {
			d.find("a clock jumped", member.Name, "look at the machine's clock; only the moments of openings depend on it", "it jumped by %d ms since the process began", jumped)
		}
		if text := member.Fact["settings"]; text != "" {
			settings[text] = append(settings[text], member.Name)
		}
	}
	if len(settings) > 1 {
		var evidence []string
		for text, names := range settings {
			slices.Sort(names)
			evidence = append(evidence, strings.Join(names, ",")+" have "+text)
		}
		slices.Sort(evidence)
		d.find("settings disagree", "all nodes", "give all nodes the same partitions, lease and probe times", "%s", strings.Join(evidence, "; "))
	}
}

func (d *doctor) versions() {
	var newest int64
	for _, member := range d.page.Members {
		if version, ok := number(member, "mark"); ok && stands(member) {
			newest = max(newest, version)
		}
	}
	for _, member := range d.page.Members {
		version, _ := number(member, "mark")
		if member.Role == "agent" && stands(member) && version < newest && d.wallMs-member.Born > behindMs {
			d.find("a front is behind", member.Name, "look at its link to its zone and to the core", "it has policy mark %d, the newest known is %d", version, newest)
		}
	}
}

func (d *doctor) owners() {
	var loose []string
	for partition := range d.page.Partitions {
		held := false
		for _, member := range d.page.Members {
			held = held || (stands(member) && slices.Contains(strings.Split(member.Fact["owned"], ","), strconv.FormatInt(partition, 10)))
		}
		if !held {
			loose = append(loose, strconv.FormatInt(partition, 10))
		}
	}
	if len(loose) > 0 {
		d.find("partitions have no owner", strings.Join(loose, ","), "wait for two leases; if it lasts, look for a core without majority or with stalled disks", "no standing controller says that it owns them")
	}
}

func (d *doctor) models() {
	rooms := map[string]int64{}
	for _, worker := range d.page.Workers {
		rooms[worker.Pool] = max(rooms[worker.Pool], worker.RoomMb)
	}
	faults := d.page.Policy.Roomless(rooms)
	slices.SortFunc(faults, func(a, b configuration.Fault) int { return strings.Compare(a.Path, b.Path) })
	for _, fault := range faults {
		d.find("a model fits nowhere", fault.Path, "give the pool a larger worker, or take the model out", "%s", fault.Said)
	}
}

func (d *doctor) openings() {
	held := map[string]int64{}
	for _, room := range d.page.Rooms {
		for _, loaded := range room.Loaded {
			if loaded.Ready {
				held[loaded.Item]++
			}
		}
	}
	for _, opening := range d.page.Policy.Openings {
		if d.wallMs > opening.AtMs {
			continue
		}
		var missing int64
		for _, item := range opening.Items {
			missing += max(opening.Copies-held[item], 0) * d.page.Policy.Items[item].SizeMb
		}
		need := missing * 1000 / max(d.page.Policy.Store.MbPerS, 1)
		if left := min(opening.LeadMs, opening.AtMs-d.wallMs); need > left {
			d.find("an opening cannot be ready in time", opening.Name, "raise its lead_ms, need fewer models or copies, or move it", "%d MB are missing and take %d ms at the store's rate, of which %d are left", missing, need, left)
		}
	}
}

func (d *doctor) services() {
	names := make([]string, 0, len(d.page.Policy.Services))
	for name := range d.page.Policy.Services {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		service, listed, open := d.page.Policy.Services[name], 0, 0
		for _, worker := range d.page.Workers {
			if worker.Pool == service.Pool {
				listed++
				if !worker.Leaving && !(service.Model && d.page.Rooms[worker.Name].Dark) {
					open++
				}
			}
		}
		if open == 0 {
			d.find("a service has no standing server", name, "start workers in its pool, or route it elsewhere", "pool %q has %d workers listed, and none may get requests", service.Pool, listed)
		}
	}
}

func (d *Server) doctor(w http.ResponseWriter, _ *http.Request) {
	if page := d.page(w); page != nil {
		Say(w, http.StatusOK, map[string]any{"node": page.ID, "findings": Findings(page, time.Now().UnixMilli())})
	}
}
