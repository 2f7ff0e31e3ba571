package fleet

import (
	"fmt"
	"time"

	"github.com/samber/oops"
)

func split(w *World) error {
	half := len(w.Cores) / 2
	w.Cut(w.Cores[:half], w.Cores[half:], true)
	w.Pass(7 * time.Second)
	w.Heal()
	w.Pass(3 * time.Second)
	var fronts []string
	for i := range w.Shape.Fronts {
		fronts = append(fronts, fmt.Sprintf("l%d", i+1))
	}
	w.Cut(fronts, w.Cores, true)
	w.Pass(3 * time.Second)
	// A front that restarts now can learn only from its peers.
	w.Kill("l1", "s1")
	if err := w.Start("l1", "s1"); err != nil {
		return err
	}
	if !w.Until(5*time.Second, func() bool { return w.Version("s1") >= 1 }) {
		return oops.Errorf("a front restarted without the core learns nothing from its peers")
	}
	w.Pass(2 * time.Second)
	w.Heal()
	return nil
}

// workers ends without w1, which has left.
func workers(w *World) error {
	if err := w.Leave("w1", true); err != nil {
		return err
	}
	w.Kill("w2")
	w.Pass(2 * time.Second)
	if err := w.Start("w2"); err != nil {
		return err
	}
	w.Freeze("w3")
	w.Pass(6 * time.Second)
	w.Thaw("w3")
	w.Kill("w1")
	return nil
}

func fronts(w *World) error {
	w.Kill("s1", "l1")
	w.Pass(time.Second)
	if err := w.Start("l1", "s1"); err != nil {
		return err
	}
	if !w.Stop(12*time.Second, "s2", "l2") {
		return oops.Errorf("a front does not drain in time")
	}
	if err := w.Start("l2", "s2"); err != nil {
		return err
	}
	w.Kill("l1")
	w.Pass(4 * time.Second)
	return w.Start("l1")
}

func apps(w *World) error {
	for _, name := range []string{"b1", "b2"} {
		w.Kill(name)
		w.Pass(2 * time.Second)
		if err := w.Start(name); err != nil {
			return err
		}
		w.Pass(2 * time.Second)
	}
	return nil
}

func policies(w *World) error {
	var version int64
	for turn := range 20 {
		next, status, err := w.Write(fmt.Sprintf("l%d", turn%w.Shape.Fronts+1), nil, -1)
		if err != nil || status != 200 {
			return oops.Wrapf(err, "the policy was answered with %d", status)
		}
		version = next
	}
	if err := w.inForce(version); err != nil {
		return err
	}
	routes := []object{{"path": w.Shape.App, "service": "app", "kind": "app", "deadline_ms": 5000}}
	for _, stream := range w.Shape.Streams {
		routes = append(routes, object{"path": stream.Path, "service": stream.Kind, "kind": stream.Kind})
	}
	for i := range 5000 {
		routes = append(routes, object{"path": fmt.Sprintf("/v1/shops/%d/bookings", i), "service": "app", "kind": "app"})
	}
	version, status, err := w.Write("l1", object{"routes": routes}, -1)
	if err != nil || status != 200 {
		return oops.Wrapf(err, "the large policy was answered with %d", status)
	}
	return w.inForce(version)
}

// rolling restarts core machines and fronts in turn; the next goes only when
// all partitions have an owner again.
func rolling(w *World) error {
	for _, name := range w.Cores {
		if !w.Stop(12*time.Second, name) {
			return oops.Errorf("%s does not end in time", name)
		}
		if err := w.Start(name); err != nil {
			return err
		}
		if !w.Until(12*time.Second, func() bool { return w.owned() == 12 }) {
			return oops.Errorf("%d of 12 partitions have an owner after %s was restarted", w.owned(), name)
		}
	}
	for i := range w.Shape.Fronts {
		names := []string{fmt.Sprintf("s%d", i+1), fmt.Sprintf("l%d", i+1)}
		if !w.Stop(12*time.Second, names...) {
			return oops.Errorf("%v do not end in time", names)
		}
		if err := w.Start(names...); err != nil {
			return err
		}
		if !w.Until(5*time.Second, func() bool { return w.Version(names[0]) > 0 }) {
			return oops.Errorf("%s has no policy after its restart", names[0])
		}
	}
	return nil
}

// owned counts the partitions that the core machines say they own.
func (w *World) owned() int {
	total := 0
	for _, name := range w.Cores {
		total += int(max(w.Metric(name, "applequay_partitions_owned"), 0))
	}
	return total
}

// long is a day of faults with one last fault.
func long(w *World) error {
	for _, step := range []func(*World) error{killCore, split, freezeOwner, fronts, apps, workers, power} {
		if err := step(w); err != nil {
			return err
		}
		w.Pass(3 * time.Second)
	}
	return nil
}

// announce writes an opening that needs every model and adapter, with a lead
// of three times what the store takes, and waits for its moment.
func announce(w *World) error {
	var models, adapters []string
	for _, item := range w.Shape.Items() {
		if item[1] == "" {
			models = append(models, item[0])
		} else {
			adapters = append(adapters, item[1])
		}
	}
	const lead = 18 * time.Second
	moment := time.Now().Add(lead + 3*time.Second).Truncate(time.Second)
	opening := object{"name": "morning", "at": moment.UTC().Format(time.RFC3339), "models": models, "adapters": adapters, "lead_ms": lead.Milliseconds(), "last_ms": 60000, "weights": object{"app": 20}}
	_, status, err := w.Write("l1", object{"openings": []object{opening}}, -1)
	if err != nil || status != 200 {
		return oops.Wrapf(err, "the opening was answered with %d", status)
	}
	w.Pass(time.Until(moment))
	var told struct {
		Openings []struct{ Ready, Missing []string }
	}
	if err := w.Ask("l1", "/v1/openings", &told); err != nil {
		return err
	}
	if len(told.Openings) != 1 {
		return oops.Errorf("%d openings are told", len(told.Openings))
	}
	w.note("opening", "morning", int64(len(told.Openings[0].Ready)), fmt.Sprint(told.Openings[0].Missing))
	return nil
}
