package fleet

import (
	"fmt"
	"time"

	"github.com/samber/oops"
)

// keys brings about all that may make a booking run twice.
func keys(w *World) error {
	first, second, third := "b1", "b2", "b3"
	// A server freezes in the middle of calls.
	w.Freeze(first)
	w.Pass(2500 * time.Millisecond)
	w.Thaw(first)
	// Another freezes too, is replaced meanwhile, and then wakes to what it had
	// been sent; a front that has sent to it is killed.
	fresh := w.Shape.Apps + 1
	w.Freeze(second)
	w.Pass(time.Second)
	w.AddWorker(fresh, true)
	if err := w.Start(fmt.Sprintf("b%d", fresh)); err != nil {
		return err
	}
	if err := w.Unlist(second); err != nil {
		return err
	}
	w.Pass(700 * time.Millisecond)
	w.Kill("s1", "l1")
	w.Pass(500 * time.Millisecond)
	if err := w.Start("l1", "s1"); err != nil {
		return err
	}
	w.Pass(4 * time.Second)
	w.Thaw(second)
	w.Pass(3 * time.Second)
	w.Kill(second)
	// One is added, another marked as leaving and then gone.
	w.AddWorker(fresh+1, true)
	if err := w.Start(fmt.Sprintf("b%d", fresh+1)); err != nil {
		return err
	}
	if err := w.List(); err != nil {
		return err
	}
	w.Pass(3 * time.Second)
	if err := w.Leave(first, true); err != nil {
		return err
	}
	w.Pass(3 * time.Second)
	if err := w.Unlist(first); err != nil {
		return err
	}
	w.Kill(first)
	return breakOff(w, third)
}

// breakOff has a server's answers break off in the middle; then its name comes
// back at another address.
func breakOff(w *World, third string) error {
	if err := w.again(third, "-cut-percent", "30"); err != nil {
		return err
	}
	w.Pass(5 * time.Second)
	w.Kill(third)
	w.SetArg(third, "-cut-percent", "0")
	// The same name at another address, with the first one's memory.
	if err := w.Move(third, 40); err != nil {
		return err
	}
	return w.Start(third)
}

// again restarts a process with another setting.
func (w *World) again(name, flag, value string) error {
	w.Kill(name)
	w.SetArg(name, flag, value)
	return w.Start(name)
}

// keyless makes all applications carry out whatever comes, those too that are
// added later.
func keyless(w *World) error {
	w.appArgs = []string{"-keyless"}
	for at := range w.Shape.Apps {
		p := w.procs[fmt.Sprintf("b%d", at+1)]
		p.args = append(p.args, w.appArgs...)
	}
	return nil
}

// unwilling has all model workers turn away or cut off most requests, and an
// application that refuses connections while it is still listed.
func unwilling(w *World) error {
	for at := range w.Shape.Workers {
		name := fmt.Sprintf("w%d", at+1)
		w.SetArg(name, "-turn-percent", "50")
		if err := w.again(name, "-reset-percent", "20"); err != nil {
			return err
		}
	}
	w.Kill("b1")
	w.Pass(15 * time.Second)
	for at := range w.Shape.Workers {
		name := fmt.Sprintf("w%d", at+1)
		w.SetArg(name, "-turn-percent", "0")
		if err := w.again(name, "-reset-percent", "0"); err != nil {
			return err
		}
	}
	return w.Start("b1")
}

// away replaces model workers one by one, and takes one away unannounced.
func away(w *World) error {
	for at := 1; at <= 3; at++ {
		old, fresh := fmt.Sprintf("w%d", at), fmt.Sprintf("w%d", w.Shape.Workers+at)
		w.AddWorker(w.Shape.Workers+at, false)
		if err := w.Start(fresh); err != nil {
			return err
		}
		if err := w.Leave(old, true); err != nil {
			return err
		}
		w.Pass(4 * time.Second)
		if err := w.Unlist(old); err != nil {
			return err
		}
		w.Kill(old)
		w.Pass(2 * time.Second)
	}
	if err := w.Unlist("w4"); err != nil {
		return err
	}
	w.Kill("w4")
	return nil
}

// scarce gives the store a sixth of its rate.
func scarce(w *World) error {
	_, status, err := w.Write("l1", object{"store": object{"mb_per_s": w.Shape.StoreMbPerS / 6, "turns": w.Shape.Turns}}, -1)
	if err != nil || status != 200 {
		return oops.Wrapf(err, "the policy was answered with %d", status)
	}
	return nil
}
