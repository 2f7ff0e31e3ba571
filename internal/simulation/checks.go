package simulation

import (
	"fmt"

	"applequay/internal/controlplane/register"
)

// CheckRegister checks that the operators' calls are those of one compare-and-set
// register, taken one after the other. Every value has its own name, so it is
// enough that each version has one writer, that what is read was written, that no
// call sees a version older than one known before it began, and that a write that
// was refused is never seen.
//
//	breaches := simulation.CheckRegister(ops)
func CheckRegister(ops []*Op) []string {
	check := &registerCheck{byVersion: map[int64]string{}, writes: map[string][]*Op{}}
	for _, op := range ops {
		if op.Kind == "set" {
			check.writes[op.Name] = append(check.writes[op.Name], op)
		}
	}
	for _, op := range ops {
		if !op.Answered || op.Fate == register.FateNone || op.Fate == register.FateUnknown {
			continue
		}
		check.answer(op)
		if op.Kind == "set" && op.Next > 0 && op.Fate == register.FateDone {
			// It may have been sent before, and told of what it made then.
			continue
		}
		check.notBefore(op, ops)
	}
	return check.breaches
}

// registerCheck is what CheckRegister gathers: the writer of each version, the
// sendings of each write, and what was breached.
type registerCheck struct {
	byVersion map[int64]string
	writes    map[string][]*Op
	breaches  []string
}

func (check *registerCheck) breach(format string, args ...any) {
	check.breaches = append(check.breaches, fmt.Sprintf(format, args...))
}

// answer checks what one call was told.
func (check *registerCheck) answer(op *Op) {
	switch {
	case op.Kind == "set" && op.Fate == register.FateDone:
		check.see(op, op.Version, op.Name)
	case op.Kind == "set" && op.Expected == op.Version:
		check.breach("%s was called stale at the mark %d that it expected", op.Name, op.Version)
	default:
		check.see(op, op.Version, op.Found)
	}
}

// see checks that a version that was seen is the one write's that it can be.
func (check *registerCheck) see(op *Op, version int64, name string) {
	if version == 0 || name == "" {
		return
	}
	if old, ok := check.byVersion[version]; ok && old != name {
		check.breach("mark %d was seen as %s and as %s", version, old, name)
	}
	check.byVersion[version] = name
	sent := check.writes[name]
	if len(sent) == 0 {
		check.breach("mark %d: nobody wrote %s", version, name)
		return
	}
	write, done := sent[0], false
	for _, one := range sent {
		done = done || !one.Answered || one.Fate != register.FateNone
		if one.Answered && one.Fate == register.FateStale {
			check.breach("mark %d: %s was refused and is there all the same", version, name)
		}
	}
	switch {
	case write.Began > op.Ended:
		check.breach("mark %d: %s was seen before it was written", version, name)
	case !done:
		check.breach("mark %d: %s came to nothing and is there all the same", version, name)
	case write.Next == 0 && write.Expected >= 0 && write.Expected != version-1:
		check.breach("mark %d: %s expected %d", version, name, write.Expected)
	case write.Next > 0 && write.Next != version:
		check.breach("mark %d: %s was to be %d", version, name, write.Next)
	}
}

// notBefore checks a call against all that ended before it began.
func (check *registerCheck) notBefore(op *Op, ops []*Op) {
	for _, before := range ops {
		known := before.Answered && (before.Fate == register.FateDone || before.Fate == register.FateStale)
		if known && before.Ended < op.Began && op.Version < before.Version {
			check.breach("a call that began at %d saw mark %d, after mark %d was known at %d", op.Began, op.Version, before.Version, before.Ended)
		}
		if known && before != op && before.Ended < op.Began && op.Kind == "set" && op.Fate == register.FateDone && op.Version <= before.Version {
			check.breach("%s got mark %d, after mark %d was known", op.Name, op.Version, before.Version)
		}
	}
}

// CheckForce checks that no front's version falls, over its restarts too, and an acknowledged policy
// is in effect at every connected front within the time allowed. Calm says
// whether nothing hindered a front from a moment on.
//
//	breaches := simulation.CheckForce(ops, force, fronts, 2000, calm)
func CheckForce(ops []*Op, force []InForce, fronts []string, withinMs int64, calm func(front string, from, to int64) bool) []string {
	var breaches []string
	last := map[string]InForce{}
	for _, one := range force {
		if old, ok := last[one.Front]; ok && (one.Version < old.Version || (old.Life == one.Life && one.Version == old.Version)) {
			breaches = append(breaches, fmt.Sprintf("%d: %s went from mark %d to %d", one.At, one.Front, old.Version, one.Version))
		}
		last[one.Front] = one
	}
	for _, op := range ops {
		if op.Kind != "set" || !op.Answered || op.Fate != register.FateDone {
			continue
		}
		for _, front := range fronts {
			if !calm(front, op.Ended, op.Ended+withinMs) {
				continue
			}
			taken := false
			for _, one := range force {
				taken = taken || (one.Front == front && one.Version >= op.Version && one.At <= op.Ended+withinMs)
			}
			if !taken {
				breaches = append(breaches, fmt.Sprintf("%d: mark %d is not in effect at %s %d ms after it was acknowledged", op.Ended, op.Version, front, withinMs))
			}
		}
	}
	return breaches
}

// CheckLeaving checks that a worker that is leaving gets no new orders once the time is up.
//
//	breaches := world.CheckLeaving(3000)
func (w *World) CheckLeaving(withinMs int64) []string {
	var breaches []string
	for _, one := range w.facts.orders {
		var since int64 = -1
		for _, change := range w.facts.leaving[one.Worker] {
			if change.at <= one.At {
				since = -1
				if change.leaving {
					since = change.at
				}
			}
		}
		if since >= 0 && one.Op == "load" && one.At > since+withinMs {
			breaches = append(breaches, fmt.Sprintf("%d: %s, leaving since %d, was told to load %s", one.At, one.Worker, since, one.Item))
		}
	}
	return breaches
}

// Breaches runs every checker over what the world's workers, fronts and
// operators saw.
//
//	if breaches := world.Breaches(); len(breaches) > 0 { ... }
func (w *World) Breaches() []string {
	var out []string
	out = append(out, CheckOwners(w.facts.orders, 3000)...)
	out = append(out, CheckRoom(w.facts.orders)...)
	for _, window := range []int64{1000, 3000, 5000} {
		out = append(out, CheckRate(w.facts.loads, w.Shape.StoreMbPerS, window)...)
	}
	out = append(out, CheckRegister(w.facts.ops)...)
	out = append(out, w.CheckHistory()...)
	out = append(out, CheckForce(w.facts.ops, w.facts.force, nil, 2000, nil)...)
	return append(out, w.CheckLeaving(3000)...)
}

// Waits sums up how long requests were held from a moment on: how many were
// served, how many still wait, and since when the oldest does.
//
//	served, waiting, oldestMs := world.Waits(60000)
func (w *World) Waits(from int64) (taken []int64, waiting int, oldestMs int64) {
	for _, one := range w.facts.waits {
		if one.at >= from {
			taken = append(taken, one.took)
		}
	}
	for _, f := range w.fronts {
		for _, since := range f.waiting {
			waiting++
			oldestMs = max(oldestMs, w.NowMs-since)
		}
	}
	return taken, waiting, oldestMs
}
