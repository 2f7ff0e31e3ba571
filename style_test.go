// Package applequay holds the checks of house style.
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

const mostLines = 250

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

func TestFilesAreShort(t *testing.T) {
	c := qt.New(t)
	for _, path := range sources(c) {
		body, err := os.ReadFile(path)
		c.Assert(err, qt.IsNil)
		lines := strings.Count(string(body), "\n")
		c.Check(lines <= mostLines, qt.IsTrue, qt.Commentf("%s has %d lines", path, lines))
	}
}

// forbidden says what may not be named, and where it may all the same.
var forbidden = []struct{ what, except string }{
	{"sync." + "Mutex", ""}, {"sync." + "RWMutex", ""}, {"sync." + "Cond", ""},
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

func TestPublicFunctionsHaveExamples(t *testing.T) {
	c := qt.New(t)
	for _, path := range sources(c) {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ParseComments)
		c.Assert(err, qt.IsNil)
		for _, decl := range parsed.Decls {
			function, ok := decl.(*ast.FuncDecl)
			if !ok || !function.Name.IsExported() || function.Name.Name == "ServeHTTP" || ofHiddenType(function) {
				continue
			}
			c.Check(strings.Contains(function.Doc.Text(), "\n\t"), qt.IsTrue, qt.Commentf("%s: %s has no example", path, function.Name.Name))
		}
	}
}

// ofHiddenType tells whether a function is a method of a type that other
// packages cannot name.
func ofHiddenType(function *ast.FuncDecl) bool {
	if function.Recv == nil {
		return false
	}
	of := function.Recv.List[0].Type
	if star, ok := of.(*ast.StarExpr); ok {
		of = star.X
	}
	name, ok := of.(*ast.Ident)
	return ok && !name.IsExported()
}
