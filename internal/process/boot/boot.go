// Package boot reads and checks the settings that a process starts with.
package boot

import (
	"flag"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"

	"github.com/peterbourgon/ff/v3"
)

// Boot holds the settings of every program; each asks for those it needs.
type Boot struct {
	Name, Zone, Listen, Advertise, Callers, Lineman, Switchboard, Data, Directory, Settings, DiskTrial, ClockTrial string
	Seeds, Core                                                                                                    []string
	LeaseMs, ProbeMs, PollMs, CallMs, TickMs, Partitions                                                           int64
	SyncFloorMs, LogKb, KeyMs, HoldMs, DrainMs, BodyKb, Slots                                                      int64
	seeds, core                                                                                                    string
}

// Part names a group of settings that a program takes.
type Part int

// The parts.
const (
	PartNode Part = 1 << iota
	PartDisk
	PartLine
	PartCallers
)

type check struct {
	flag  string
	value *int64
	least int64
	most  int64
	said  string
	first int64
}

func (b *Boot) numbers(parts Part) []check {
	all := []check{
		{"drain-ms", &b.DrainMs, 0, 600000, "how long a drain may take after SIGTERM", 10000},
	}
	if parts&PartNode != 0 {
		all = append(all,
			check{"lease-ms", &b.LeaseMs, 3000, 60000, "how long a grant lasts; no two owners take turns faster", 3200},
			check{"probe-ms", &b.ProbeMs, 50, 5000, "time between probes of other members", 200},
			check{"call-ms", &b.CallMs, 200, 60000, "how long one call on a register may take", 1600},
			check{"tick-ms", &b.TickMs, 5, 1000, "how often control state looks at the clock", 25},
			check{"partitions", &b.Partitions, 1, 256, "number of partitions; the same on every node, for good", 12})
	}
	if parts&PartLine != 0 {
		all = append(all, check{"key-ms", &b.KeyMs, 10000, 3600000, "how long after its first use an idempotency key may be repeated; the same on every front", 60000})
	}
	if parts&PartDisk != 0 {
		all = append(all,
			check{"poll-ms", &b.PollMs, 100, 5000, "time between looks at each worker and at the worker list", 500},
			check{"sync-floor-ms", &b.SyncFloorMs, 0, 10000, "least time of a sync: stands for a slow disk in tests", 0},
			check{"log-kb", &b.LogKb, 4, 1 << 20, "how long the log grows between checkpoints", 4096})
	}
	if parts&PartCallers != 0 {
		all = append(all,
			check{"hold-ms", &b.HoldMs, 100, 600000, "how long a request may be held while its model comes up", 20000},
			check{"body-kb", &b.BodyKb, 1, 1 << 20, "largest request body", 1024},
			check{"slots", &b.Slots, 1, 1 << 20, "requests in work at once before low weights are shed", 512})
	}
	return all
}

type address struct {
	flag  string
	value *string
	need  bool
	said  string
}

func (b *Boot) addresses(parts Part) []address {
	all := []address{{"listen", &b.Listen, true, "address for other processes and operators, IP:port"}}
	if parts&PartNode != 0 {
		all = append(all, address{"advertise", &b.Advertise, false, "address at which others reach this process, if not listen"})
	}
	if parts&PartDisk != 0 {
		all = append(all, address{"directory", &b.Directory, true, "address of the platform's worker list, IP:port"})
	}
	if parts&PartLine != 0 {
		all = append(all, address{"switchboard", &b.Switchboard, true, "address of the switchboard beside this lineman"})
	}
	if parts&PartCallers != 0 {
		all = append(all, address{"callers", &b.Callers, true, "address for callers, IP:port"}, address{"lineman", &b.Lineman, true, "address of the lineman beside this switchboard"})
	}
	return all
}

// Read reads settings from flags, or from a file of JSON named by -settings.
// All faults come back at once.
//
//	settings, faults := boot.Read("exchange", boot.PartNode|boot.PartDisk, os.Args[1:], os.Stderr)
func Read(program string, parts Part, args []string, help io.Writer) (*Boot, []string) {
	b := &Boot{}
	set := flag.NewFlagSet(program, flag.ContinueOnError)
	set.SetOutput(help)
	set.StringVar(&b.Name, "name", "", "name of this process, the same after a restart")
	set.StringVar(&b.Zone, "zone", "", "zone of this machine")
	set.StringVar(&b.Settings, "settings", "", "file of JSON with settings, flags go first")
	if parts&PartNode != 0 {
		set.StringVar(&b.ClockTrial, "clock-trial", "", "file with milliseconds by which this process's clock is off: stands for a clock that jumps in tests")
		set.StringVar(&b.seeds, "seeds", "", "addresses of three other processes, with commas")
	}
	if parts&PartDisk != 0 {
		set.StringVar(&b.core, "core", "", "addresses of all core machines at the founding, with commas")
		set.StringVar(&b.Data, "data", "", "data folder")
		set.StringVar(&b.DiskTrial, "disk-trial", "", "file of words full, stall or slow MS that the data folder obeys: stands for a bad disk in tests")
	}
	for _, one := range b.addresses(parts) {
		set.StringVar(one.value, one.flag, "", one.said)
	}
	for _, one := range b.numbers(parts) {
		set.Int64Var(one.value, one.flag, one.first, fmt.Sprintf("%s, from %d to %d", one.said, one.least, one.most))
	}
	if err := ff.Parse(set, args, ff.WithConfigFileFlag("settings"), ff.WithConfigFileParser(ff.JSONParser)); err != nil {
		return nil, []string{err.Error()}
	}
	if b.Advertise == "" {
		b.Advertise = b.Listen
	}
	return b, b.faults(parts, set)
}

func (b *Boot) faults(parts Part, set *flag.FlagSet) []string {
	var faults []string
	note := func(format string, args ...any) { faults = append(faults, fmt.Sprintf(format, args...)) }
	if set.NArg() > 0 {
		note("unknown words: %s", strings.Join(set.Args(), " "))
	}
	if b.Name == "" || strings.ContainsAny(b.Name, "~/: ,") {
		note("name: must be given, without ~ / : , or blanks")
	}
	if parts&PartNode != 0 && b.Zone == "" {
		note("zone: must be given")
	}
	for _, one := range b.numbers(parts) {
		if *one.value < one.least || *one.value > one.most {
			note("%s: %d is not from %d to %d", one.flag, *one.value, one.least, one.most)
		}
	}
	for _, one := range b.addresses(parts) {
		if *one.value != "" || one.need {
			if err := checkAddr(*one.value); err != nil {
				note("%s: %v", one.flag, err)
			}
		}
	}
	lists := []struct {
		flag, text string
		into       *[]string
	}{{"seeds", b.seeds, &b.Seeds}, {"core", b.core, &b.Core}}
	for _, list := range lists {
		for _, addr := range strings.Split(list.text, ",") {
			if addr = strings.TrimSpace(addr); addr == "" {
				continue
			}
			if err := checkAddr(addr); err != nil {
				note("%s: %v", list.flag, err)
			}
			*list.into = append(*list.into, addr)
		}
	}
	if parts&PartDisk != 0 {
		if b.Data == "" {
			note("data: must be given")
		} else if info, err := os.Stat(b.Data); err == nil && !info.IsDir() {
			note("data: %s is not a folder", b.Data)
		}
	} else if parts&PartNode != 0 && len(b.Seeds) == 0 {
		note("seeds: at least one must be given")
	}
	if parts&PartNode != 0 && b.CallMs > 0 && b.LeaseMs > 0 && b.CallMs >= b.LeaseMs {
		note("call-ms: must be less than lease-ms")
	}
	return faults
}

func checkAddr(text string) error {
	addr, err := netip.ParseAddrPort(text)
	if err != nil {
		return fmt.Errorf("%q is not IP:port", text)
	}
	if addr.Port() == 0 {
		return fmt.Errorf("%q has no port", text)
	}
	return nil
}
