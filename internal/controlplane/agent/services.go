package agent

import (
	"slices"

	"applequay/internal/controlplane/controller"
	"applequay/internal/transport/wire"
)

// services lists all that a zone has homes for.
func (l *Line) services() []string {
	out := []string{controller.ControlService}
	for _, service := range l.policy.Services {
		if name := "homes/" + service.Pool; !slices.Contains(out, name) {
			out = append(out, name)
		}
	}
	for _, item := range l.policy.Items {
		if name := "homes/" + item.Pool; !slices.Contains(out, name) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// SetSeeds takes the seeds of settings that were read again.
//
//	upstream.SetSeeds([]string{"10.0.0.7:7100"})
func (l *Line) SetSeeds(seeds []string) {
	l.boot.Seeds = seeds
	l.members.SetSeeds(controller.SeedsWith(seeds, l.proposer.Core()))
}

// passOn tells the zone's peers what a controller told this home, if it rose.
func (l *Line) passOn(out *wire.Outputs, from string, rose []wire.Topic) {
	if len(rose) == 0 || l.members.Role(from) != "controller" {
		return
	}
	for _, member := range l.members.Alive("agent") {
		if member.ID != l.boot.ID && member.Zone == l.boot.Zone {
			out.Send(member.ID, wire.KindNews, &wire.News{Topics: rose})
		}
	}
}
