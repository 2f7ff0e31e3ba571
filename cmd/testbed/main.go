// Command testbed runs whole deployments on one machine, brings their
// failures about and checks what clients and back ends saw; it also replays
// seeds of the simulator.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"applequay/internal/testbed/fleet"
)

var (
	errBreaches = errors.New("rules were broken")
	errUsage    = errors.New("usage")
)

func main() {
	root := &ffcli.Command{ShortUsage: "testbed run|figures|sim|losses|changes|day|soak|explore", FlagSet: flag.NewFlagSet("testbed", flag.ContinueOnError),
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
		Subcommands: []*ffcli.Command{runCommand(), figuresCommand(), simCommand(), lossesCommand(), changesCommand(), dayCommand(), soakCommand(), exploreCommand()}}
	err := root.ParseAndRun(context.Background(), os.Args[1:])
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		_, _ = fmt.Fprintln(os.Stderr, "testbed:", err)
		if errors.Is(err, errUsage) {
			os.Exit(2)
		}
		os.Exit(1)
	}
}

func shapeOf(name string) (fleet.Shape, error) {
	for _, shape := range []fleet.Shape{fleet.Brilleverk(), fleet.Krizanka(), fleet.Small()} {
		if shape.Name == name {
			return shape, nil
		}
	}
	return fleet.Shape{}, fmt.Errorf("%w: no deployment %q; there are brilleverk, krizanka and small", errUsage, name)
}

func runCommand() *ffcli.Command {
	set := flag.NewFlagSet("run", flag.ContinueOnError)
	name := set.String("deployment", "brilleverk", "brilleverk, krizanka or small")
	bin := set.String("bin", "bin", "folder with the programs")
	dir := set.String("dir", "", "folder for data, logs and records; a new one if empty")
	which := set.String("scenarios", "calm", "scenarios, with commas, or all")
	seed := set.Int64("seed", 1, "seed of the scenario random")
	net := set.Int("net", 0, "second number of all addresses, for two runs at once; the deployment's own if nought")
	factor := set.Float64("factor", 1, "traffic, as a multiple of the deployment's")
	var help strings.Builder
	for _, scenario := range fleet.Scenarios() {
		fmt.Fprintf(&help, "  %-14s %s\n", scenario.Name, scenario.Help)
	}
	return &ffcli.Command{Name: "run", ShortHelp: "run a deployment under a scenario", LongHelp: "Scenarios:\n" + help.String(), FlagSet: set,
		Exec: func(context.Context, []string) error {
			shape, err := shapeOf(*name)
			if err != nil {
				return err
			}
			if *net > 0 {
				shape.Net = *net
			}
			chosenScenarios, err := scenariosOf(*which)
			if err != nil {
				return err
			}
			var failed []string
			for _, scenario := range chosenScenarios {
				if !play(shape, scenario, *bin, *dir, *factor, *seed) {
					failed = append(failed, scenario.Name)
				}
			}
			if len(failed) > 0 {
				return fmt.Errorf("%w: %s", errBreaches, strings.Join(failed, ", "))
			}
			return nil
		}}
}

// scenariosOf finds the scenarios named, with commas; all names them all.
func scenariosOf(which string) ([]fleet.Scenario, error) {
	all, names := fleet.Scenarios(), []string{}
	if which == "all" {
		return all, nil
	}
	var out []fleet.Scenario
	for _, name := range strings.Split(which, ",") {
		at := slices.IndexFunc(all, func(s fleet.Scenario) bool { return s.Name == name })
		if at < 0 {
			for _, one := range all {
				names = append(names, one.Name)
			}
			return nil, fmt.Errorf("%w: no scenario %q; there are all, %s", errUsage, name, strings.Join(names, ", "))
		}
		out = append(out, all[at])
	}
	return out, nil
}

func play(shape fleet.Shape, scenario fleet.Scenario, bin, dir string, factor float64, seed int64) bool {
	var err error
	if dir == "" {
		dir, err = os.MkdirTemp("", "testbed-")
	} else {
		dir = filepath.Join(dir, shape.Name+"-"+scenario.Name)
		err = os.MkdirAll(dir, 0o755)
	}
	if err != nil {
		fmt.Println(err)
		return false
	}
	fmt.Printf("== %s, %s: %s (%s)\n", shape.Name, scenario.Name, scenario.Help, dir)
	world, err := fleet.New(shape, dir, bin)
	if err != nil {
		fmt.Println(err)
		return false
	}
	defer world.Close()
	world.Seed = seed
	seen, err := world.Play(scenario, factor)
	if err != nil {
		fmt.Println("FAILED:", err)
		return false
	}
	fmt.Println(fleet.Sum(seen, 0, 0))
	rolled := int64(0)
	for _, note := range seen.Notes {
		switch note.Event {
		case "rollout":
			rolled = note.TimeMs
		case "halted":
			fmt.Printf("the roll-out was halted in zone %d after %d ms: %s\n", note.Version, note.TimeMs-rolled, note.Why)
		}
		if note.Event == "opening" {
			fmt.Printf("opening %s: %d ready at its moment, missing %s\n", note.Name, note.Version, note.Why)
		}
	}
	for _, name := range world.Cores {
		fmt.Printf("%s syncs %.0f records %.0f events %.0f\n", name, world.Metric(name, "applequay_journal_syncs_total"), world.Metric(name, "applequay_journal_records_total"), world.Metric(name, "applequay_partition_events_total"))
	}
	for _, kind := range []string{"book", "stream"} {
		if served := fleet.BySecond(seen, kind, 20); served[19][0]+served[5][0] > 0 {
			fmt.Println("served of begun, second by second after the machines came back,", kind, served)
		}
	}
	breaches := fleet.Breaches(shape, seen)
	for _, breach := range breaches {
		fmt.Println("BREACH", breach)
	}
	return len(breaches) == 0
}
