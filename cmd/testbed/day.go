package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/peterbourgon/ff/v3/ffcli"

	"applequay/internal/testbed/fleet"
	"applequay/internal/testbed/freenet"
	"applequay/platform/stand"
)

// dayCommand plays a day of a small fleet on the platform, with stand-ins.
// findNet asks for addresses that nobody uses.
const findNet = -1

func dayCommand() *ffcli.Command {
	set := flag.NewFlagSet("day", flag.ContinueOnError)
	file := set.String("plan", "", "file of the day, YAML or JSON; a quiet small one if empty")
	bin := set.String("bin", "bin", "folder with the programs")
	dir := set.String("dir", "", "folder for settings, data and logs; a new one if empty")
	seconds := set.Float64("seconds", 0, "length of the traffic, in place of the plan's")
	seed := set.Int64("seed", 0, "seed, in place of the plan's")
	net := set.Int("net", 0, "second number of all addresses, in place of the plan's; -1 finds one that nobody uses")
	straight := set.Bool("straight", false, "no programs: callers go straight to the stand-ins of workers")
	hunt := set.Int("hunt", 0, "play so many days with troubles drawn by the seed and those after it")
	picture := set.String("plot", "", "PNG file for a picture of the day")
	return &ffcli.Command{Name: "day", ShortHelp: "play a day of a small fleet on the platform, with stand-ins", FlagSet: set,
		Exec: func(ctx context.Context, _ []string) error {
			plan := stand.Small()
			if *file != "" {
				var err error
				if plan, err = stand.ReadPlan(*file); err != nil {
					return fmt.Errorf("%w: %w", errUsage, err)
				}
			}
			if *seconds > 0 {
				plan.Seconds = *seconds
			}
			if *seed != 0 {
				plan.Seed = *seed
			}
			if *net > 0 {
				plan.Net = *net
			}
			if *net == findNet {
				number, release, err := freenet.Claim()
				if err != nil {
					return err
				}
				defer release()
				plan.Net = number
			}
			if *hunt == 0 {
				return playDay(ctx, plan, *bin, *dir, *picture, *straight)
			}
			var bad []string
			for i := range *hunt {
				drawn := stand.Drawn(plan, plan.Seed+int64(i))
				fmt.Printf("\n== seed %d\n", drawn.Seed)
				if err := playDay(ctx, drawn, *bin, *dir, *picture, *straight); err != nil {
					fmt.Println(err)
					bad = append(bad, fmt.Sprint(drawn.Seed))
				}
			}
			if len(bad) > 0 {
				return fmt.Errorf("%w: seeds %s", errBreaches, strings.Join(bad, ", "))
			}
			return nil
		}}
}

func playDay(ctx context.Context, plan stand.Plan, bin, dir, picture string, straight bool) error {
	var launch stand.Launch
	if !straight {
		var err error
		if launch, err = launchFrom(bin); err != nil {
			return err
		}
	}
	if dir == "" {
		made, err := os.MkdirTemp("", "testbed-day-")
		if err != nil {
			return err
		}
		dir = made
	}
	// Programs are told where their folders are from the root.
	dir, err := filepath.Abs(dir)
	if err != nil {
		return err
	}
	fmt.Println("settings, data and logs are in", dir)
	day, err := stand.Play(ctx, plan, dir, launch, func(line string) { fmt.Println(line) })
	if err != nil {
		return err
	}
	fmt.Println()
	fmt.Print(stand.Table(day))
	printTimes(day)
	printWhys(day)
	if picture != "" {
		if err := plotDay(day, picture); err != nil {
			return err
		}
	}
	broken := stand.Broken(day)
	for _, line := range broken[:min(len(broken), 40)] {
		fmt.Println("BROKEN", line)
	}
	if len(broken) > 0 {
		return fmt.Errorf("%w: %d times", errBreaches, len(broken))
	}
	fmt.Println("no rule was broken")
	return nil
}

// launchFrom makes processes of the programs in a folder.
func launchFrom(bin string) (stand.Launch, error) {
	if !fleet.HasPrograms(bin, "controller", "agent", "proxy") {
		return nil, fmt.Errorf("%w: folder %q lacks the programs: run go build -o %s/ ./cmd/... first", errUsage, bin, bin)
	}
	return func(name, program string, env []string, log string) stand.Process {
		return fleet.NewProgram(bin, name, program, env, log)
	}, nil
}

// printTimes prints how long first pieces and answers took, by class.
func printTimes(day *stand.Day) {
	times := map[string]*hdrhistogram.Histogram{}
	for _, one := range stand.Outcomes(day) {
		if times[one.Class] == nil {
			times[one.Class] = hdrhistogram.New(1, 120_000, 3)
		}
		if one.FirstMs > 0 {
			_ = times[one.Class].RecordValue(int64(one.FirstMs))
		}
	}
	fmt.Println("ms to the first piece or answer, from a request's first try:")
	names := []string{}
	for name := range times {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		t := times[name]
		fmt.Printf("  %-12s %6d  median %5d  p90 %5d  p99 %5d  longest %5d\n", name, t.TotalCount(), t.ValueAtQuantile(50), t.ValueAtQuantile(90), t.ValueAtQuantile(99), t.Max())
		most, bars := int64(1), t.Distribution()
		rows, below := []int64{}, []int64{}
		for from := int64(8); from <= 120_000; from *= 2 {
			count := int64(0)
			for _, bar := range bars {
				if bar.From < from && (from == 8 || bar.From >= from/2) {
					count += bar.Count
				}
			}
			rows, below, most = append(rows, count), append(below, from), max(most, count)
		}
		for i, count := range rows {
			if count > 0 {
				fmt.Printf("    under %6d %6d %s\n", below[i], count, strings.Repeat("#", int(1+count*40/most)))
			}
		}
	}
}

func printWhys(day *stand.Day) {
	whys := stand.Whys(day)
	lines := []string{}
	for why, count := range whys {
		lines = append(lines, fmt.Sprintf("  %6d  %s", count, why))
	}
	slices.SortFunc(lines, func(a, b string) int { return -strings.Compare(a, b) })
	if len(lines) > 0 {
		fmt.Println("tries that were not served, by status and reason:")
		fmt.Println(strings.Join(lines[:min(len(lines), 15)], "\n"))
	}
}
