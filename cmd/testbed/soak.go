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
	"sync"

	"github.com/peterbourgon/ff/v3/ffcli"

	"applequay/internal/testbed/freenet"
	"applequay/platform/stand"
)

// soak plays days of overlapping series of troubles, some at once.
type soak struct {
	dir     string
	seconds float64
	launch  stand.Launch
	// wide is held by the day that has many processes: only one of them at once.
	wide sync.Mutex
	// claims is held while a day finds its addresses and starts to use them.
	claims sync.Mutex
}

func soakCommand() *ffcli.Command {
	set := flag.NewFlagSet("soak", flag.ContinueOnError)
	bin := set.String("bin", "bin", "folder with the programs")
	dir := set.String("dir", "", "folder for settings, data and logs; a new one if empty")
	first := set.Int64("first", 1, "first seed")
	seeds := set.Int64("seeds", 1, "how many seeds")
	jobs := set.Int("jobs", 1, "how many days at once")
	seconds := set.Float64("seconds", 15, "length of each day's traffic before its closing fault")
	return &ffcli.Command{Name: "soak", ShortHelp: "play days with series of restarts, signals and changes that overlap", FlagSet: set,
		Exec: func(ctx context.Context, _ []string) error {
			launch, err := launchFrom(*bin)
			if err != nil {
				return err
			}
			if *dir == "" {
				if *dir, err = os.MkdirTemp("", "testbed-soak-"); err != nil {
					return err
				}
			}
			folder, err := filepath.Abs(*dir)
			if err != nil {
				return err
			}
			fmt.Println("settings, data and logs are in", folder)
			s := &soak{dir: folder, seconds: *seconds, launch: launch}
			broken := s.playAll(ctx, *first, *seeds, max(*jobs, 1))
			if len(broken) > 0 {
				return fmt.Errorf("%w: seeds %s", errBreaches, strings.Join(broken, ", "))
			}
			fmt.Printf("%d seeds from %d on: no rule was broken\n", *seeds, *first)
			return nil
		}}
}

// playAll plays seeds, some at once, and returns those that broke a rule or could not be
// played.
func (s *soak) playAll(ctx context.Context, first, seeds int64, jobs int) []string {
	var broken []string
	var guard sync.Mutex
	next := make(chan int64)
	var players sync.WaitGroup
	for range jobs {
		players.Go(func() {
			for seed := range next {
				lines, err := s.play(ctx, seed)
				guard.Lock()
				if err != nil {
					broken = append(broken, fmt.Sprint(seed))
					lines = append(lines, "  "+err.Error())
				}
				fmt.Println(strings.Join(lines, "\n"))
				guard.Unlock()
			}
		})
	}
	for seed := first; seed < first+seeds; seed++ {
		next <- seed
	}
	close(next)
	players.Wait()
	slices.Sort(broken)
	return broken
}

// mostShown is how many breaches of a day are shown.
const mostShown = 20

// play plays the day of a seed and returns what is to be shown of it.
func (s *soak) play(ctx context.Context, seed int64) ([]string, error) {
	plan := stand.Small()
	plan.Seconds = s.seconds
	plan = stand.Soak(plan, seed)
	if plan.Edge > stand.Small().Edge {
		s.wide.Lock()
		defer s.wide.Unlock()
	}
	s.claims.Lock()
	net, release, err := freenet.Claim()
	s.claims.Unlock()
	if err != nil {
		return nil, err
	}
	defer release()
	plan.Net = net
	folder := filepath.Join(s.dir, fmt.Sprintf("seed-%d", seed))
	var said []string
	var guard sync.Mutex
	day, err := stand.Play(ctx, plan, folder, s.launch, func(line string) {
		guard.Lock()
		defer guard.Unlock()
		said = append(said, line)
	})
	if err != nil {
		return []string{fmt.Sprintf("seed %d: not played", seed)}, errors.Join(err, s.keep(folder, said))
	}
	served, asked := 0, 0
	for _, one := range stand.Outcomes(day) {
		asked++
		if one.Served {
			served++
		}
	}
	breaches := stand.Broken(day)
	lines := []string{fmt.Sprintf("seed %d: %d machines, %d troubles, %d of %d served, timers up to %.0f ms late, %d breaches", seed, plan.Core+plan.Edge, len(plan.Troubles), served, asked, day.LateMs, len(breaches))}
	for _, breach := range breaches[:min(len(breaches), mostShown)] {
		lines = append(lines, "  BROKEN "+breach)
	}
	if len(breaches) > 0 {
		return lines, errors.Join(errBreaches, s.keep(folder, append(said, breaches...)))
	}
	return lines, os.RemoveAll(folder)
}

// keep writes what was said of a day beside its logs.
func (s *soak) keep(folder string, said []string) error {
	return os.WriteFile(filepath.Join(folder, "day.txt"), []byte(strings.Join(said, "\n")+"\n"), 0o600)
}
