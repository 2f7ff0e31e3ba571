package applequay

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// platformNames are names that only the adapter to the platform may hold.
var platformNames = []string{
	"Applequay-Attempt-Id", "Applequay-Server-Seal", "Applequay-Not-Run", "Applequay-Expect-", "Applequay-Instance", "Applequay-Urgency",
	"Applequay-Weight-Versions", "Applequay-Model", "Applequay-Token-Count", "Applequay-Prompt-Prefix",
	"\"PathPrefix", "GapTargetMs", "LoadRateS", "AdapterMb", "WeightsMb", "MaxConns", "CallSeq", "HeaderTimeoutMs", "IdleTimeoutMs", "\"Backends\"",
	"/v1/config", "/v1/report", "/instances", "APPLEQUAY_BOOT", "ProviderApi", "PortRange", "PageToken", "NextToken", "ColdLeftMs", "RemainingMs",
	"FaultBudget", "SeedLagS", "ReuseAfterS", "CatchUpS", "LossSlackMs", "RevertSlackMs", "RetryWindowS", "CeilingWindowS",
}

// nameless are the places where those names may stand all the same.
func nameless(path string) bool {
	return strings.HasPrefix(path, "platform/") || strings.HasPrefix(path, "docs/") || strings.HasPrefix(path, "deploy") || path == "platform_test.go"
}

func TestOnlyThePlatformKnowsItsNames(t *testing.T) {
	c := qt.New(t)
	read := 0
	err := filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() {
			if path != "." && strings.HasPrefix(entry.Name(), ".") {
				return filepath.SkipDir
			}
			return nil
		}
		if nameless(path) || !slices.Contains([]string{".go", ".avsc", ".sh", ".json", ".toml", ".yaml"}, filepath.Ext(path)) {
			return nil
		}
		body, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		read++
		for _, name := range platformNames {
			c.Check(strings.Contains(string(body), name), qt.IsFalse, qt.Commentf("%s names %s", path, name))
		}
		return nil
	})
	c.Assert(err, qt.IsNil)
	c.Assert(read > 20, qt.IsTrue)
}

// platformUses are the packages that the adapter may import: what carries
// messages, tables and settings. Of some it may only name what is listed.
var platformUses = map[string][]string{
	"applequay/internal/transport/wire":         nil,
	"applequay/internal/configuration":          nil,
	"applequay/internal/settings":               nil,
	"applequay/internal/controlplane/adminapi":  {"Policies"},
	"applequay/internal/controlplane/eventloop": {"Loop"},
	"applequay/internal/controlplane/orders":    nil,
	"applequay/internal/controlplane/register":  {"Outcome", "FateDone", "FateStale", "FateNone", "FateUnknown"},
}

// mayUse tells whether a file of the folder may import a package. The stand-ins,
// which are no part of what runs there, may use the model of a worker and the
// judge of histories too.
func mayUse(file, path string) bool {
	_, listed := platformUses[path]
	if strings.HasPrefix(file, "platform/stand/") && slices.Contains([]string{"applequay/internal/workermodel", "applequay/internal/simulation/history"}, path) {
		return true
	}
	return listed || !strings.HasPrefix(path, "applequay/") || strings.HasPrefix(path, "applequay/platform") || strings.HasSuffix(path, "/protocol")
}

// The adapter translates: it imports nothing that decides.
func TestThePlatformDecidesNothing(t *testing.T) {
	c := qt.New(t)
	seen := 0
	for _, path := range sources(c) {
		if !strings.HasPrefix(path, "platform/") || strings.HasSuffix(path, "_test.go") {
			continue
		}
		seen++
		parsed, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		c.Assert(err, qt.IsNil)
		narrow := map[string][]string{}
		for _, spec := range parsed.Imports {
			used := strings.Trim(spec.Path.Value, `"`)
			c.Check(mayUse(path, used), qt.IsTrue, qt.Commentf("%s imports %s", path, used))
			if names := platformUses[used]; names != nil {
				narrow[filepath.Base(used)] = names
				c.Check(spec.Name, qt.IsNil, qt.Commentf("%s gives %s another name", path, used))
			}
		}
		ast.Inspect(parsed, func(node ast.Node) bool {
			picked, ok := node.(*ast.SelectorExpr)
			if !ok {
				return true
			}
			if of, ok := picked.X.(*ast.Ident); ok && of.Obj == nil && narrow[of.Name] != nil {
				c.Check(slices.Contains(narrow[of.Name], picked.Sel.Name), qt.IsTrue, qt.Commentf("%s uses %s.%s", path, of.Name, picked.Sel.Name))
			}
			return true
		})
	}
	c.Assert(seen > 0, qt.IsTrue)
}
