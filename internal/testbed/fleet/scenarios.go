package fleet

import (
	"time"

	"github.com/samber/oops"
)

// Scenario is one way that things go wrong, under traffic.
type Scenario struct {
	Name    string
	Help    string
	Seconds int64
	Run     func(w *World) error
	// Setup changes the world before anything runs; Before is done once it is
	// open and before clients come.
	Setup, Before func(w *World) error
	// Careful clients repeat only what certainly did not run.
	Careful bool
	// Cold clients ask for every model and adapter alike often.
	Cold bool
}

// Scenarios are all that testbed can bring about.
//
//	for _, scenario := range fleet.Scenarios() { ... }
func Scenarios() []Scenario {
	nothing := func(*World) error { return nil }
	return []Scenario{
		{Name: "calm", Help: "nothing goes wrong", Seconds: 20, Run: nothing},
		{Name: "opening", Help: "everyone comes at a moment that was announced", Seconds: 20, Run: nothing, Before: announce},
		{Name: "rare", Help: "everyone comes at once, unannounced, and asks for rare models all together", Seconds: 25, Run: nothing, Cold: true},
		{Name: "scarce", Help: "the same with a store at a sixth of its rate: most models cannot be up in time", Seconds: 40, Run: nothing, Cold: true, Before: scarce},
		{Name: "kill-core", Help: "a core machine is killed right after acknowledging, and comes back", Seconds: 25, Run: killCore},
		{Name: "lose-disk", Help: "a core machine comes back with an empty disk", Seconds: 35, Run: loseDisk},
		{Name: "replace-core", Help: "a core machine is replaced by an empty one at a new address", Seconds: 45, Run: replaceCore},
		{Name: "seeds", Help: "all three seed machines are replaced, and a front joins that knows the new ones only", Seconds: 110, Run: swapSeeds},
		{Name: "power", Help: "all our machines and the model workers lose power and come back", Seconds: 30, Run: power},
		{Name: "power-all", Help: "the applications and the platform's list lose power with them", Seconds: 30, Run: powerAll},
		{Name: "freeze-owner", Help: "an owner freezes for longer than its grant and wakes", Seconds: 30, Run: freezeOwner},
		{Name: "split", Help: "the core is split in two, then cut off wholly", Seconds: 35, Run: split},
		{Name: "disks", Help: "core machines' disks stall, slow down and fill up", Seconds: 45, Run: disks, Setup: trials},
		{Name: "links", Help: "links lose and delay, and are cut one way", Seconds: 40, Run: lossy},
		{Name: "workers", Help: "model workers are killed, go dark, and leave", Seconds: 30, Run: workers},
		{Name: "away", Help: "model workers are replaced one by one, and taken away in mid-stream", Seconds: 40, Run: away},
		{Name: "unwilling", Help: "model workers turn away or cut off most requests, and applications refuse connections", Seconds: 40, Run: unwilling},
		{Name: "fronts", Help: "fronts are killed, drained and restarted", Seconds: 30, Run: fronts},
		{Name: "frozen-fronts", Help: "fronts and agents freeze and wake, and a group of processes is killed", Seconds: 40, Run: frozenFronts},
		{Name: "apps", Help: "booking workers are killed and restarted", Seconds: 25, Run: apps},
		{Name: "keys", Help: "booking workers freeze in mid-call, are replaced, added and delisted, and a front is killed", Seconds: 45, Run: keys},
		{Name: "careful", Help: "the same with applications that know no keys, and callers who repeat only what did not run", Seconds: 45, Run: keys, Setup: keyless, Careful: true},
		{Name: "directory", Help: "the platform's list goes down, comes back empty, and answers malformed and older lists", Seconds: 30, Run: directoryFails},
		{Name: "rolling", Help: "every daemon is restarted by SIGTERM, one after the other", Seconds: 60, Run: rolling},
		{Name: "policies", Help: "an operator storms, and a very large set of routes is written", Seconds: 25, Run: policies},
		{Name: "rollout", Help: "a policy that breaks a service is rolled out by zone and halted, then one that is well, while a core machine dies", Seconds: 45, Run: rollOut},
		{Name: "race", Help: "two operators race at different nodes while core machines are killed", Seconds: 30, Run: race},
		{Name: "doctor", Help: "each fault that the doctor knows, one after the other", Seconds: 1, Run: (*World).Ail, Setup: ails},
		{Name: "long", Help: "many breakdowns in turn, and then all machines lose power", Seconds: 150, Run: long},
		{Name: "random", Help: "breakdowns drawn from -seed, and then one last fault", Seconds: 60, Run: random, Setup: trials},
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
	var version int64
	if !w.Until(10*time.Second, func() bool {
		var status int
		var err error
		version, status, err = w.Write("l1", nil, -1)
		return err == nil && status == 200
	}) {
		return oops.Errorf("no policy is taken: %s", w.ReadLog("l1"))
	}
	if took, ok := w.InForce(version, 5*time.Second, w.Proxies()...); !ok {
		return oops.Errorf("the policy is in force only at %v", took)
	}
	return nil
}

// Play opens a world, brings a scenario about under traffic, and returns what
// was seen.
//
//	seen, err := world.Play(scenario, 1)
func (w *World) Play(scenario Scenario, factor float64) (*Records, error) {
	if scenario.Setup != nil {
		if err := scenario.Setup(w); err != nil {
			return nil, err
		}
	}
	if err := w.Open(); err != nil {
		return nil, err
	}
	stopWatch := w.Watch()
	if scenario.Before != nil {
		if err := scenario.Before(w); err != nil {
			return nil, oops.Wrapf(err, "before %s", scenario.Name)
		}
	}
	wait, err := w.Clients(scenario, factor)
	if err != nil {
		return nil, err
	}
	w.Pass(5 * time.Second)
	if err = scenario.Run(w); err != nil {
		return nil, oops.Wrapf(err, "%s", scenario.Name)
	}
	if !wait() {
		return nil, oops.Errorf("the callers do not end")
	}
	watched := stopWatch()
	seen, err := w.Records()
	if seen != nil {
		seen.Watched = watched
	}
	return seen, err
}
