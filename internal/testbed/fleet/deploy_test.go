package fleet

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

var (
	buildLine = regexp.MustCompile(`(?m)^build = "(.*)"$`)
	runLine   = regexp.MustCompile(`(?m)^run = "(\S+).*"$`)
)

// root is the folder of the whole project.
const root = "../../.."

// Guards against FAULT: where git refuses the checkout (it belongs to another user, or
// its folder of git is not whole) the build of the deploy file failed, and nothing started.
func TestDeployFileBuildsWhereGitRefuses(t *testing.T) {
	c := qt.New(t)
	deploy, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	c.Assert(err, qt.IsNil)
	build := buildLine.FindStringSubmatch(string(deploy))
	c.Assert(build, qt.HasLen, 2)
	checkout := c.TempDir()
	for _, folder := range []string{"cmd", "coordination", "internal", "platform"} {
		c.Assert(os.CopyFS(filepath.Join(checkout, folder), os.DirFS(filepath.Join(root, folder))), qt.IsNil)
	}
	for _, file := range []string{"go.mod", "go.sum"} {
		body, failed := os.ReadFile(filepath.Join(root, file))
		c.Assert(failed, qt.IsNil)
		c.Assert(os.WriteFile(filepath.Join(checkout, file), body, 0o600), qt.IsNil)
	}
	c.Assert(os.Mkdir(filepath.Join(checkout, ".git"), 0o700), qt.IsNil)
	command := exec.Command("sh", "-c", build[1])
	command.Dir = checkout
	command.Env = append(withoutGoSettings(os.Environ()), "GOENV=off", "GOFLAGS=")
	said, err := command.CombinedOutput()
	c.Assert(err, qt.IsNil, qt.Commentf("%s", said))
	runs := runLine.FindAllStringSubmatch(string(deploy), -1)
	c.Assert(len(runs) > 0, qt.IsTrue)
	for _, run := range runs {
		_, failed := os.Stat(filepath.Join(checkout, run[1]))
		c.Check(failed, qt.IsNil)
	}
}

// withoutGoSettings is an environment without the settings that change what go build does.
func withoutGoSettings(environment []string) []string {
	return slices.DeleteFunc(environment, func(one string) bool {
		return strings.HasPrefix(one, "GOFLAGS=") || strings.HasPrefix(one, "GOENV=")
	})
}
