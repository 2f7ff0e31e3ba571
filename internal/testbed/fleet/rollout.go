package fleet

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/samber/oops"
)

// rolledOut is what operators are shown of a roll-out.
type rolledOut struct {
	Mark   int64
	Policy struct {
		Rollout *struct {
			Done   int64
			Halted string
		}
	}
}

// Roll asks for a policy to be rolled out over all zones in turn.
//
//	err := world.Roll("l1", nil, 4*time.Second)
func (w *World) Roll(name string, more map[string]any, pause time.Duration) error {
	var zones []string
	for at := range w.Shape.Zones {
		zones = append(zones, fmt.Sprintf("z%d", at))
	}
	url := fmt.Sprintf("http://%s/v1/policy?rollout=%s&pause_ms=%d&halt_percent=8", w.Node(name), strings.Join(zones, ","), pause.Milliseconds())
	status, told, err := w.call(http.MethodPut, url, w.Shape.Policy(w.withTurns(more, w.turns.Load())))
	if err != nil || status != http.StatusOK {
		return oops.Wrapf(err, "the roll-out was answered with %d %s", status, told)
	}
	w.note("rollout", name, 0, "")
	return nil
}

// rollOut rolls out a policy that breaks a service, which must be halted in its
// first zone, and then one that is well, which must get everywhere.
func rollOut(w *World) error {
	routes := w.Shape.routes()
	for at := range routes {
		if routes[at]["path"] == w.Shape.Streams[0].Path {
			routes[at]["service"] = "since"
		}
	}
	if err := w.Roll("l1", object{"routes": routes}, 15*time.Second); err != nil {
		return err
	}
	var told rolledOut
	if !w.Until(14*time.Second, func() bool {
		told = rolledOut{}
		return w.Ask("l2", "/v1/policy", &told) == nil && told.Policy.Rollout != nil && told.Policy.Rollout.Halted != ""
	}) {
		return oops.Errorf("a policy that breaks a service is not halted: %+v", told.Policy.Rollout)
	}
	w.note("halted", "", told.Policy.Rollout.Done, told.Policy.Rollout.Halted)
	if told.Policy.Rollout.Done != 1 {
		return oops.Errorf("it was halted only in zone %d", told.Policy.Rollout.Done)
	}
	if err := w.inForce(told.Mark); err != nil {
		return err
	}
	w.Pass(2 * time.Second)
	if err := w.Roll("l2", nil, 3*time.Second); err != nil {
		return err
	}
	w.Kill("c1")
	defer func() { _ = w.Start("c1") }()
	if !w.Until(40*time.Second, func() bool {
		told = rolledOut{}
		return w.Ask("l1", "/v1/policy", &told) == nil && told.Policy.Rollout == nil
	}) {
		return oops.Errorf("a policy that is well does not get everywhere: %+v", told.Policy.Rollout)
	}
	return w.inForce(told.Mark)
}
