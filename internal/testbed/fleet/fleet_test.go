package fleet

import (
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"applequay/internal/testbed/freenet"

	"applequay/internal/controlplane/controller"
	"applequay/internal/controlplane/journal"
	"applequay/internal/transport/wire"
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
	shape.Net, shape.LateMs = claim(c), 20000 // CI judges no speed
	w, err := New(shape, c.TempDir(), bin)
	c.Assert(err, qt.IsNil)
	defer w.Close()
	seen, err := w.Play(Scenario{Name: "several", Seconds: 14, Run: func(w *World) error {
		version, failed := w.acknowledged("c1")
		if failed != nil {
			return failed
		}
		w.Kill("c1")
		if _, ok := w.InForce(version, 20*time.Second, w.Proxies()...); !ok {
			c.Errorf("mark %d is not in force everywhere", version)
		}
		if failed = w.Leave("w1", true); failed != nil {
			return failed
		}
		w.Kill("s1", "l1")
		return w.Start("l1", "s1", "c1")
	}}, 1)
	c.Assert(err, qt.IsNil)
	c.Check(Breaches(shape, seen), qt.HasLen, 0)
	figures := Sum(seen, 0, 0)
	c.Check(figures.Whole > 20, qt.IsTrue, qt.Commentf("%v", figures))
	operators(c, w)
	c.Check(w.Stop(20*time.Second, "s1", "s2", "l1", "l2", "c1", "c2", "c3"), qt.IsTrue, qt.Commentf("all end at SIGTERM"))
}

// claim keeps loopback addresses for a test, so that two runs on one machine do
// not meet.
func claim(c *qt.C) int {
	net, release, err := freenet.Claim()
	c.Assert(err, qt.IsNil)
	c.Cleanup(release)
	return net
}

// The doctor, asked at a front of a running fleet, finds each fault that it
// knows while it is there; applequayctl tells programs by its exit status.
func TestDoctorOnFleet(t *testing.T) {
	c := qt.New(t)
	bin := build(c)
	shape := Small()
	shape.Net = claim(c)
	w, err := New(shape, c.TempDir(), bin)
	c.Assert(err, qt.IsNil)
	defer w.Close()
	c.Assert(ails(w), qt.IsNil)
	c.Assert(w.Open(), qt.IsNil)
	var said []byte
	doctor := func() int {
		var failed error
		said, failed = exec.Command(filepath.Join(bin, "applequayctl"), "-nodes", "127.0.0.1:1,"+w.Node("l1"), "doctor", "-json").CombinedOutput()
		if ended, ok := failed.(*exec.ExitError); ok {
			return ended.ExitCode()
		}
		return 0
	}
	c.Check(doctor(), qt.Equals, 1, qt.Commentf("the pool nowhere has no server"))
	c.Assert(w.Ail(), qt.IsNil)
	c.Assert(w.Until(30*time.Second, func() bool {
		_, status, err := w.SetPolicy("l1", shape.Policy(nil), -1)
		return err == nil && status == 200
	}), qt.IsTrue)
	// The clock that jumped is remembered by its process.
	c.Assert(w.Stop(20*time.Second, "l2"), qt.IsTrue)
	c.Assert(w.Clock("l2", 0), qt.IsNil)
	c.Assert(w.Start("l2"), qt.IsNil)
	c.Check(w.Until(30*time.Second, func() bool { return doctor() == 0 }), qt.IsTrue, qt.Commentf("all is mended, but the doctor said %s", said))
}

// Bookings while servers freeze, are replaced, added, marked, delisted and
// moved, and a front is killed; then the platform's list breaks down.
func TestKeysOnFleet(t *testing.T) {
	c := qt.New(t)
	bin, net := build(c), claim(c)
	for _, name := range []string{"careful", "directory"} {
		scenario := Scenarios()[slices.IndexFunc(Scenarios(), func(s Scenario) bool { return s.Name == name })]
		shape := Small()
		shape.Net, shape.LateMs = net, 20000
		w, err := New(shape, c.TempDir(), bin)
		c.Assert(err, qt.IsNil)
		seen, err := w.Play(scenario, 1)
		w.Close()
		c.Assert(err, qt.IsNil)
		c.Check(Breaches(shape, seen), qt.HasLen, 0)
		c.Check(Sum(seen.of("book"), 0, 0).Whole > 20, qt.IsTrue)
	}
}

// operators checks what every kind of bad input is answered with, at a front
// and at a core machine alike, and that none of it changes the policy.
func operators(c *qt.C, w *World) {
	var before struct{ Mark int64 }
	c.Assert(w.Ask("l1", "/v1/policy", &before), qt.IsNil)
	cases := []struct {
		method, path, body string
		status             int
		says               string
	}{
		{"PUT", "/v1/policy", `{"kinds":`, 400, "is not JSON"},
		{"PUT", "/v1/policy", `{"kinds":[{"name":"a","weight":"x"}],"colour":1}`, 422, "kinds[0].weight"},
		{"PUT", "/v1/policy?form=objects", "apiVersion: applequay/v1\nkind: Pod\nmetadata: {name: x}\nspec: {}", 422, "objects[0].kind"},
		{"PUT", "/v1/policy", `{"models":[{"name":"huge","pool":"llm","size_mb":9999999}]}`, 422, "items.huge"},
		{"PUT", "/v1/policy?expected=0", `{}`, 409, `"mark"`},
		{"PUT", "/v1/policy?expected=soon", `{}`, 400, "expected"},
		{"PUT", "/v1/policy", strings.Repeat(" ", 33<<20), 413, "too large"},
		{"PATCH", "/v1/policy", `{"kinds":[{"name":"none","remove":true}],"hue":2}`, 422, "hue"},
		{"GET", "/v1/nothing", "", 404, ""},
	}
	for _, node := range []string{"l2", "c2"} {
		for _, one := range cases {
			status, told, err := w.call(one.method, "http://"+w.Node(node)+one.path, []byte(one.body))
			c.Assert(err, qt.IsNil)
			c.Check(status, qt.Equals, one.status, qt.Commentf("%s %s at %s: %s", one.method, one.path, node, told))
			c.Check(string(told), qt.Contains, one.says)
		}
	}
	var after struct{ Mark int64 }
	c.Assert(w.Ask("c3", "/v1/policy", &after), qt.IsNil)
	c.Check(after.Mark, qt.Equals, before.Mark, qt.Commentf("nothing was applied"))
	// Without a majority: refused, saying that it was not applied or may have been.
	w.Kill("c1", "c2")
	status, told, err := w.call("PUT", "http://"+w.Node("l1")+"/v1/policy", w.Shape.Policy(nil))
	c.Assert(err, qt.IsNil)
	c.Check(status, qt.Equals, 503)
	c.Check(string(told), qt.Contains, `"applied"`)
	c.Assert(w.Start("c1", "c2"), qt.IsNil)
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
	code, said := status("controller", "-name", "c1", "-lease-ms", "5")
	c.Check(code, qt.Equals, 2)
	c.Check(said, qt.Contains, "lease-ms")
	c.Check(said, qt.Contains, "zone")
	folder, err := journal.OpenFolder(filepath.Join(c.TempDir(), "data"), 0)
	c.Assert(err, qt.IsNil)
	kept, _, err := journal.Open(folder, "c1~1", controller.EmptySnapshot())
	c.Assert(err, qt.IsNil)
	for range 3 {
		c.Assert(kept.Append([]wire.Write{{Kind: wire.KindAcceptorRecord, Body: wire.Encode(&wire.AcceptorRecord{Key: "policy"})}}), qt.IsNil)
	}
	c.Assert(folder.Write("log.1", 60, []byte{0xff}), qt.IsNil)
	code, said = status("controller", "-name", "c1", "-zone", "z", "-listen", "127.30.9.1:7100", "-directory", "127.30.9.1:7900", "-data", folder.Dir())
	c.Check(code, qt.Equals, 3)
	c.Check(said, qt.Contains, "damaged")
	code, _ = status("applequayctl", "-nodes", "127.0.0.1:1", "policy", "get")
	c.Check(code, qt.Equals, 2)
}
