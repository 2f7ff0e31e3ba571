// Command testdesk runs whole deployments on one machine, brings their
// failures about and checks what callers and back ends saw; it also replays
// seeds of the simulator.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"applequay/internal/process/fleet"
	"applequay/internal/process/sim"
)

var errBreaches = errors.New("rules were broken")

func main() {
	root := &ffcli.Command{ShortUsage: "testdesk run|sim", FlagSet: flag.NewFlagSet("testdesk", flag.ContinueOnError),
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
		Subcommands: []*ffcli.Command{runCommand(), simCommand()}}
	err := root.ParseAndRun(context.Background(), os.Args[1:])
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		_, _ = fmt.Fprintln(os.Stderr, "testdesk:", err)
		os.Exit(1)
	}
}

func shapeOf(name string) (fleet.Shape, error) {
	for _, shape := range []fleet.Shape{fleet.Brilleverk(), fleet.Krizanka(), fleet.Small()} {
		if shape.Name == name {
			return shape, nil
		}
	}
	return fleet.Shape{}, fmt.Errorf("no deployment %q: brilleverk, krizanka or small", name)
}

func runCommand() *ffcli.Command {
	set := flag.NewFlagSet("run", flag.ContinueOnError)
	name := set.String("deployment", "brilleverk", "brilleverk, krizanka or small")
	bin := set.String("bin", "bin", "folder with the programs")
	dir := set.String("dir", "", "folder for data, logs and records; a new one if empty")
	which := set.String("scenarios", "calm", "scenarios, with commas, or all")
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
			var failed []string
			for _, scenario := range fleet.Scenarios() {
				if *which != "all" && !strings.Contains(","+*which+",", ","+scenario.Name+",") {
					continue
				}
				if !play(shape, scenario, *bin, *dir, *factor) {
					failed = append(failed, scenario.Name)
				}
			}
			if len(failed) > 0 {
				return fmt.Errorf("%w: %s", errBreaches, strings.Join(failed, ", "))
			}
			return nil
		}}
}

func play(shape fleet.Shape, scenario fleet.Scenario, bin, dir string, factor float64) bool {
	var err error
	if dir == "" {
		dir, err = os.MkdirTemp("", "testdesk-")
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
	seen, err := world.Play(scenario, factor)
	if err != nil {
		fmt.Println("FAILED:", err)
		return false
	}
	fmt.Println(fleet.Sum(seen, 0, 0))
	for _, note := range seen.Notes {
		if note.Event == "opening" {
			fmt.Printf("opening %s: %d ready at its moment, missing %s\n", note.Name, note.Mark, note.Why)
		}
	}
	for _, name := range world.Cores {
		fmt.Printf("%s syncs %.0f records %.0f events %.0f\n", name, world.Metric(name, "applequay_journal_syncs_total"), world.Metric(name, "applequay_journal_records_total"), world.Metric(name, "applequay_partition_events_total"))
	}
	breaches := fleet.Breaches(shape, seen)
	for _, breach := range breaches {
		fmt.Println("BREACH", breach)
	}
	return len(breaches) == 0
}

func simCommand() *ffcli.Command {
	set := flag.NewFlagSet("sim", flag.ContinueOnError)
	name := set.String("deployment", "brilleverk", "brilleverk or krizanka")
	seed := set.Int64("seed", 1, "seed to replay")
	return &ffcli.Command{Name: "sim", ShortHelp: "replay a seed of the simulator and print its history", FlagSet: set,
		Exec: func(context.Context, []string) error {
			shape := sim.Brilleverk()
			if *name == "krizanka" {
				shape = sim.Krizanka()
			}
			world := sim.Faults(shape, *seed)
			fmt.Println(strings.Join(world.History, "\n"))
			breaches := world.Breaches()
			for _, breach := range breaches {
				fmt.Println("BREACH", breach)
			}
			if len(breaches) > 0 {
				return errBreaches
			}
			return nil
		}}
}
