package applequay

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"applequay/internal/testbed/fleet"
)

var (
	testName      = regexp.MustCompile("`(Test[A-Za-z]+)`")
	codeName      = regexp.MustCompile("`([a-z]+)\\.([A-Za-z]+)`")
	scenarioNames = regexp.MustCompile("scenarios? ([a-z, -]+)")
)

// Each row of the brief's table names only tests, scenarios and code that exist.
func TestBrief(t *testing.T) {
	c := qt.New(t)
	body, err := os.ReadFile("docs/brief.md")
	c.Assert(err, qt.IsNil)
	var tests, code strings.Builder
	for _, path := range sources(c) {
		text, err := os.ReadFile(path)
		c.Assert(err, qt.IsNil)
		if strings.HasSuffix(path, "_test.go") {
			_, _ = tests.Write(text)
		} else {
			_, _ = code.WriteString(filepath.Dir(path) + "\n")
			_, _ = code.Write(text)
		}
	}
	var scenarios []string
	for _, one := range fleet.Scenarios() {
		scenarios = append(scenarios, one.Name)
	}
	checked := 0
	for _, row := range strings.Split(string(body), "\n") {
		if !strings.HasPrefix(row, "|") {
			continue
		}
		for _, found := range testName.FindAllStringSubmatch(row, -1) {
			checked++
			c.Check(strings.Contains(tests.String(), "func "+found[1]+"("), qt.IsTrue, qt.Commentf("no test %s", found[1]))
		}
		for _, found := range codeName.FindAllStringSubmatch(row, -1) {
			declared := regexp.MustCompile("(?m)^(func|type)( \\([^)]*\\))? " + found[2] + "\\b")
			c.Check(slices.Contains([]string{"mod", "sh"}, found[2]) || declared.MatchString(code.String()), qt.IsTrue, qt.Commentf("no %s.%s", found[1], found[2]))
		}
		for _, found := range scenarioNames.FindAllStringSubmatch(row, -1) {
			for _, name := range strings.FieldsFunc(strings.ReplaceAll(found[1], " and ", ","), func(r rune) bool { return r == ',' }) {
				if name = strings.TrimSpace(name); name != "" {
					checked++
					c.Check(slices.Contains(scenarios, name), qt.IsTrue, qt.Commentf("no scenario %q", name))
				}
			}
		}
	}
	c.Check(checked > 100, qt.IsTrue, qt.Commentf("%d names", checked))
}
