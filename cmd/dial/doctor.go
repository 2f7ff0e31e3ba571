package main

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func (c *caller) doctorCommand() *ffcli.Command {
	return &ffcli.Command{Name: "doctor", ShortHelp: "look for common faults", Exec: func(ctx context.Context, _ []string) error {
		return c.ask(ctx, "GET", "/v1/standing", nil)
	}}
}
