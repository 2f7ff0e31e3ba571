package controller

import (
	"fmt"
	"strings"

	"applequay/internal/configuration"
	"applequay/internal/controlplane/distribution"
	"applequay/internal/controlplane/membership"
	"applequay/internal/controlplane/partition"
	"applequay/internal/transport/wire"
)

// Page is what operators are shown of a node. Every node fills it alike.
type Page struct {
	ID, Role     string
	Core         wire.CoreSet
	Policy       *configuration.Table
	Versions     map[string]int64
	Members      []wire.Member
	Owners       map[int64]wire.Owner
	Workers      map[string]wire.Worker
	Rooms        map[string]wire.WorkerNews
	Owned        []wire.Hold
	Recovered    int64
	Rereplicated int
	Rounds       int64
	Events       int64
	// Moving counts partitions on their way to another owner, Moves all that were.
	Moving int
	Moves  int64
	// Placement sums up the partitions owned here.
	Placement partition.Placement
	// Needed says of a node that leaves that it should stay for a while.
	Needed bool
	// Seeds and Partitions are this node's own settings.
	Seeds      []string
	Partitions int64
}

// Page copies what may be shown; nothing in it is changed later.
//
//	page := core.Page(now)
func (c *Controller) Page(now int64) Page {
	page := Page{ID: c.boot.ID, Role: "controller", Core: c.proposer.Core(), Policy: c.view.Policy, Versions: map[string]int64{}, Members: c.members.All(),
		Owners: map[int64]wire.Owner{}, Workers: map[string]wire.Worker{}, Rooms: map[string]wire.WorkerNews{},
		Owned: c.holder.Owned(now), Recovered: c.Recoveries, Rereplicated: c.rereplicated, Rounds: c.proposer.Rounds, Seeds: c.boot.Seeds, Partitions: c.boot.Partitions}
	page.Events, page.Moving, page.Moves = c.events, len(c.moving), c.Moves
	page.Needed = c.Needed()
	for _, owned := range c.owned {
		page.Events += owned.Steps
		page.Placement.Add(owned.Placement(now))
	}
	for key, version := range c.versions {
		page.Versions[key] = version
	}
	for number, owner := range c.view.Owners {
		page.Owners[number] = owner
	}
	for name, worker := range c.view.Workers {
		page.Workers[name] = worker
	}
	for name, room := range c.view.Rooms {
		page.Rooms[name] = room
	}
	return page
}

// Progress is how far a node is after its start.
type Progress struct {
	Core  wire.CoreSet
	Seeds []string
	// Members are all others known, Controllers those of them that stand and are
	// controllers.
	Members, Controllers int
	// Configuration is the version in force here; nought if there is none yet.
	Configuration int64
}

// NewProgress is the progress of a node that knows some members and goes by a version of
// the configuration.
//
//	return controller.NewProgress(core, seeds, members, version)
func NewProgress(core wire.CoreSet, seeds []string, members *membership.Members, version int64) Progress {
	return Progress{Core: core, Seeds: seeds, Members: len(members.All()) - 1, Controllers: len(members.Alive("controller")), Configuration: version}
}

// Progress tells how far this node is after its start.
//
//	progress := core.Progress()
func (c *Controller) Progress() Progress {
	return NewProgress(c.proposer.Core(), c.boot.Seeds, c.members, c.versions[PolicyKey])
}

// Addr returns where a member is reached.
//
//	addr, ok := core.Addr("l2~77")
func (c *Controller) Addr(id string) (string, bool) {
	if addr, ok := c.members.Addr(id); ok {
		return addr, true
	}
	core := c.proposer.Core()
	for _, voter := range append(core.Voters, core.Joining...) {
		if voter.ID == id {
			return voter.Addr, true
		}
	}
	return "", false
}

// Board shows the news kept here.
//
//	topic, ok := core.Board().Get("policy")
func (c *Controller) Board() *distribution.Board { return c.board }

// Fact notes a fact about this node that all others hear.
//
//	core.Fact("sync_ms", "12")
func (c *Controller) Fact(name, fact string) { c.members.Set(name, fact) }

// ownedFact lists the partitions on which this node may take turns.
func (c *Controller) ownedFact(now int64) string {
	var numbers []string
	for number := range c.boot.Partitions {
		if c.mine(now, number) != nil {
			numbers = append(numbers, fmt.Sprint(number))
		}
	}
	return strings.Join(numbers, ",")
}

// SettingsFact sums up the settings in which all nodes must agree.
//
//	facts["settings"] = controller.SettingsFact(12, 3200, 200)
func SettingsFact(partitions, leaseMs, probeMs int64) string {
	return fmt.Sprintf("partitions %d lease-ms %d probe-ms %d", partitions, leaseMs, probeMs)
}
