package agent

import (
	"applequay/internal/controlplane/controller"
	"applequay/internal/controlplane/distribution"
	"applequay/internal/transport/wire"
)

// Page copies what operators may be shown.
//
//	page := agent.Page(now)
func (a *Agent) Page(int64) controller.Page {
	page := controller.Page{ID: a.boot.ID, Role: "agent", Core: a.proposer.Core(), Policy: a.policy, Versions: map[string]int64{}, Members: a.members.All(),
		Owners: map[int64]wire.Owner{}, Workers: map[string]wire.Worker{}, Rooms: map[string]wire.WorkerNews{}, Rounds: a.proposer.Rounds, Seeds: a.boot.Seeds, Partitions: a.boot.Partitions}
	for key, version := range a.versions {
		page.Versions[key] = version
	}
	for number, owner := range a.owners {
		page.Owners[number] = owner
	}
	for name, worker := range a.workers {
		page.Workers[name] = worker
	}
	for name, room := range a.rooms {
		page.Rooms[name] = room
	}
	return page
}

// Progress tells how far this node is after its start; its configuration is the one
// that the proxy was given.
//
//	progress := agent.Progress()
func (a *Agent) Progress() controller.Progress {
	return controller.NewProgress(a.proposer.Core(), a.boot.Seeds, a.members, a.fedVersion)
}

// Board shows the news kept here.
//
//	topic, ok := agent.Board().Get("policy")
func (a *Agent) Board() *distribution.Board { return a.board }
