// Package settings reads and checks the settings that a process starts with.
package settings

import (
	"flag"
	"fmt"
	"io"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/peterbourgon/ff/v3"
)

// Boot holds the settings of every program; each asks for those it needs.
type Boot struct {
	Name, Zone, Listen, Advertise, Ready, Operators, Clients, Agent, Proxy, VoterListen, Data, Directory, Settings, DiskTrial, ClockTrial string

	Seeds, Core []string
	// Bootstrap is true at the very first start of the whole system; Fenced
	// says that workers refuse orders of a lower fence.
	Bootstrap, Fenced bool

	LeaseMs, ProbeMs, PollMs, CallMs, TickMs, Partitions, Losses                                             int64
	SyncFloorMs, LogKb, DiskMb, KeyMs, HoldMs, DrainMs, NoticePercent                                        int64
	BodyKb, Slots, IdleMs, HeadMs, HeadKb, RetryPercent, RetryWindowMs, RetrySlack, PassMs                   int64
	MemoryMb, HeapPercent, GrowPercent, Files, LinkMbps, SilenceMs, ApplyMs, CatchUpMs, StretchMs, RecoverMs int64
	LeaveMs, ThawMs, ReuseMs, ListPerS, ListLagMs, CeilingMs, CeilingPercent                                 int64

	seeds, core string
}

// Part names a group of settings that a program takes.
type Part int

// The parts.
const (
	PartNode Part = 1 << iota
	PartDisk
	PartLine
	PartClients
	partOptional
)

// PartOptionalDisk is PartDisk for a program that does without a disk where no data
// folder is named; where one is, a controller runs in its process.
const PartOptionalDisk = PartDisk | partOptional

// Fault is one thing wrong with one setting.
type Fault struct {
	Setting, Said string
}

// String is the fault as people read it.
//
//	text := fault.String() // lease-ms: 100 is not from 3000 to 60000
func (f Fault) String() string { return f.Setting + ": " + f.Said }

// Defaults are the settings where nothing was said.
//
//	settings := settings.Defaults(settings.PartClients)
func Defaults(parts Part) *Boot {
	b := &Boot{Fenced: true}
	for _, one := range b.numbers(parts) {
		*one.value = one.first
	}
	return b
}

// Read reads settings from flags, or from a file of JSON named by -settings.
// All faults come back at once.
//
//	settings, faults := settings.Read("controller", settings.PartNode|settings.PartDisk, os.Args[1:], os.Stderr)
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
		set.BoolVar(&b.Bootstrap, "bootstrap", false, "true only at the very first start of the whole system, with empty disks")
		set.BoolVar(&b.Fenced, "fenced", true, "workers refuse orders under an older fence")
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
	b.Seeds, b.Core = listed(b.seeds), listed(b.core)
	if b.Advertise == "" {
		b.Advertise = b.Listen
	}
	var faults []string
	if set.NArg() > 0 {
		faults = append(faults, "unknown words: "+strings.Join(set.Args(), " "))
	}
	for _, fault := range b.Check(parts) {
		faults = append(faults, fault.String())
	}
	return b, faults
}

// listed splits a list with commas.
func listed(text string) []string {
	var out []string
	for _, one := range strings.Split(text, ",") {
		if one = strings.TrimSpace(one); one != "" {
			out = append(out, one)
		}
	}
	return out
}

// Check lists all that is wrong with the settings of a program, whoever wrote
// them.
//
//	for _, fault := range settings.Check(settings.PartNode|settings.PartDisk) { ... }
func (b *Boot) Check(parts Part) []Fault {
	var faults []Fault
	note := func(setting, format string, args ...any) {
		faults = append(faults, Fault{Setting: setting, Said: fmt.Sprintf(format, args...)})
	}
	if b.Name == "" || strings.ContainsAny(b.Name, "~/: ,") {
		note("name", "must be given, without ~ / : , or blanks")
	}
	if parts&PartNode != 0 && b.Zone == "" {
		note("zone", "must be given")
	}
	for _, one := range b.numbers(parts) {
		if *one.value < one.least || *one.value > one.most {
			note(one.flag, "%d is not from %d to %d", *one.value, one.least, one.most)
		}
	}
	for _, one := range b.addresses(parts) {
		if *one.value != "" || (one.need && b.uses(one.parts, parts)) {
			if err := CheckAddr(*one.value); err != nil {
				note(one.flag, "%v", err)
			}
		}
	}
	for at, list := range [][]string{b.Seeds, b.Core} {
		for _, addr := range list {
			if err := CheckAddr(addr); err != nil {
				note([]string{"seeds", "core"}[at], "%v", err)
			}
		}
	}
	if b.uses(PartDisk, parts) {
		if b.Data == "" {
			note("data", "must be given")
		} else if info, err := os.Stat(b.Data); err == nil && !info.IsDir() {
			note("data", "%s is not a folder", b.Data)
		}
	}
	if parts&PartNode != 0 && (parts&PartDisk == 0 || parts&partOptional != 0) && len(b.Seeds) == 0 {
		note("seeds", "at least one must be given")
	}
	if parts&PartNode != 0 && b.CallMs > 0 && b.LeaseMs > 0 && b.CallMs >= b.LeaseMs {
		note("call-ms", "must be less than lease-ms")
	}
	return faults
}

// uses tells whether a program of some parts uses a setting of others: those of an
// optional disk only where there is a data folder.
func (b *Boot) uses(settingParts, parts Part) bool {
	if settingParts&^PartOptionalDisk != 0 || parts&partOptional == 0 {
		return settingParts&parts != 0
	}
	return b.Data != ""
}

// CheckAddr tells what is wrong with an address.
//
//	err := settings.CheckAddr("127.0.0.1:7100")
func CheckAddr(text string) error {
	addr, err := netip.ParseAddrPort(text)
	if err != nil {
		return fmt.Errorf("%q is not IP:port", text)
	}
	if addr.Port() == 0 {
		return fmt.Errorf("%q has no port", text)
	}
	return nil
}

// Differences names the settings that another reading has otherwise, apart from
// those that may change while a process runs, and those of the founding.
//
//	names := old.Differences(next, settings.PartClients) // "slots", "idle-ms"
func (b *Boot) Differences(next *Boot, parts Part) []string {
	mine, others := b.texts(parts), next.texts(parts)
	var out []string
	for name, text := range mine {
		if others[name] != text {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

func (b *Boot) texts(parts Part) map[string]string {
	out := map[string]string{"name": b.Name, "zone": b.Zone, "data": b.Data, "fenced": strconv.FormatBool(b.Fenced)}
	for _, one := range b.numbers(parts) {
		out[one.flag] = strconv.FormatInt(*one.value, 10)
	}
	for _, one := range b.addresses(parts) {
		out[one.flag] = *one.value
	}
	return out
}
