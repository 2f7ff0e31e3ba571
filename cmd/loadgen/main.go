// Command loadgen stands in for clients: tills, shops, solvers and editors.
// It checks every answer and records it.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand"
	"net/http"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3"
	"go.uber.org/zap"

	"applequay/internal/settings"
)

// Plan is what clients ask for.
type Plan struct {
	Name    string   `json:"name"`
	Fronts  []string `json:"fronts"`
	Seconds int64    `json:"seconds"`
	// Careful clients repeat only what certainly did not run.
	Careful bool    `json:"careful"`
	Calls   []Calls `json:"calls"`
}

// Calls is one kind of call.
type Calls struct {
	Path   string      `json:"path"`
	Model  bool        `json:"model"`
	PerS   float64     `json:"per_s"`
	Pieces int64       `json:"pieces"`
	Items  [][2]string `json:"items"`
	// Cold calls ask for every item alike often, not mostly for the first ones.
	Cold bool `json:"cold"`
}

// Line is one line of the record.
type Line struct {
	TimeMs    int64  `json:"t"`
	Event     string `json:"event"`
	Path      string `json:"path"`
	Tag       string `json:"tag"`
	Key       string `json:"key,omitempty"`
	Front     string `json:"front"`
	Status    int    `json:"status"`
	Ran       string `json:"ran,omitempty"`
	TookMs    int64  `json:"took_ms"`
	AttemptMs int64  `json:"shot_ms"`
	FirstMs   int64  `json:"first_ms,omitempty"`
	Pieces    int64  `json:"pieces,omitempty"`
	Attempt   int    `json:"shot"`
	Whole     bool   `json:"whole"`
	Bad       string `json:"bad,omitempty"`
	Why       string `json:"why,omitempty"`
}

type clients struct {
	plan   Plan
	client *http.Client
	lines  chan Line
}

func main() {
	set := flag.NewFlagSet("loadgen", flag.ContinueOnError)
	file := set.String("plan", "", "file with the plan, JSON")
	record := set.String("record", "", "file for the record, JSON lines")
	if err := ff.Parse(set, os.Args[1:]); err != nil {
		os.Exit(settings.ExitSettings)
	}
	log := settings.Log("loadgen", "loadgen")
	if err := run(*file, *record); err != nil {
		log.Error("stopped", zap.Error(err))
		os.Exit(settings.ExitFault)
	}
}

func run(file, record string) error {
	body, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	c := &clients{lines: make(chan Line, 1024), client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
	if err = json.Unmarshal(body, &c.plan); err != nil {
		return err
	}
	out, err := os.OpenFile(record, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	ctx, stop := settings.Signals()
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(c.plan.Seconds)*time.Second)
	defer cancel()
	written := make(chan struct{})
	go func() {
		defer close(written)
		encoder := json.NewEncoder(out)
		for line := range c.lines {
			_ = encoder.Encode(line)
		}
	}()
	ended := make(chan struct{})
	for at := range c.plan.Calls {
		go func() {
			c.keepCalling(ctx, &c.plan.Calls[at])
			ended <- struct{}{}
		}()
	}
	for range c.plan.Calls {
		<-ended
	}
	close(c.lines)
	<-written
	return out.Close()
}

// keepCalling makes calls at their rate, evenly spread with some chance in it,
// and waits for the last ones.
func (c *clients) keepCalling(ctx context.Context, calls *Calls) {
	ends, open, number := make(chan struct{}, 4096), 0, 0
	gap := func() time.Duration { return time.Duration(rand.ExpFloat64() / calls.PerS * float64(time.Second)) }
	next := time.NewTimer(gap())
	for coming := true; coming || open > 0; {
		select {
		case <-ctx.Done():
			if coming {
				coming = false
				ctx = context.Background()
			}
		case <-ends:
			open--
		case <-next.C:
			if !coming {
				continue
			}
			number++
			open++
			tag := fmt.Sprintf("%s%s-%d", c.plan.Name, calls.Path, number)
			go func() {
				if calls.Model {
					c.stream(calls, tag)
				} else {
					c.book(calls, tag)
				}
				ends <- struct{}{}
			}()
			next.Reset(gap())
		}
	}
}
