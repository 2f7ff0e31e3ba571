package fleet

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/samber/oops"

	"applequay/internal/controlplane/adminapi"
	"applequay/internal/controlplane/orders"
)

// Findings asks a node's doctor.
//
//	findings, err := world.Findings("l1")
func (w *World) Findings(at string) ([]adminapi.Finding, error) {
	var told struct{ Findings []adminapi.Finding }
	err := w.Ask(at, "/v1/doctor", &told)
	return told.Findings, err
}

func (w *World) clockTrial(name string) string { return filepath.Join(w.Dir, "clock-"+name) }

// Clock sets a node's clock off by some milliseconds.
//
//	err := world.Clock("l2", 3600000)
func (w *World) Clock(name string, offMs int64) error {
	w.note("clock", name, offMs, "")
	return os.WriteFile(w.clockTrial(name), []byte(fmt.Sprint(offMs)), 0o644)
}

// ailment is a fault brought about on a running fleet, with what the doctor is
// to find and where; mend undoes it.
type ailment struct {
	what, where string
	cause, mend func() error
}

func (w *World) ailments() []ailment {
	fine := func() error { return nil }
	done := func(steps ...func()) func() error {
		return func() error {
			for _, step := range steps {
				step()
			}
			return nil
		}
	}
	opening := object{"name": "rush", "at": time.Now().Add(time.Minute).UTC().Format(time.RFC3339), "models": []string{"m1", "m2", "m3"}, "lead_ms": 50}
	rooms := func(mb int64) func() error {
		return func() error {
			for at := range w.Shape.Workers {
				w.relist(fmt.Sprintf("w%d", at+1), func(one *orders.Listed) bool {
					one.RoomMb = mb
					return true
				})
			}
			return w.List()
		}
	}
	others := append(slices.Clone(w.Cores), "l1")
	return []ailment{
		{"a clock jumped", "l2", func() error { return w.Clock("l2", 3600000) }, fine},
		{"settings disagree", "all nodes", func() error { return w.again("l2", "-partitions", "11") }, func() error { return w.again("l2", "-partitions", "12") }},
		{"an opening cannot be ready in time", "rush", func() error {
			_, _, err := w.Write("l1", object{"openings": []object{opening}}, -1)
			return err
		}, func() error {
			_, _, err := w.Write("l1", nil, -1)
			return err
		}},
		{"a service has no standing server", "since", fine, fine},
		{"a model fits nowhere", "items.m7", rooms(600), rooms(w.Shape.RoomMb)},
		{"the platform's worker list cannot be used", w.Cores[0], done(func() { w.Kill("directory") }), func() error {
			if err := w.Start("directory"); err != nil {
				return err
			}
			w.Until(5*time.Second, func() bool { return w.List() == nil })
			return nil
		}},
		{"a disk is slow", "c2", func() error { return w.Disk("c2", "slow 400") }, func() error { return w.Disk("c2", "") }},
		{"a disk is nearly full", "c3", func() error { return w.Disk("c3", "full") }, func() error { return w.Disk("c3", "") }},
		{"a front is behind", "l2", func() error {
			w.Cut(others, []string{"l2"}, false)
			_, _, err := w.Write("l1", nil, -1)
			return err
		}, done(w.Heal)},
		{"a change of the core set is under way", "core", func() error {
			for _, name := range []string{"c1", "c3"} {
				if err := w.Disk(name, "slow 500"); err != nil {
					return err
				}
			}
			w.Kill("c2")
			if err := w.Wipe("c2"); err != nil {
				return err
			}
			return w.Start("c2")
		}, func() error {
			_ = w.Disk("c1", "")
			if err := w.Disk("c3", ""); err != nil {
				return err
			}
			if !w.Until(40*time.Second, func() bool { return w.voters("c1", w.Shape.Cores, "c2") }) {
				return oops.Errorf("the core set does not settle")
			}
			return nil
		}},
		{"a seed cannot be reached", w.seeds[0], done(func() { w.Kill("c1") }), fine},
		{"a core set member is absent", "c1", fine, fine},
		{"the core has no majority", "core", done(func() { w.Kill("c2") }), fine},
		{"partitions have no owner", "", fine, func() error { return w.Start("c1", "c2") }},
	}
}

// Ail brings every ailment about in turn on a world that is open, and checks
// that the doctor, asked at a front, finds it, and no longer once it is mended.
//
//	err := world.Ail()
func (w *World) Ail() error {
	for _, one := range w.ailments() {
		finds := func() bool {
			findings, err := w.Findings("l1")
			return err == nil && slices.ContainsFunc(findings, func(f adminapi.Finding) bool {
				return f.What == one.what && strings.HasPrefix(f.Where, one.where) && f.Evidence != "" && f.Do != ""
			})
		}
		if err := one.cause(); err != nil {
			return oops.Wrapf(err, "%s", one.what)
		}
		if !w.Until(30*time.Second, finds) {
			findings, _ := w.Findings("l1")
			return oops.Errorf("the doctor does not find %q at %q but %+v", one.what, one.where, findings)
		}
		if err := one.mend(); err != nil {
			return oops.Wrapf(err, "mending %s", one.what)
		}
	}
	return nil
}

// ails lets the fleet spoil disks and clocks.
func ails(w *World) error {
	for at := range w.Shape.Fronts {
		name := fmt.Sprintf("l%d", at+1)
		w.SetArg(name, "-clock-trial", w.clockTrial(name))
	}
	return trials(w)
}
