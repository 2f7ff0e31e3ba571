// Command applequayctl is the operators' command line: it reaches any node and gets
// the same answer from each.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// Exit statuses: 1 the node refused or the doctor found something, 2 the words
// are wrong or nobody could be asked.
const (
	exitRefused = 1
	exitAsk     = 2
)

// refused is a node's own "no"; its body was printed.
var errRefused = errors.New("refused")

type client struct {
	nodes  string
	wait   time.Duration
	client *http.Client
	out    io.Writer
}

func main() {
	c := &client{client: &http.Client{}, out: os.Stdout}
	root := c.commands()
	err := root.ParseAndRun(context.Background(), os.Args[1:])
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
	case errors.Is(err, errRefused):
		os.Exit(exitRefused)
	default:
		_, _ = fmt.Fprintln(os.Stderr, "applequayctl:", err)
		os.Exit(exitAsk)
	}
}

func (c *client) commands() *ffcli.Command {
	set := flag.NewFlagSet("applequayctl", flag.ContinueOnError)
	set.StringVar(&c.nodes, "nodes", "127.0.0.1:7100", "addresses of nodes, with commas: the first that answers is asked")
	set.DurationVar(&c.wait, "wait", 10*time.Second, "how long a node may take")
	options := []ff.Option{ff.WithEnvVarPrefix("DIAL")}
	root := &ffcli.Command{ShortUsage: "applequayctl [-nodes a,b] <command>", FlagSet: set, Options: options, Exec: func(context.Context, []string) error { return flag.ErrHelp }}
	for _, page := range []struct{ name, help string }{
		{"openings", "openings, and what of each stands ready"}, {"homes", "which worker holds which model"},
		{"members", "nodes, and how they stand"}, {"core", "the core set, and who owns which partition"}, {"standing", "how the node asked stands"},
	} {
		root.Subcommands = append(root.Subcommands, &ffcli.Command{Name: page.name, ShortHelp: page.help, Exec: func(ctx context.Context, _ []string) error {
			return c.ask(ctx, http.MethodGet, "/v1/"+page.name, nil)
		}})
	}
	root.Subcommands = append(root.Subcommands,
		&ffcli.Command{Name: "drain", ShortHelp: "drain the node asked, and stop it", Exec: func(ctx context.Context, _ []string) error {
			return c.ask(ctx, http.MethodPost, "/v1/drain", nil)
		}},
		c.policyCommands(), c.doctorCommand())
	return root
}

func (c *client) policyCommands() *ffcli.Command {
	change := func(name, method, help string) *ffcli.Command {
		set := flag.NewFlagSet(name, flag.ContinueOnError)
		file := set.String("file", "-", "file with the JSON, - for standard input")
		form := set.String("form", "", "native or objects; by the file's ending if empty")
		version := set.Int64("expected", -1, "mark that the policy must have; -1 for any")
		var zones *string
		var pause, halt *int64
		if method == http.MethodPut {
			zones = set.String("rollout", "", "zones, with commas, to which the policy goes in turn; everywhere at once if empty")
			pause = set.Int64("pause-ms", 30000, "how long a zone is watched before the next")
			halt = set.Int64("halt-percent", 5, "by how many in a hundred more calls may end badly there than elsewhere")
		}
		return &ffcli.Command{Name: name, ShortHelp: help, FlagSet: set, Exec: func(ctx context.Context, _ []string) error {
			body, err := readFile(*file)
			if err != nil {
				return err
			}
			query := url.Values{}
			if *version >= 0 {
				query.Set("expected", fmt.Sprint(*version))
			}
			if *form == "objects" || (*form == "" && (strings.HasSuffix(*file, ".yaml") || strings.HasSuffix(*file, ".yml"))) {
				query.Set("form", "objects")
			}
			if zones != nil && *zones != "" {
				query.Set("rollout", *zones)
				query.Set("pause_ms", fmt.Sprint(*pause))
				query.Set("halt_percent", fmt.Sprint(*halt))
			}
			return c.ask(ctx, method, "/v1/policy?"+query.Encode(), body)
		}}
	}
	return &ffcli.Command{Name: "policy", ShortUsage: "applequayctl policy get|set|patch|halt", ShortHelp: "the policy and its mark",
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
		Subcommands: []*ffcli.Command{
			{Name: "get", ShortHelp: "show the policy", Exec: func(ctx context.Context, _ []string) error { return c.ask(ctx, http.MethodGet, "/v1/policy", nil) }},
			change("set", http.MethodPut, "replace the policy"),
			change("patch", http.MethodPatch, "change entries by name"),
			{Name: "halt", ShortHelp: "halt a roll-out: all fronts go by the old policy", Exec: func(ctx context.Context, _ []string) error {
				return c.ask(ctx, http.MethodPost, "/v1/policy/halt", nil)
			}},
		}}
}

func readFile(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(name)
}

// ask goes through the nodes until one answers. A change that may have reached
// a node is not sent to another.
func (c *client) ask(ctx context.Context, method, path string, body []byte) error {
	var last error
	for _, node := range strings.Split(c.nodes, ",") {
		status, answer, err := c.one(ctx, strings.TrimSpace(node), method, path, body)
		if err != nil {
			last = err
			if method != http.MethodGet && !strings.Contains(err.Error(), "connection refused") {
				return fmt.Errorf("%s may have taken the change: %w", node, err)
			}
			continue
		}
		_, _ = c.out.Write(indent(answer))
		if status >= 300 {
			return errRefused
		}
		return nil
	}
	return fmt.Errorf("no node answers: %w", last)
}

func (c *client) one(ctx context.Context, node, method, path string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.wait)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+node+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	answer, err := c.client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = answer.Body.Close() }()
	told, err := io.ReadAll(answer.Body)
	return answer.StatusCode, told, err
}

func indent(body []byte) []byte {
	var out bytes.Buffer
	if json.Indent(&out, bytes.TrimSpace(body), "", "  ") != nil {
		return body
	}
	out.WriteByte('\n')
	return out.Bytes()
}
