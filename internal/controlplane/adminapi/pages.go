package adminapi

import (
	"cmp"
	"net/http"
	"slices"
	"strings"
	"time"

	"applequay/internal/controlplane/controller"
	"applequay/internal/transport/wire"
)

// Home is one model or adapter on one worker.
type Home struct {
	Item   string `json:"item"`
	Worker string `json:"worker"`
	Pool   string `json:"pool"`
}

// Worker is a worker as the nodes know it.
type Worker struct {
	Name    string `json:"name"`
	Addr    string `json:"addr"`
	Zone    string `json:"zone"`
	Pool    string `json:"pool"`
	RoomMb  int64  `json:"room_mb"`
	UsedMb  int64  `json:"used_mb"`
	Leaving bool   `json:"leaving"`
	Dark    bool   `json:"dark"`
}

// Homes is the answer of /v1/homes.
type Homes struct {
	Homes   []Home   `json:"homes"`
	Workers []Worker `json:"workers"`
}

func (d *Server) page(w http.ResponseWriter) *controller.Page {
	page := d.control.Page.Load()
	if page == nil {
		Say(w, http.StatusServiceUnavailable, Refusal{Error: "this node has only just started"})
	}
	return page
}

func (d *Server) homes(w http.ResponseWriter, _ *http.Request) {
	page := d.page(w)
	if page == nil {
		return
	}
	out := Homes{Homes: []Home{}, Workers: []Worker{}}
	for _, worker := range page.Workers {
		room, seen := page.Rooms[worker.Name]
		// Where the list does not say the room, the worker or the operator does.
		roomMb := cmp.Or(worker.RoomMb, room.RoomMb, page.Policy.Pools[worker.Pool].RoomMb)
		out.Workers = append(out.Workers, Worker{Name: worker.Name, Addr: worker.Addr, Zone: worker.Zone, Pool: worker.Pool, RoomMb: roomMb, UsedMb: room.UsedMb, Leaving: worker.Leaving, Dark: seen && room.Dark})
		for _, held := range room.Loaded {
			if !held.Ready {
				continue
			}
			out.Homes = append(out.Homes, Home{Item: held.Item, Worker: worker.Name, Pool: worker.Pool})
		}
	}
	slices.SortFunc(out.Workers, func(a, b Worker) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(out.Homes, func(a, b Home) int { return strings.Compare(a.Item+"/"+a.Worker, b.Item+"/"+b.Worker) })
	Say(w, http.StatusOK, out)
}

// Opening is an opening and how much of it stands ready.
type Opening struct {
	Name    string           `json:"name"`
	At      string           `json:"at"`
	LeadMs  int64            `json:"lead_ms"`
	LastMs  int64            `json:"last_ms"`
	Copies  int64            `json:"copies"`
	Weights map[string]int64 `json:"weights"`
	Ready   []string         `json:"ready"`
	Missing []string         `json:"missing"`
}

func (d *Server) openings(w http.ResponseWriter, _ *http.Request) {
	page := d.page(w)
	if page == nil {
		return
	}
	held := map[string]int64{}
	for _, room := range page.Rooms {
		for _, loaded := range room.Loaded {
			if loaded.Ready {
				held[loaded.Item]++
			}
		}
	}
	out := []Opening{}
	for _, opening := range page.Policy.Openings {
		told := Opening{Name: opening.Name, At: time.UnixMilli(opening.AtMs).UTC().Format(time.RFC3339), LeadMs: opening.LeadMs, LastMs: opening.LastMs, Copies: opening.Copies, Weights: opening.Weights, Ready: []string{}, Missing: []string{}}
		for _, item := range opening.Items {
			if held[item] >= opening.Copies {
				told.Ready = append(told.Ready, item)
			} else {
				told.Missing = append(told.Missing, item)
			}
		}
		out = append(out, told)
	}
	Say(w, http.StatusOK, map[string]any{"mark": page.Policy.Version, "openings": out})
}

// Member is a member as this node sees it.
type Member struct {
	ID       string            `json:"id"`
	Name     string            `json:"name"`
	Role     string            `json:"role"`
	Zone     string            `json:"zone"`
	Addr     string            `json:"addr"`
	Standing string            `json:"standing"`
	Facts    map[string]string `json:"facts,omitempty"`
}

func (d *Server) members(w http.ResponseWriter, _ *http.Request) {
	page := d.page(w)
	if page == nil {
		return
	}
	out := []Member{}
	for _, member := range page.Members {
		standing := strings.ToLower(strings.TrimPrefix(wire.Standing(member.Standing).String(), "Standing"))
		out = append(out, Member{ID: member.ID, Name: member.Name, Role: member.Role, Zone: member.Zone, Addr: member.Addr, Standing: standing, Facts: member.Fact})
	}
	Say(w, http.StatusOK, map[string]any{"members": out})
}

// Core is the core set and who owns which partition.
type Core struct {
	Epoch        int64   `json:"epoch"`
	Rereplicated bool    `json:"swept"`
	Voters       []Voter `json:"seats"`
	Joining      []Voter `json:"joining"`
	Owners       []Owner `json:"owners"`
}

// Voter is a member of the core set, by its identity.
type Voter struct {
	ID   string `json:"id"`
	Name string `json:"name"`
	Addr string `json:"addr"`
}

func votersOf(voters []wire.Voter) []Voter {
	out := []Voter{}
	for _, voter := range voters {
		out = append(out, Voter{ID: voter.ID, Name: voter.Name, Addr: voter.Addr})
	}
	return out
}

// Owner is who owns a partition, and under which fence.
type Owner struct {
	Partition int64  `json:"partition"`
	ID        string `json:"id"`
	Fence     int64  `json:"fence"`
}

func (d *Server) core(w http.ResponseWriter, _ *http.Request) {
	page := d.page(w)
	if page == nil {
		return
	}
	out := Core{Epoch: page.Core.Epoch, Rereplicated: page.Core.Rereplicated, Voters: votersOf(page.Core.Voters), Joining: votersOf(page.Core.Joining), Owners: []Owner{}}
	for _, owner := range page.Owners {
		out.Owners = append(out.Owners, Owner{Partition: owner.Partition, ID: owner.ID, Fence: owner.Fence})
	}
	slices.SortFunc(out.Owners, func(a, b Owner) int { return int(a.Partition - b.Partition) })
	Say(w, http.StatusOK, out)
}

func (d *Server) standing(w http.ResponseWriter, _ *http.Request) {
	page := d.page(w)
	if page == nil {
		return
	}
	Say(w, http.StatusOK, map[string]any{"id": page.ID, "role": page.Role, "marks": page.Versions, "owned": len(page.Owned), "recovered": page.Recovered, "swept": page.Rereplicated, "epoch": page.Core.Epoch, "members": len(page.Members)})
}

func (d *Server) drained(w http.ResponseWriter, _ *http.Request) {
	Say(w, http.StatusAccepted, map[string]string{"drain": "started"})
	d.drain()
}
