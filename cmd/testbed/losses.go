package main

import (
	"context"
	"flag"
	"fmt"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"applequay/internal/simulation"
)

// lossesCommand plays runs in which core machines go one after another.
func lossesCommand() *ffcli.Command {
	set := flag.NewFlagSet("losses", flag.ContinueOnError)
	kind := set.String("kind", "all", "all, or one of "+strings.Join(simulation.LossKinds, ", "))
	cores := set.Int("cores", 4, "core machines at the beginning, 3 to 9")
	rounds := set.Int("rounds", 5, "losses in turn")
	from, to := set.Int64("from", 1, "first seed"), set.Int64("to", 1, "last seed")
	show := set.Bool("show", false, "print histories")
	return &ffcli.Command{Name: "losses", ShortHelp: "simulate core machines that go one after another, each as soon as it may", FlagSet: set,
		Exec: func(context.Context, []string) error {
			kinds := simulation.LossKinds
			if *kind != "all" {
				kinds = []string{*kind}
			}
			failed := false
			for seed := *from; seed <= *to; seed++ {
				for _, one := range kinds {
					world, faults := simulation.Losses{Kind: one, Cores: *cores, Rounds: *rounds}.Run(seed)
					if *show {
						fmt.Println(strings.Join(world.History, "\n"))
					}
					fmt.Printf("%s, %d cores, seed %d: %d faults\n", one, *cores, seed, len(faults))
					for _, fault := range faults {
						failed = true
						fmt.Println("FAULT", fault)
					}
				}
			}
			if failed {
				return errBreaches
			}
			return nil
		}}
}

// changesCommand measures how a machine that missed many changes catches up.
func changesCommand() *ffcli.Command {
	set := flag.NewFlagSet("changes", flag.ContinueOnError)
	routes := set.Int("routes", 700, "routes of the last configuration")
	seed := set.Int64("seed", 1, "seed")
	only := set.String("away", "", "only one of "+strings.Join(simulation.AwayKinds, ", "))
	return &ffcli.Command{Name: "changes", ShortHelp: "simulate 10, 100 and 1000 changes and what a machine that missed them takes", FlagSet: set,
		Exec: func(context.Context, []string) error {
			fmt.Println("changes, machine: ms, bytes, messages, checkpoint bytes, folder bytes, size of names kept")
			for _, away := range simulation.AwayKinds {
				if *only != "" && away != *only {
					continue
				}
				for _, count := range []int{10, 100, 1000} {
					took, faults := simulation.Changes{Count: count, Routes: *routes, Away: away}.Run(*seed)
					fmt.Printf("%d, %s: %d, %d, %d, %d, %d, %d\n", count, away, took.Ms, took.Bytes, took.Messages, took.State, took.Disk, took.Names)
					if len(faults) > 0 {
						fmt.Println("BREACH", faults)
						return errBreaches
					}
				}
			}
			return nil
		}}
}
