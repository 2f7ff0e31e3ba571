package fleet

import (
	"fmt"
	"slices"
	"time"

	"github.com/samber/oops"
)

// trials lets the test fleet spoil core machines' disks.
func trials(w *World) error {
	for _, name := range w.Cores {
		w.SetArg(name, "-disk-trial", w.trial(name))
	}
	return nil
}

// disks fail while policies are written: none of them may be lost, and those
// acknowledged are in force in time.
func disks(w *World) error {
	for _, one := range []struct {
		name, words string
		lasts       time.Duration
	}{{"c1", "stall", 5 * time.Second}, {"c2", "slow 400", 6 * time.Second}, {"c3", "full", 6 * time.Second}, {"c1", "full", 4 * time.Second}} {
		if err := w.Disk(one.name, one.words); err != nil {
			return err
		}
		w.Pass(one.lasts / 2)
		if err := w.settles(); err != nil {
			return oops.Wrapf(err, "%s with a disk that is %s", one.name, one.words)
		}
		w.Pass(one.lasts / 2)
		if err := w.Disk(one.name, ""); err != nil {
			return err
		}
		w.Pass(2 * time.Second)
	}
	return nil
}

// settles writes a policy somewhere and waits until it is in force.
func (w *World) settles() error {
	var version int64
	if !w.Until(8*time.Second, func() bool {
		next, status, err := w.Write("l2", nil, -1)
		version = next
		return err == nil && status == 200
	}) {
		return oops.Errorf("no policy is taken")
	}
	return w.inForce(version)
}

// lossy has links lose and delay, then cuts one core machine off one way and
// the fronts of a zone the other.
func lossy(w *World) error {
	w.Lossy(4, 20)
	w.Pass(8 * time.Second)
	w.Heal()
	w.Pass(2 * time.Second)
	w.Cut(w.Cores[:1], w.Cores[1:], false)
	w.Pass(6 * time.Second)
	w.Heal()
	w.Pass(2 * time.Second)
	w.Cut(w.Cores, []string{"l1"}, false)
	w.Pass(5 * time.Second)
	w.Heal()
	w.Pass(time.Second)
	return w.settles()
}

// frozenFronts freezes both processes of a front, then only one, and kills a
// group of processes together.
func frozenFronts(w *World) error {
	for _, names := range [][]string{{"s1", "l1"}, {"l2"}, {"s2"}} {
		w.Freeze(names...)
		w.Pass(time.Second)
		if _, _, err := w.Write(fmt.Sprintf("l%d", w.Shape.Fronts), nil, -1); err != nil {
			return err
		}
		w.Pass(4 * time.Second)
		w.Thaw(names...)
		w.Pass(2 * time.Second)
	}
	group := []string{"c1", "l1", "s1", "l2", "s2", "w1"}
	w.Kill(group...)
	w.Pass(2 * time.Second)
	if err := w.Start(group...); err != nil {
		return err
	}
	w.Pass(2 * time.Second)
	return w.settles()
}

// directoryFails takes the platform's list away and gives wrong ones. No worker
// may be lost by it.
func directoryFails(w *World) error {
	w.Kill("directory")
	w.Pass(3 * time.Second)
	if err := w.Start("directory"); err != nil {
		return err
	}
	w.Pass(3 * time.Second)
	if err := w.List(); err != nil {
		return err
	}
	for _, mode := range []string{"empty", "malformed", "older", ""} {
		w.note("directory", mode, 0, "")
		if _, _, err := w.call("PUT", "http://"+w.directory+"/fault", []byte(`{"mode":"`+mode+`"}`)); err != nil {
			return err
		}
		w.Pass(2 * time.Second)
		var told struct {
			Workers []struct{ Name string }
		}
		if err := w.Ask("l1", "/v1/homes", &told); err != nil {
			return err
		}
		if len(told.Workers) != len(w.listed) {
			return oops.Errorf("with a list that is %s, %d of %d workers are known", mode, len(told.Workers), len(w.listed))
		}
	}
	return nil
}

// swapSeeds replaces the first three core machines, which are the seeds, one
// after the other by empty ones at new addresses; a front that knows only the
// new ones joins, and serves.
func swapSeeds(w *World) error {
	var fresh []string
	names := []string{}
	for at := range 3 {
		name := fmt.Sprintf("c%d", 11+at)
		w.Kill(w.Cores[at])
		if err := w.AddCore(name, 11+at, ""); err != nil {
			return err
		}
		if err := w.Start(name); err != nil {
			return err
		}
		fresh, names = append(fresh, w.addr(groupPublicCore, 11+at, 7100)), append(names, name)
		// Whoever joins from now on is told of the new machine, not the old one.
		w.seeds = slices.Clone(w.seeds)
		w.seeds[at] = fresh[at]
		if !w.Until(40*time.Second, func() bool { return w.voters(name, w.Shape.Cores, names...) }) {
			return oops.Errorf("%s is not seated", name)
		}
		w.Pass(2 * time.Second)
	}
	if err := w.settles(); err != nil {
		return err
	}
	number := w.Shape.Fronts + 1
	if err := w.AddFront(number, fresh); err != nil {
		return err
	}
	board, line := fmt.Sprintf("s%d", number), fmt.Sprintf("l%d", number)
	if err := w.Start(line, board); err != nil {
		return err
	}
	if !w.Until(8*time.Second, func() bool { return w.Version(board) > 0 }) {
		return oops.Errorf("a front that knows the new seeds only learns nothing")
	}
	return nil
}
