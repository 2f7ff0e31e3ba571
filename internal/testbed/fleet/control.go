package fleet

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/samber/oops"
)

// Until waits until something holds, looking often; false if it never did.
//
//	ok := world.Until(10*time.Second, func() bool { return world.Versions() >= 1 })
func (w *World) Until(wait time.Duration, holds func() bool) bool {
	ends := time.NewTimer(wait)
	defer ends.Stop()
	look := time.NewTicker(50 * time.Millisecond)
	defer look.Stop()
	for !holds() {
		select {
		case <-ends.C:
			return holds()
		case <-look.C:
		}
	}
	return true
}

// Pass lets time go by.
//
//	world.Pass(5 * time.Second)
func (w *World) Pass(wait time.Duration) { <-time.After(wait) }

// Freeze stops processes as they stand; Thaw lets them go on.
//
//	world.Freeze("c1")
func (w *World) Freeze(names ...string) {
	for _, name := range names {
		w.note("freeze", name, 0, "")
		w.procs[name].signal(syscall.SIGSTOP)
	}
}

// Thaw lets frozen processes go on.
//
//	world.Thaw("c1")
func (w *World) Thaw(names ...string) {
	for _, name := range names {
		w.note("thaw", name, 0, "")
		w.procs[name].signal(syscall.SIGCONT)
	}
}

// Stop ends processes by SIGTERM; it tells whether all ended in time.
//
//	ok := world.Stop(15*time.Second, "s1", "l1")
func (w *World) Stop(wait time.Duration, names ...string) bool {
	all := true
	for _, name := range names {
		w.note("stop", name, 0, "")
		all = w.procs[name].stop(wait) && all
	}
	return all
}

// Wipe removes a core machine's data folder; it must not be running.
//
//	err := world.Wipe("c1")
func (w *World) Wipe(name string) error {
	w.note("wipe", name, 0, "")
	return os.RemoveAll(filepath.Join(w.Dir, "data-"+name))
}

func (w *World) trial(name string) string { return filepath.Join(w.Dir, "trial-"+name) }

// Disk makes a core machine's disk behave badly: full, stall or slow with
// milliseconds; no words make it well again.
//
//	err := world.Disk("c1", "slow 300")
func (w *World) Disk(name, words string) error {
	w.note("disk", name, 0, words)
	return os.WriteFile(w.trial(name), []byte(words), 0o644)
}

// hosts are a node's own and public host.
func (w *World) host(name string) string {
	for at, arg := range w.procs[name].args {
		if arg == "-listen" {
			host, _, _ := net.SplitHostPort(w.procs[name].args[at+1])
			return host
		}
	}
	return ""
}

// Cut stops what goes from some nodes to others, one way; both ways if said.
//
//	world.Cut([]string{"c1"}, []string{"c2", "c3"}, true)
func (w *World) Cut(from, to []string, both bool) {
	next := map[[2]string]bool{}
	for pair := range *w.links.cut.Load() {
		next[pair] = true
	}
	for _, one := range from {
		for _, other := range to {
			if one != other {
				next[[2]string{w.host(one), w.host(other)}] = true
				if both {
					next[[2]string{w.host(other), w.host(one)}] = true
				}
			}
		}
	}
	w.note("cut", strings.Join(from, "+"), 0, strings.Join(to, "+"))
	w.links.cut.Store(&next)
}

// Lossy makes all links drop connections now and then, and slow.
//
//	world.Lossy(10, 30)
func (w *World) Lossy(percent, delayMs int64) {
	w.note("lossy", "", percent, fmt.Sprint(delayMs))
	w.links.losePercent.Store(percent)
	w.links.delayMs.Store(delayMs)
}

// Heal makes all links whole.
//
//	world.Heal()
func (w *World) Heal() {
	w.note("heal", "", 0, "")
	w.links.losePercent.Store(0)
	w.links.delayMs.Store(0)
	w.links.cut.Store(&map[[2]string]bool{})
}

// Node returns the address at which operators reach a node.
//
//	addr := world.Node("l1")
func (w *World) Node(name string) string {
	for at, arg := range w.procs[name].args {
		if arg == "-listen" {
			return w.procs[name].args[at+1]
		}
	}
	return ""
}

// SetPolicy writes a policy at a node; expected -1 takes any version.
//
//	version, status, err := world.SetPolicy("l1", body, -1)
func (w *World) SetPolicy(name string, body []byte, expected int64) (int64, int, error) {
	url := "http://" + w.Node(name) + "/v1/policy"
	if expected >= 0 {
		url += fmt.Sprintf("?expected=%d", expected)
	}
	status, told, err := w.call(http.MethodPut, url, body)
	if err != nil {
		return 0, 0, err
	}
	var done struct{ Mark int64 }
	_ = json.Unmarshal(told, &done)
	if status == http.StatusOK {
		w.note("policy", name, done.Mark, "")
	}
	return done.Mark, status, nil
}

// Version returns the version of the policy in force at a proxy, or -1.
//
//	version := world.Version("s1")
func (w *World) Version(name string) int64 { return int64(w.Metric(name, "applequay_policy_mark")) }

// Metric reads one number of a node's /metrics, or -1.
//
//	syncs := world.Metric("c1", "applequay_journal_syncs_total")
func (w *World) Metric(name, metric string) float64 {
	status, told, err := w.call(http.MethodGet, "http://"+w.Node(name)+"/metrics", nil)
	if err != nil || status != http.StatusOK {
		return -1
	}
	for _, line := range strings.Split(string(told), "\n") {
		if strings.HasPrefix(line, metric+"{") {
			number, err := strconv.ParseFloat(line[strings.LastIndexByte(line, ' ')+1:], 64)
			if err == nil {
				return number
			}
		}
	}
	return -1
}

// Ask gets a page of a node as JSON.
//
//	err := world.Ask("l1", "/v1/homes", &homes)
func (w *World) Ask(name, path string, into any) error {
	status, told, err := w.call(http.MethodGet, "http://"+w.Node(name)+path, nil)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return oops.Errorf("%s%s answered %d: %s", name, path, status, told)
	}
	return json.Unmarshal(told, into)
}

// InForce waits until every proxy named has a version in force, and returns
// how long each took.
//
//	took, ok := world.InForce(3, 2*time.Second, "s1", "s2")
func (w *World) InForce(version int64, wait time.Duration, names ...string) (map[string]time.Duration, bool) {
	began, took := time.Now(), map[string]time.Duration{}
	ok := w.Until(wait, func() bool {
		for _, name := range names {
			if _, done := took[name]; !done && w.Version(name) >= version {
				took[name] = time.Since(began)
			}
		}
		return len(took) == len(names)
	})
	return took, ok
}

// Proxies lists the proxies' names.
//
//	for _, name := range world.Proxies() { ... }
func (w *World) Proxies() []string {
	var out []string
	for i := range w.Shape.Fronts {
		out = append(out, fmt.Sprintf("s%d", i+1))
	}
	return out
}
