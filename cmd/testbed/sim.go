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
	name := set.String("deployment", "brilleverk", "brilleverk, krizanka, larger-5 or larger-6")
	which := set.String("scenario", "faults", "what happens")
	seed := set.Int64("seed", 1, "seed to play")
	last := set.Int64("to", 0, "play all seeds up to this one, and print histories of breaches only")
	picture := set.String("picture", "", "file for a page that shows what operators saw")
	var help strings.Builder
	for _, scenario := range simulation.Scenarios() {
		fmt.Fprintf(&help, "  %-16s %s\n", scenario.Name, scenario.Help)
	}
	return &ffcli.Command{Name: "sim", ShortHelp: "play seeds of the simulator and print their histories", LongHelp: "Scenarios:\n" + help.String(), FlagSet: set,
		Exec: func(context.Context, []string) error {
			shapes, scenarios := simulation.Shapes(), simulation.Scenarios()
			shape := slices.IndexFunc(shapes, func(s simulation.Shape) bool { return s.Name == *name })
			scenario := slices.IndexFunc(scenarios, func(s simulation.Scenario) bool { return s.Name == *which })
			if shape < 0 || scenario < 0 {
				return fmt.Errorf("%w: no deployment %q or no scenario %q; there are\n%s", errUsage, *name, *which, help.String())
			}
			var failed []int64
			for played := *seed; played <= max(*seed, *last); played++ {
				well, err := playSeed(scenarios[scenario], shapes[shape], played, *last == 0, *picture)
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
func playSeed(scenario simulation.Scenario, shape simulation.Shape, seed int64, show bool, picture string) (bool, error) {
	world, breaches := scenario.Play(shape, seed)
	if show || len(breaches) > 0 {
		fmt.Println(strings.Join(world.History, "\n"))
	}
	for _, breach := range breaches {
		fmt.Println("BREACH", breach)
	}
	fmt.Printf("%s %s seed %d: %d breaches\n", shape.Name, scenario.Name, seed, len(breaches))
	if picture == "" {
		return len(breaches) == 0, nil
	}
	return len(breaches) == 0, world.Picture(picture)
}
