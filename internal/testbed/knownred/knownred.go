// Package knownred judges a run of the tests by the list of those that are known
// to fail: only a test on that list may fail, and each such failure is shown.
package knownred

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
)

// MaxEntries is how many tests may be listed at once.
const MaxEntries = 3

// Entry is one line of the list: a test that fails for a known cause, and the
// issue under which it is to be mended.
type Entry struct {
	Test, Cause, Issue string
}

// String is the entry as it stands in the list.
func (e Entry) String() string { return e.Test + ": " + e.Cause + ", " + e.Issue }

var entryForm = regexp.MustCompile(`^(Test[A-Za-z0-9_]+): (\S.*), (issue [0-9]+)$`)

// Parse reads a list, one entry a line in the form "TestName: cause, issue 16".
// An empty list has no entries. It fails where a line has another form, a test is
// listed twice, or more than MaxEntries are listed.
func Parse(text string) ([]Entry, error) {
	var entries []Entry
	for at, line := range strings.Split(strings.TrimRight(text, "\n"), "\n") {
		if line == "" {
			continue
		}
		found := entryForm.FindStringSubmatch(line)
		if found == nil {
			return nil, fmt.Errorf("line %d: %q is not of the form \"TestName: cause, issue 16\"", at+1, line)
		}
		entry := Entry{Test: found[1], Cause: found[2], Issue: found[3]}
		if slices.ContainsFunc(entries, func(other Entry) bool { return other.Test == entry.Test }) {
			return nil, fmt.Errorf("line %d: %s is listed twice", at+1, entry.Test)
		}
		entries = append(entries, entry)
	}
	if len(entries) > MaxEntries {
		return nil, fmt.Errorf("%d tests are listed, at most %d may be", len(entries), MaxEntries)
	}
	return entries, nil
}
