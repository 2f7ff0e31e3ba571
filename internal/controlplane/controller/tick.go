package controller

import (
	"fmt"

	"applequay/internal/controlplane/register"
	"applequay/internal/transport/wire"
)

// Tick does all that time brings. WallMs is the clock on the wall, used only
// for the moments of openings.
//
//	out := core.Tick(now, time.Now().UnixMilli())
func (f *Controller) Tick(now, wallMs int64) wire.Outputs {
	var out wire.Outputs
	f.members.Clock(now, wallMs)
	f.view.WallMs = f.members.Wall(now)
	f.foundTick(now, &out)
	f.members.Tell(f.sums())
	out.Add(f.members.Tick(now))
	f.peersTick(now, &out)
	out.Add(f.proposer.Tick(now))
	f.readRepairTick(now, &out)
	f.coordinatorTick(now, &out)
	f.ownersTick(now, &out)
	f.movesTick(now, &out)
	f.newsTick(now, &out)
	f.talliesTick(now, &out)
	f.confirmTick(now, &out)
	f.recallTick(now, &out)
	f.platformTick(now, &out)
	f.rolloutTick(now, &out)
	if f.due(now, "owned", f.boot.ProbeMs) {
		f.members.Set("owned", f.ownedFact(now))
	}
	return f.settle(now, out)
}

// due tells whether a timer has run out, and starts it anew.
func (f *Controller) due(now int64, name string, everyMs int64) bool {
	if last, ok := f.timers[name]; ok && now-last < everyMs {
		return false
	}
	f.timers[name] = now
	return true
}

// newsTick fetches from another controller what this one missed.
func (f *Controller) newsTick(now int64, out *wire.Outputs) {
	voters := f.proposer.Core().Voters
	if len(voters) < 2 || !f.due(now, "news", f.often(now, f.boot.LeaseMs/4)) {
		return
	}
	if voter := voters[f.random.Intn(len(voters))]; voter.ID != f.boot.ID {
		out.Send(voter.ID, wire.KindSubscribe, f.board.Asks(""))
	}
}

// Platform takes the platform's worker list, read when the list kept had the
// version given; a change since then makes the write stale.
//
//	out := core.Platform(now, 4, list)
func (f *Controller) Platform(now, version int64, list *wire.WorkerList) wire.Outputs {
	var out wire.Outputs
	if !f.believed(list) {
		return out
	}
	f.heed(list)
	if version != f.versions[DirectoryKey] || sameWorkers(list, &f.listed) {
		return out
	}
	withRosters(list, &f.listed, version, f.members.Wall(now))
	body := wire.Encode(list)
	call := f.then(func(now int64, outcome register.Outcome) wire.Outputs {
		var done wire.Outputs
		if outcome.Has {
			f.learn(now, &done, DirectoryKey, outcome.Value)
		}
		return done
	})
	out.Add(f.proposer.Change(now, call, DirectoryKey, version, 0, body, f.writeName()))
	return f.settle(now, out)
}

// heed stops orders to workers that are leaving as soon as this node reads so;
// it does not wait for the register, which slow disks may hold up, and a list
// that was read before and written later does not undo it.
func (f *Controller) heed(list *wire.WorkerList) {
	f.leavers = map[string]bool{}
	for _, worker := range list.Workers {
		f.leavers[worker.Name] = worker.Leaving
	}
	f.viewWorkers()
}

// viewWorkers shows the partitions the list kept in the register, and what was
// read since of workers that leave.
func (f *Controller) viewWorkers() {
	next := map[string]wire.Worker{}
	for _, worker := range f.listed.Workers {
		worker.Leaving = worker.Leaving || f.leavers[worker.Name]
		next[worker.Name] = worker
	}
	f.view.Workers = next
}

func (f *Controller) writeName() string { return fmt.Sprintf("%s#%x", f.boot.ID, f.random.Int63()) }

// Change runs an operator's compare-and-set; the outcome answers the call.
//
//	out := core.Change(now, call, register.Write{Key: controller.PolicyKey, Expected: 7, Body: body})
func (f *Controller) Change(now, call int64, asked register.Write) wire.Outputs {
	if !f.members.Majority(f.proposer.Core().Voters) {
		return register.Hopeless(call, asked.Key)
	}
	if asked.Name == "" {
		asked.Name = f.writeName()
	}
	return f.settle(now, f.proposer.Write(now, call, asked))
}

// Read runs a read at a majority; the outcome answers the call.
//
//	out := core.Read(now, call, controller.PolicyKey)
func (f *Controller) Read(now, call int64, key string) wire.Outputs {
	if !f.members.Majority(f.proposer.Core().Voters) {
		return register.Hopeless(call, key)
	}
	ballot, held := f.acceptor.Accepted(key)
	return f.settle(now, f.proposer.Read(now, call, key, ballot, held))
}

// Learnt tells this machine what an operator's call found, at once.
//
//	out := core.Learnt(now, controller.PolicyKey, value)
func (f *Controller) Learnt(now int64, key string, value wire.Value) wire.Outputs {
	var out wire.Outputs
	f.learn(now, &out, key, value)
	return out
}

// StallMs is how long a batch may take to become durable before this node lets
// its grants go.
//
//	if now-began > core.StallMs() { ... }
func (f *Controller) StallMs() int64 { return f.boot.LeaseMs / 2 }

// Stall lets all grants go while the journal is stalled.
//
//	out := core.Stall(now, true)
func (f *Controller) Stall(_ int64, stalled bool) wire.Outputs {
	var out wire.Outputs
	f.stalled = stalled
	if stalled {
		f.release(&out)
	}
	return out
}

func (f *Controller) release(out *wire.Outputs) {
	var numbers []int64
	for number := range f.boot.Partitions {
		if f.holder.Claims(number) {
			numbers = append(numbers, number)
		}
		f.letGo(number)
	}
	f.giveBack(out, numbers...)
}
