package agent

import (
	"applequay/internal/controlplane/controller"
	"applequay/internal/controlplane/distribution"
	"applequay/internal/transport/wire"
)

// Page copies what operators may be shown.
//
//	page := upstream.Page(now)
func (l *Agent) Page(int64) controller.Page {
	page := controller.Page{ID: l.boot.ID, Role: "agent", Core: l.proposer.Core(), Policy: l.policy, Versions: map[string]int64{}, Members: l.members.All(),
		Owners: map[int64]wire.Owner{}, Workers: map[string]wire.Worker{}, Rooms: map[string]wire.WorkerNews{}, Rounds: l.proposer.Rounds, Seeds: l.boot.Seeds, Partitions: l.boot.Partitions}
	for key, version := range l.versions {
		page.Versions[key] = version
	}
	for number, owner := range l.owners {
		page.Owners[number] = owner
	}
	for name, worker := range l.workers {
		page.Workers[name] = worker
	}
	for name, room := range l.rooms {
		page.Rooms[name] = room
	}
	return page
}

// Progress tells how far this node is after its start; its configuration is the one
// that the proxy was given.
//
//	progress := upstream.Progress()
func (l *Agent) Progress() controller.Progress {
	return controller.NewProgress(l.proposer.Core(), l.boot.Seeds, l.members, l.fedVersion)
}

// Board shows the news kept here.
//
//	topic, ok := upstream.Board().Get("policy")
func (l *Agent) Board() *distribution.Board { return l.board }
