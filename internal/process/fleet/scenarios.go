package fleet

import (
	"slices"
	"time"

	"github.com/samber/oops"
)

// Scenario is one way that things go wrong, under traffic.
type Scenario struct {
	Name    string
	Help    string
	Seconds int64
	Run     func(w *World) error
	// Before is done once the world is open and before callers come.
	Before func(w *World) error
}

// Scenarios are all that testdesk can bring about.
//
//	for _, scenario := range fleet.Scenarios() { ... }
func Scenarios() []Scenario {
	return []Scenario{
		{"calm", "nothing goes wrong", 20, func(*World) error { return nil }, nil},
		{"opening", "everyone comes at a moment that was announced", 20, func(*World) error { return nil }, announce},
		{"kill-core", "a core machine is killed right after acknowledging, and comes back", 25, killCore, nil},
		{"lose-disk", "a core machine comes back with an empty disk", 35, loseDisk, nil},
		{"replace-core", "a core machine is replaced by an empty one at a new address", 45, replaceCore, nil},
		{"power", "all machines lose power and come back", 30, power, nil},
		{"freeze-owner", "an owner freezes for longer than its grant and wakes", 30, freezeOwner, nil},
		{"split", "the core is split in two, then cut off wholly", 35, split, nil},
		{"workers", "model workers are killed, go dark, and leave", 30, workers, nil},
		{"fronts", "fronts are killed, drained and restarted", 30, fronts, nil},
		{"apps", "booking workers are killed and restarted", 25, apps, nil},
		{"rolling", "every daemon is restarted by SIGTERM, one after the other", 60, rolling, nil},
		{"long", "many breakdowns in turn, and then all machines lose power", 150, long, nil},
		{"policies", "two operators storm, and a very large set of routes is written", 25, policies, nil},
	}
}

// Open brings a world up to where traffic can begin: started, listed, with a
// policy in force everywhere.
//
//	err := world.Open()
func (w *World) Open() error {
	if err := w.Start(); err != nil {
		return err
	}
	if !w.Until(5*time.Second, func() bool { return w.List() == nil }) {
		return oops.Errorf("the directory does not answer")
	}
	var mark int64
	if !w.Until(10*time.Second, func() bool {
		var status int
		var err error
		mark, status, err = w.SetPolicy("l1", w.Shape.Policy(nil), -1)
		return err == nil && status == 200
	}) {
		return oops.Errorf("no policy is taken: %s", w.ReadLog("l1"))
	}
	if took, ok := w.InForce(mark, 5*time.Second, w.Switchboards()...); !ok {
		return oops.Errorf("the policy is in force only at %v", took)
	}
	return nil
}

// Play opens a world, brings a scenario about under traffic, and returns what
// was seen.
//
//	seen, err := world.Play(scenario, 1)
func (w *World) Play(scenario Scenario, factor float64) (*Records, error) {
	if err := w.Open(); err != nil {
		return nil, err
	}
	if scenario.Before != nil {
		if err := scenario.Before(w); err != nil {
			return nil, oops.Wrapf(err, "before %s", scenario.Name)
		}
	}
	wait, err := w.Callers(scenario.Seconds, factor)
	if err != nil {
		return nil, err
	}
	w.Pass(5 * time.Second)
	if err := scenario.Run(w); err != nil {
		return nil, oops.Wrapf(err, "%s", scenario.Name)
	}
	if !wait() {
		return nil, oops.Errorf("the callers do not end")
	}
	return w.Records()
}

func (w *World) acknowledged(at string) (int64, error) {
	mark, status, err := w.SetPolicy(at, w.Shape.Policy(nil), -1)
	if err != nil || status != 200 {
		return 0, oops.Wrapf(err, "the policy was answered with %d", status)
	}
	return mark, nil
}

// inForce checks that an acknowledged mark is in force everywhere in time.
func (w *World) inForce(mark int64) error {
	took, ok := w.InForce(mark, 2*time.Second, w.Switchboards()...)
	if !ok {
		return oops.Errorf("mark %d is in force within 2 s only at %v", mark, took)
	}
	return nil
}

func killCore(w *World) error {
	mark, err := w.acknowledged("c1")
	if err != nil {
		return err
	}
	w.Kill("c1")
	if err := w.inForce(mark); err != nil {
		return err
	}
	w.Pass(6 * time.Second)
	if mark, err = w.acknowledged("l2"); err != nil {
		return err
	}
	if err := w.inForce(mark); err != nil {
		return err
	}
	return w.Start("c1")
}

type coreTold struct {
	Epoch int64
	Swept bool
	Seats []struct{ ID, Name, Addr string }
}

func (w *World) seats(at string, want int, names ...string) bool {
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
		return w.seats("c1", w.Shape.Cores, "c2") && w.Ask("c1", "/v1/core", &core) == nil && core.Epoch >= 4
	}) {
		return oops.Errorf("the wiped core machine is not seated again")
	}
	// The new one must carry weight: without another, it makes the majority.
	w.Kill("c1")
	w.Pass(time.Second)
	mark, err := w.acknowledged("l1")
	if err != nil {
		return err
	}
	if err := w.inForce(mark); err != nil {
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
	if !w.Until(35*time.Second, func() bool { return w.seats("c2", w.Shape.Cores, "c9") }) {
		var core coreTold
		_ = w.Ask("c2", "/v1/core", &core)
		return oops.Errorf("the new core machine is not seated: %+v", core)
	}
	mark, err := w.acknowledged("l1")
	if err != nil {
		return err
	}
	return w.inForce(mark)
}

func power(w *World) error {
	mark, err := w.acknowledged("l1")
	if err != nil {
		return err
	}
	var names []string
	for _, name := range w.names {
		if p := w.procs[name]; p.program != "subscriber" && p.program != "directory" && name[0] != 'b' {
			names = append(names, name)
		}
	}
	w.Kill(names...)
	w.Pass(time.Second)
	if err := w.Start(names...); err != nil {
		return err
	}
	w.note("back", "", 0, "")
	if _, ok := w.InForce(mark, 10*time.Second, w.Switchboards()...); !ok {
		return oops.Errorf("mark %d is not back", mark)
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
