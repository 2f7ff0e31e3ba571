package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"applequay/internal/controlplane/adminapi"
)

// doctorCommand asks a node for common faults. It ends with 0 if there are
// none, 1 if there are, 2 if no node could be asked.
func (c *client) doctorCommand() *ffcli.Command {
	set := flag.NewFlagSet("doctor", flag.ContinueOnError)
	asJSON := set.Bool("json", false, "answer in JSON")
	return &ffcli.Command{Name: "doctor", ShortHelp: "look for common faults", FlagSet: set, Exec: func(ctx context.Context, _ []string) error {
		var told struct {
			Node     string             `json:"node"`
			Findings []adminapi.Finding `json:"findings"`
		}
		if err := c.fetch(ctx, "/v1/doctor", &told); err != nil {
			return err
		}
		if *asJSON {
			body, err := json.MarshalIndent(told, "", "  ")
			if err != nil {
				return err
			}
			_, _ = fmt.Fprintln(c.out, string(body))
		} else {
			c.print(told.Node, told.Findings)
		}
		if len(told.Findings) > 0 {
			return errRefused
		}
		return nil
	}}
}

func (c *client) print(node string, findings []adminapi.Finding) {
	if len(findings) == 0 {
		_, _ = fmt.Fprintf(c.out, "%s finds nothing wrong\n", node)
		return
	}
	for _, finding := range findings {
		_, _ = fmt.Fprintf(c.out, "%s: %s\n  seen: %s\n  do:   %s\n", finding.What, finding.Where, finding.Evidence, finding.Do)
	}
}

// fetch reads a page from the first node that answers.
func (c *client) fetch(ctx context.Context, path string, into any) error {
	var last error
	for _, node := range strings.Split(c.nodes, ",") {
		status, body, err := c.one(ctx, strings.TrimSpace(node), http.MethodGet, path, nil)
		switch {
		case err != nil:
			last = err
		case status != http.StatusOK:
			last = fmt.Errorf("%s answered %d", node, status)
		default:
			return json.Unmarshal(body, into)
		}
	}
	return fmt.Errorf("no node answers: %w", last)
}
