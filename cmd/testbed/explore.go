package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"runtime/debug"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"applequay/internal/simulation/explorer"
)

// exploring is what the command line asks of the explorer.
type exploring struct {
	models, mode, out, replay string
	seed                      int64
	workers, length, depth    int
	deviations                int
	most                      time.Duration
}

// exploreCommand searches orders of events over the real controllers.
func exploreCommand() *ffcli.Command {
	set := flag.NewFlagSet("explore", flag.ContinueOnError)
	var o exploring
	set.StringVar(&o.models, "model", "all", "models, with commas, or all")
	set.StringVar(&o.mode, "mode", "walk", "walk draws long histories, search takes all within bounds")
	set.Int64Var(&o.seed, "seed", 1, "seed of the search, or of the first walk")
	set.IntVar(&o.workers, "workers", 2, "how many histories are taken at once")
	set.IntVar(&o.length, "length", 1500, "steps of a walk")
	set.IntVar(&o.depth, "depth", 0, "longest history of a search; the model's own if nought")
	set.IntVar(&o.deviations, "deviations", -2, "how often a history of a search leaves the ordinary order, -1 for any number; the model's own if -2")
	set.DurationVar(&o.most, "most", time.Minute, "how long each model is explored, for hours if you like")
	set.StringVar(&o.out, "out", "breach.json", "file for the shortened history of a breach")
	set.StringVar(&o.replay, "replay", "", "take the history in this file again, and do nothing else")
	var help strings.Builder
	for _, model := range explorer.Models() {
		fmt.Fprintf(&help, "  %-15s %s\n", model.Name, model.Help)
	}
	return &ffcli.Command{Name: "explore", ShortHelp: "search orders of events over the real controllers", LongHelp: "Models:\n" + help.String(), FlagSet: set,
		Exec: func(context.Context, []string) error {
			debug.SetGCPercent(400)
			if o.replay != "" {
				return replayHistory(o.replay)
			}
			if o.mode != "walk" && o.mode != "search" {
				return fmt.Errorf("%w: no mode %q; there are walk and search", errUsage, o.mode)
			}
			return explore(o)
		}}
}

func explore(o exploring) error {
	var failed []string
	for _, model := range explorer.Models() {
		if o.models != "all" && !strings.Contains(","+o.models+",", ","+model.Name+",") {
			continue
		}
		if !exploreModel(o, model) {
			failed = append(failed, model.Name)
		}
	}
	if len(failed) > 0 {
		return fmt.Errorf("%w: %s", errBreaches, strings.Join(failed, ", "))
	}
	return nil
}

func exploreModel(o exploring, model explorer.Model) bool {
	options := explorer.Options{Seed: o.seed, Workers: o.workers, Most: o.most}
	var report explorer.Report
	if o.mode == "walk" {
		report = explorer.Walks(model, o.length, 1<<30, options)
		fmt.Printf("%s: %d walks of %d steps, %d messages delivered, %v\n", model.Name, report.Histories, o.length, report.States, report.Took.Round(time.Millisecond))
	} else {
		if o.depth > 0 {
			model.Depth = o.depth
		}
		if o.deviations > -2 {
			model.Deviations = o.deviations
		}
		report = explorer.Search(model, options)
		fmt.Printf("%s: depth %d, deviations %d: %d states, %d steps taken, %d histories, complete %t, %v\n",
			model.Name, model.Depth, model.Deviations, report.States, report.Steps, report.Histories, report.Complete, report.Took.Round(time.Millisecond))
	}
	if report.Found == nil {
		return true
	}
	fmt.Printf("BREACH %s\nafter %d steps, in history %d; it is being shortened\n", report.Found.Breach, len(report.Found.Steps), report.FoundAfter)
	short := explorer.Shorten(model, *report.Found)
	printHistory(short)
	if err := short.WriteFile(o.out); err != nil {
		fmt.Println(err)
	} else {
		fmt.Println("kept in", o.out, "- take it again with: testbed explore -replay", o.out)
	}
	return false
}

func printHistory(history explorer.History) {
	for at, step := range history.Steps {
		fmt.Printf("%4d %s\n", at+1, step)
	}
	for _, line := range history.Notes {
		fmt.Println("     |", line)
	}
}

// replayHistory takes a kept history again and says whether it still breaks a rule.
func replayHistory(path string) error {
	history, err := explorer.ReadHistory(path)
	if err != nil {
		return errors.Join(errUsage, err)
	}
	model, ok := explorer.ModelOf(history.Model)
	if !ok {
		return fmt.Errorf("%w: no model %q", errUsage, history.Model)
	}
	world, taken := history.Replay(model)
	history.Steps, history.Notes = taken, world.Notes()
	printHistory(history)
	if why := world.Broken(); why != "" {
		return fmt.Errorf("%w: %s", errBreaches, why)
	}
	fmt.Println("no invariant is broken")
	return nil
}
