package journal

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/samber/oops"
)

// said is what a history wrote down: the records that it was told last, and the
// one, at most, of which it was not told.
type said struct {
	identity string
	sure     []string
	perhaps  string
}

// again tries what a full disk refuses once more, as the writer does.
func again(try func() error) error {
	for {
		err := try()
		if failed, ok := oops.AsOops(err); err == nil || errors.Is(err, errPower) || !ok || failed.Code() != ErrFull {
			return err
		}
	}
}

// history opens a folder, and appends and checkpoints in turn until all is done or
// the power fails. The snapshot of a checkpoint is all records so far.
func history(disk Disk) said {
	var out said
	var kept *Journal
	var found Recovered
	err := again(func() (err error) {
		kept, found, err = Open(disk, "c1~aa", []byte("@"))
		return err
	})
	if err != nil {
		return out
	}
	out.identity = found.Identity
	for _, step := range strings.Fields("one two check three check check four five") {
		if step == "check" {
			err = again(func() error { return kept.Checkpoint([]byte(strings.Join(append([]string{"@"}, out.sure...), " "))) })
		} else {
			out.perhaps = step
			err = again(func() error { return kept.Append(write(step)) })
		}
		if err != nil {
			return out
		}
		if step != "check" {
			out.sure, out.perhaps = append(out.sure, step), ""
		}
	}
	return out
}

func records(found Recovered) []string {
	out := strings.Fields(strings.TrimPrefix(string(found.Snapshot), "@"))
	for _, one := range found.Writes {
		out = append(out, string(one.Body))
	}
	return out
}

// check opens each folder that may be found: it holds all that was acknowledged,
// under the same identity, and goes on from there.
func checkOutcomes(c *qt.C, d *powerDisk, told said, why string) int {
	folders := d.outcomes()
	for _, folder := range folders {
		disk := diskOf(folder)
		kept, found, err := Open(disk, "c1~bb", []byte("@"))
		if err != nil {
			c.Fatalf("%s: cannot start again: %v\n%q", why, err, folder)
		}
		if told.identity != "" && len(told.sure) > 0 && found.Identity != told.identity {
			c.Fatalf("%s: lost its identity\n%q", why, folder)
		}
		sure, perhaps := strings.Join(told.sure, " "), strings.Join(append(slices.Clone(told.sure), told.perhaps), " ")
		got := strings.Join(records(found), " ")
		if got != sure && got != strings.TrimSpace(perhaps) {
			c.Fatalf("%s: has %q, where %q was acknowledged\n%q", why, got, sure, folder)
		}
		if err = kept.Append(write("six")); err != nil {
			c.Fatalf("%s: cannot go on: %v", why, err)
		}
		for name := range disk.pending {
			delete(disk.pending, name)
		}
		_, found, err = Open(diskOf(disk.lasting), "c1~cc", []byte("@"))
		if err != nil || strings.Join(records(found), " ") != strings.TrimSpace(got+" six") {
			c.Fatalf("%s: after going on: %v, has %q", why, err, records(found))
		}
	}
	return len(folders)
}

// Whatever operation a loss of power comes at, and whichever of the unsynced
// changes and names are kept, the folder opens with all that was acknowledged.
func TestPowerLostAnywhere(t *testing.T) {
	c := qt.New(t)
	whole := newPowerDisk(1 << 30)
	c.Assert(history(whole).sure, qt.HasLen, 5)
	folders := 0
	for left := range whole.done + 1 {
		d := newPowerDisk(left)
		told := history(d)
		folders += checkOutcomes(c, d, told, fmt.Sprintf("power lost at operation %d of %d", left, whole.done))
	}
	c.Logf("%d operations, %d folders", whole.done, folders)
}

// A disk that is full for a while, from any operation on, ends nothing and loses
// nothing, whether or not it lets files be cut; nor if the power fails then.
func TestFullAnywhere(t *testing.T) {
	c := qt.New(t)
	whole := newPowerDisk(1 << 30)
	history(whole)
	folders := 0
	for _, cuts := range []bool{false, true} {
		for from := range whole.done {
			full := func(at int, cut bool) bool { return at >= from && at < from+3 && (cuts || !cut) }
			through := newPowerDisk(1 << 30)
			through.refused = full
			c.Assert(history(through).sure, qt.HasLen, 5, qt.Commentf("full from operation %d", from))
			for left := from; left < from+10; left += 3 {
				d := newPowerDisk(left)
				d.refused = full
				told := history(d)
				folders += checkOutcomes(c, d, told, fmt.Sprintf("full at operation %d, power lost at %d", from, left))
			}
		}
	}
	c.Logf("%d folders", folders)
}
