package main

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"applequay/internal/simulation"
)

func simCommand() *ffcli.Command {
	set := flag.NewFlagSet("sim", flag.ContinueOnError)
	name := set.String("deployment", "brilleverk", "brilleverk or krizanka")
	which := set.String("plan", "faults", "what is played")
	seed := set.Int64("seed", 1, "seed to play")
	last := set.Int64("to", 0, "play all seeds up to this one, and print histories of breaches only")
	picture := set.String("picture", "", "file for a page that shows what operators saw")
	var help strings.Builder
	for _, plan := range simulation.Plans() {
		fmt.Fprintf(&help, "  %-16s %s\n", plan.Name, plan.Help)
	}
	return &ffcli.Command{Name: "sim", ShortHelp: "play seeds of the simulator and print their histories", LongHelp: "Plans:\n" + help.String(), FlagSet: set,
		Exec: func(context.Context, []string) error {
			plans := simulation.Plans()
			at := slices.IndexFunc(plans, func(p simulation.Plan) bool { return p.Name == *which })
			shape, known := map[string]simulation.Shape{"brilleverk": simulation.Brilleverk(), "krizanka": simulation.Krizanka()}[*name]
			if at < 0 || !known {
				return fmt.Errorf("%w: there are the deployments brilleverk and krizanka, and the plans\n%s", errUsage, help.String())
			}
			var failed []int64
			for played := *seed; played <= max(*seed, *last); played++ {
				well, err := playSeed(plans[at], shape, played, *last == 0, *picture)
				if err != nil {
					return err
				}
				if !well {
					failed = append(failed, played)
				}
			}
			if len(failed) > 0 {
				return fmt.Errorf("%w by seeds %v", errBreaches, failed)
			}
			return nil
		}}
}

// playSeed plays a seed; its history is printed if wished, or if a rule is broken.
func playSeed(plan simulation.Plan, shape simulation.Shape, seed int64, show bool, picture string) (bool, error) {
	world := plan.Run(shape, seed)
	breaches := world.Breaches()
	if show || len(breaches) > 0 {
		fmt.Println(strings.Join(world.History, "\n"))
	}
	for _, breach := range breaches {
		fmt.Println("BREACH", breach)
	}
	fmt.Printf("%s %s seed %d: %d breaches\n", shape.Name, plan.Name, seed, len(breaches))
	if picture == "" {
		return len(breaches) == 0, nil
	}
	return len(breaches) == 0, world.Picture(picture)
}
