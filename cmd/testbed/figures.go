package main

import (
	"context"
	"flag"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"applequay/internal/testbed/fleet"
)

// row is one figure of a scenario, a number for each run.
type row struct {
	name    string
	numbers []float64
}

// figuresCommand plays scenarios several times and prints what they came to as
// tables: median and range over the runs.
func figuresCommand() *ffcli.Command {
	set := flag.NewFlagSet("figures", flag.ContinueOnError)
	names := set.String("deployment", "brilleverk", "deployments, with commas")
	bin := set.String("bin", "bin", "folder with the programs")
	which := set.String("scenarios", "calm,kill-core,power,freeze-owner", "scenarios, with commas, or all")
	runs := set.Int("runs", 5, "how often each is played")
	return &ffcli.Command{Name: "figures", ShortHelp: "play scenarios several times and print tables", FlagSet: set,
		Exec: func(context.Context, []string) error {
			chosenScenarios, err := scenariosOf(*which)
			if err != nil {
				return err
			}
			for _, name := range strings.Split(*names, ",") {
				shape, err := shapeOf(name)
				if err != nil {
					return err
				}
				for _, scenario := range chosenScenarios {
					if err := measure(shape, scenario, *bin, *runs); err != nil {
						return err
					}
				}
			}
			return nil
		}}
}

// measure plays one scenario several times and prints its table.
func measure(shape fleet.Shape, scenario fleet.Scenario, bin string, runs int) error {
	var rows []row
	add := func(name string, number float64) {
		at := slices.IndexFunc(rows, func(r row) bool { return r.name == name })
		if at < 0 {
			rows, at = append(rows, row{name: name}), len(rows)
		}
		rows[at].numbers = append(rows[at].numbers, number)
	}
	for range runs {
		if err := once(shape, scenario, bin, add); err != nil {
			return err
		}
	}
	fmt.Printf("\n### %s, %s (%d runs)\n\n| | median | range | told by |\n| --- | --- | --- | --- |\n", shape.Name, scenario.Name, runs)
	for _, one := range rows {
		slices.Sort(one.numbers)
		count := len(one.numbers)
		fmt.Printf("| %s | %s | %s–%s | %d |\n", one.name, short(one.numbers[count/2]), short(one.numbers[0]), short(one.numbers[count-1]), count)
	}
	return nil
}

// short writes a number with no more digits than mean something.
func short(number float64) string {
	digits := 0
	if number < 100 && number != math.Trunc(number) {
		digits = 2
	}
	return strconv.FormatFloat(number, 'f', digits, 64)
}

// once plays a scenario and adds up what it came to.
func once(shape fleet.Shape, scenario fleet.Scenario, bin string, add func(string, float64)) error {
	dir, err := os.MkdirTemp("", "figures-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(filepath.Clean(dir)) }()
	world, err := fleet.New(shape, dir, bin)
	if err != nil {
		return err
	}
	defer world.Close()
	seen, err := world.Play(scenario, 1)
	if err != nil {
		return err
	}
	figures := fleet.Sum(seen, 0, 0)
	add("calls", float64(figures.Calls))
	add("answered whole, of a hundred", 100*float64(figures.Whole)/float64(max(figures.Calls, 1)))
	for _, kind := range []struct {
		name    string
		numbers []int64
	}{{"first piece", figures.FirstMs}, {"booking or check", figures.BookMs}, {"refused for its model after", figures.VainMs}, {"a policy in force at a front after", fleet.Delivery(seen)}} {
		if len(kind.numbers) > 0 {
			add(kind.name+", ms, median", float64(fleet.At(kind.numbers, 50)))
			add(kind.name+", ms, p95", float64(fleet.At(kind.numbers, 95)))
			add(kind.name+", ms, longest", float64(fleet.At(kind.numbers, 100)))
		}
	}
	if figures.Back > 0 {
		add("came back when told", float64(figures.Back))
		add("of them served then", float64(figures.BackWhole))
	}
	for _, note := range seen.Notes {
		if note.Event == "opening" {
			add("ready at the opening's moment", float64(note.Version))
		}
		if note.Event == "back" {
			add("first second after the return with half of the bookings served", float64(fleet.FirstServed(seen, "book")))
			add("first second after the return with half of the streams served", float64(fleet.FirstServed(seen, "stream")))
		}
	}
	addWork(world, seen, add)
	add("breaches", float64(len(fleet.Breaches(shape, seen))))
	return nil
}

// addWork adds up what the day cost: loads from the store, and syncs.
func addWork(world *fleet.World, seen *fleet.Records, add func(string, float64)) {
	loads := 0
	for _, one := range seen.Served {
		if one.Event == "load" {
			loads++
		}
	}
	add("loads", float64(loads))
	var syncs, events float64
	for _, name := range world.Cores {
		syncs += max(world.Metric(name, "applequay_journal_syncs_total"), 0)
		events += max(world.Metric(name, "applequay_partition_events_total"), 0)
	}
	add("syncs for each partition event", syncs/max(events, 1))
}
