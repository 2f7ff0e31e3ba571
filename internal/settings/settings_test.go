package settings

import (
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestSettings(t *testing.T) {
	c := qt.New(t)
	good := "-name c1 -zone z -listen 127.0.0.1:7100 -core 127.0.0.1:7100 -data " + c.TempDir() + " -directory 127.0.0.1:7900"
	cases := []struct {
		name, args string
		faults     []string
	}{
		{"good", good, nil},
		{"all faults at once", "-listen nowhere:1 -lease-ms 100 -core 127.0.0.1:0 -data /dev/null", []string{"name: ", "zone: ", "lease-ms: ", "listen: ", "advertise: ", "directory: ", "core: ", "data: ", "call-ms: "}},
		{"unknown flag", good + " -colour red", []string{"flag provided but not defined"}},
		{"not a number", good + " -lease-ms soon", []string{"invalid value"}},
		{"words left over", good + " start", []string{"unknown words"}},
		{"a name that ids cannot hold", strings.Replace(good, "c1", "c~1", 1), []string{"name: "}},
		{"calls longer than grants", good + " -call-ms 4000", []string{"call-ms: "}},
	}
	for _, one := range cases {
		c.Run(one.name, func(c *qt.C) {
			_, faults := Read("controller", PartNode|PartDisk, strings.Fields(one.args), io.Discard)
			c.Assert(faults, qt.HasLen, len(one.faults), qt.Commentf("%q", faults))
			for at, fault := range one.faults {
				c.Check(strings.Contains(faults[at], fault), qt.IsTrue, qt.Commentf("%q", faults[at]))
			}
		})
	}
}

// An agent needs what a controller needs only where it is one too.
func TestOptionalDisk(t *testing.T) {
	c := qt.New(t)
	const bare = "-name l1 -zone z -listen 127.0.0.1:7200 -proxy 127.0.0.1:7300 -seeds 127.0.0.1:7100"
	folder := c.TempDir()
	cases := []struct {
		name, args string
		faults     []string
	}{
		{"no disk", bare, nil},
		{"a disk", bare + " -data " + folder + " -voter-listen 127.0.0.1:7100 -directory 127.0.0.1:7900", nil},
		{"a disk and nothing else", bare + " -data " + folder, []string{"directory: ", "voter-listen: "}},
		{"a folder that is none", bare + " -data /dev/null -voter-listen 127.0.0.1:7100 -directory 127.0.0.1:7900", []string{"data: "}},
	}
	for _, one := range cases {
		c.Run(one.name, func(c *qt.C) {
			_, faults := Read("agent", PartNode|PartLine|PartOptionalDisk, strings.Fields(one.args), io.Discard)
			c.Assert(faults, qt.HasLen, len(one.faults), qt.Commentf("%q", faults))
			for at, fault := range one.faults {
				c.Check(strings.HasPrefix(faults[at], fault), qt.IsTrue, qt.Commentf("%q", faults[at]))
			}
		})
	}
}

func TestSettingsFile(t *testing.T) {
	c := qt.New(t)
	file := filepath.Join(c.TempDir(), "s.json")
	c.Assert(os.WriteFile(file, []byte(`{"name":"l1","zone":"z1","listen":"127.0.0.1:7200","proxy":"127.0.0.1:7300","seeds":"127.0.0.1:7100,127.0.0.1:7101"}`), 0o644), qt.IsNil)
	settings, faults := Read("agent", PartNode|PartLine, []string{"-settings", file, "-zone", "z9"}, io.Discard)
	c.Assert(faults, qt.HasLen, 0)
	c.Check(settings.Name, qt.Equals, "l1")
	c.Check(settings.Zone, qt.Equals, "z9", qt.Commentf("flags go first"))
	c.Check(settings.Seeds, qt.HasLen, 2)
	c.Check(settings.Advertise, qt.Equals, settings.Listen)
}
