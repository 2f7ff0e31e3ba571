package fleet

import (
	"slices"
	"time"

	"github.com/samber/oops"
)

func (w *World) acknowledged(at string) (int64, error) {
	version, status, err := w.Write(at, nil, -1)
	if err != nil || status != 200 {
		return 0, oops.Wrapf(err, "the policy was answered with %d", status)
	}
	return version, nil
}

// inForce checks that an acknowledged version is in force everywhere in time.
func (w *World) inForce(version int64) error {
	took, ok := w.InForce(version, 2*time.Second, w.Proxies()...)
	if !ok {
		return oops.Errorf("mark %d is in force within 2 s only at %v", version, took)
	}
	return nil
}

func killCore(w *World) error {
	version, err := w.acknowledged("c1")
	if err != nil {
		return err
	}
	w.Kill("c1")
	if err = w.inForce(version); err != nil {
		return err
	}
	w.Pass(6 * time.Second)
	if version, err = w.acknowledged("l2"); err != nil {
		return err
	}
	if err := w.inForce(version); err != nil {
		return err
	}
	return w.Start("c1")
}

type coreTold struct {
	Epoch int64
	Swept bool
	Seats []struct{ ID, Name, Addr string }
}

func (w *World) voters(at string, want int, names ...string) bool {
	var core coreTold
	if w.Ask(at, "/v1/core", &core) != nil || len(core.Seats) != want || !core.Swept {
		return false
	}
	for _, name := range names {
		if !slices.ContainsFunc(core.Seats, func(s struct{ ID, Name, Addr string }) bool { return s.Name == name }) {
			return false
		}
	}
	return true
}

func loseDisk(w *World) error {
	w.Kill("c2")
	if err := w.Wipe("c2"); err != nil {
		return err
	}
	w.Pass(time.Second)
	if err := w.Start("c2"); err != nil {
		return err
	}
	if !w.Until(20*time.Second, func() bool {
		var core coreTold
		return w.voters("c1", w.Shape.Cores, "c2") && w.Ask("c1", "/v1/core", &core) == nil && core.Epoch >= 4
	}) {
		return oops.Errorf("the wiped core machine is not seated again")
	}
	// The new one must carry weight: without another, it makes the majority.
	w.Kill("c1")
	w.Pass(time.Second)
	version, err := w.acknowledged("l1")
	if err != nil {
		return err
	}
	if err := w.inForce(version); err != nil {
		return err
	}
	return w.Start("c1")
}

func replaceCore(w *World) error {
	w.Kill("c1")
	if err := w.AddCore("c9", 9, ""); err != nil {
		return err
	}
	if err := w.Start("c9"); err != nil {
		return err
	}
	if !w.Until(35*time.Second, func() bool { return w.voters("c2", w.Shape.Cores, "c9") }) {
		var core coreTold
		_ = w.Ask("c2", "/v1/core", &core)
		return oops.Errorf("the new core machine is not seated: %+v", core)
	}
	version, err := w.acknowledged("l1")
	if err != nil {
		return err
	}
	return w.inForce(version)
}

func power(w *World) error {
	version, err := w.acknowledged("l1")
	if err != nil {
		return err
	}
	var names []string
	for _, name := range w.names {
		if p := w.procs[name]; p.program != "loadgen" && p.program != "fakeregistry" && name[0] != 'b' {
			names = append(names, name)
		}
	}
	return w.outage(version, names...)
}

// powerAll takes the applications and the directory too; the platform's list
// is there again with them.
func powerAll(w *World) error {
	version, err := w.acknowledged("l1")
	if err != nil {
		return err
	}
	var names []string
	for _, name := range w.names {
		if w.procs[name].program != "loadgen" {
			names = append(names, name)
		}
	}
	return w.outage(version, names...)
}

// outage takes processes down together and brings them back a second later.
func (w *World) outage(version int64, names ...string) error {
	w.Kill(names...)
	w.Pass(time.Second)
	if err := w.Start(names...); err != nil {
		return err
	}
	w.note("back", "", 0, "")
	if !w.Until(5*time.Second, func() bool { return w.List() == nil }) {
		return oops.Errorf("the directory does not answer")
	}
	if _, ok := w.InForce(version, 10*time.Second, w.Proxies()...); !ok {
		return oops.Errorf("mark %d is not back", version)
	}
	return nil
}

func freezeOwner(w *World) error {
	for _, name := range w.Cores[:2] {
		w.Freeze(name)
		w.Pass(8 * time.Second)
		w.Thaw(name)
		w.Pass(2 * time.Second)
	}
	return nil
}
