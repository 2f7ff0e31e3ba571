package fleet

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// build makes the programs of this very tree.
func build(c *qt.C) string {
	bin := c.TempDir()
	out, err := exec.Command("go", "build", "-o", bin+"/", "applequay/cmd/...").CombinedOutput()
	c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	return bin
}

// A small fleet of real processes: the whole path, then a core machine killed
// right after it acknowledged, a front killed, and a worker leaving.
func TestSmallFleet(t *testing.T) {
	c := qt.New(t)
	bin := build(c)
	shape := Small()
	w, err := New(shape, c.TempDir(), bin)
	c.Assert(err, qt.IsNil)
	defer w.Close()
	seen, err := w.Play(Scenario{Name: "several", Seconds: 14, Run: func(w *World) error {
		mark, err := w.acknowledged("c1")
		if err != nil {
			return err
		}
		w.Kill("c1")
		if _, ok := w.InForce(mark, 20*time.Second, w.Switchboards()...); !ok {
			c.Errorf("mark %d is not in force everywhere", mark)
		}
		if err := w.Leave("w1", true); err != nil {
			return err
		}
		w.Kill("s1", "l1")
		return w.Start("l1", "s1", "c1")
	}}, 1)
	c.Assert(err, qt.IsNil)
	c.Check(Breaches(shape, seen), qt.HasLen, 0)
	figures := Sum(seen, 0, 0)
	c.Check(figures.Whole > 20, qt.IsTrue, qt.Commentf("%v", figures))
	c.Check(w.Stop(20*time.Second, "s1", "s2", "l1", "l2", "c1", "c2", "c3"), qt.IsTrue, qt.Commentf("all end at SIGTERM"))
}

// What bad settings and damaged journals end with.
func TestExitStatus(t *testing.T) {
	c := qt.New(t)
	bin := build(c)
	status := func(args ...string) (int, string) {
		out, err := exec.Command(filepath.Join(bin, args[0]), args[1:]...).CombinedOutput()
		if ended, ok := err.(*exec.ExitError); ok {
			return ended.ExitCode(), string(out)
		}
		return 0, string(out)
	}
	code, said := status("exchange", "-name", "c1", "-lease-ms", "5")
	c.Check(code, qt.Equals, 2)
	c.Check(said, qt.Contains, "lease-ms")
	c.Check(said, qt.Contains, "zone")
	code, _ = status("dial", "-nodes", "127.0.0.1:1", "policy", "get")
	c.Check(code, qt.Equals, 2)
}
