// Package applequay holds the checks of the code that no linter knows.
package applequay

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// sources lists the Go files that people write.
func sources(c *qt.C) []string {
	var out []string
	err := filepath.WalkDir(".", func(path string, _ fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_gen.go") {
			out = append(out, path)
		}
		return nil
	})
	c.Assert(err, qt.IsNil)
	c.Assert(len(out) > 20, qt.IsTrue)
	return out
}

// forbidden says what may not be named, and where it may all the same: daemons
// start no other programs, and nothing goes round the type system.
var forbidden = []struct{ what, except string }{
	{"\"os/" + "exec\"", "internal/testbed/fleet"},
	{"\"uns" + "afe\"", ""},
}

func TestNothingForbidden(t *testing.T) {
	c := qt.New(t)
	for _, path := range sources(c) {
		body, err := os.ReadFile(path)
		c.Assert(err, qt.IsNil)
		for _, rule := range forbidden {
			if rule.except == "" || !strings.HasPrefix(path, rule.except) {
				c.Check(strings.Contains(string(body), rule.what), qt.IsFalse, qt.Commentf("%s names %s", path, rule.what))
			}
		}
		if strings.HasSuffix(path, "_test.go") {
			c.Check(strings.Contains(string(body), "time."+"Sleep("), qt.IsFalse, qt.Commentf("%s sleeps", path))
		}
	}
}

// pure packages hold machines: no clock, no I/O, no goroutine, no unseeded
// randomness.
var pure = []string{
	"internal/controlplane/register", "internal/controlplane/lease", "internal/controlplane/partition",
	"internal/controlplane/membership", "internal/controlplane/distribution", "internal/controlplane/controller",
	"internal/controlplane/agent", "internal/controlplane/idempotency", "internal/workermodel",
}

func TestMachinesArePure(t *testing.T) {
	c := qt.New(t)
	for _, folder := range pure {
		files, err := filepath.Glob(folder + "/*.go")
		c.Assert(err, qt.IsNil)
		c.Assert(len(files) > 0, qt.IsTrue)
		for _, path := range files {
			if strings.HasSuffix(path, "_test.go") {
				continue
			}
			parsed, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			c.Assert(err, qt.IsNil)
			for _, spec := range parsed.Imports {
				switch strings.Trim(spec.Path.Value, `"`) {
				case "time", "os", "net", "net/http", "sync", "crypto/rand", "io":
					c.Errorf("%s imports %s", path, spec.Path.Value)
				}
			}
			ast.Inspect(parsed, func(node ast.Node) bool {
				if _, ok := node.(*ast.GoStmt); ok {
					c.Errorf("%s starts a goroutine", path)
				}
				return true
			})
		}
	}
}
