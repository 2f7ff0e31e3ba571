package knownred

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// event is one line of "go test -json", or the line that the client adds at the
// end to tell the exit status of go test.
type event struct {
	Action, Package, Test, Output, FailedBuild string
	Status                                     int
}

const (
	actionOutput      = "output"
	actionBuildOutput = "build-output"
	actionPass        = "pass"
	actionFail        = "fail"
	actionExit        = "exit"
)

// endedInOrder is what a test binary prints when it failed but ran all its tests;
// one that panicked, was killed or ran out of time does not print it.
const endedInOrder = "FAIL\n"

// longestEvent bounds one line of events.
const longestEvent = 16 << 20

// Verdict is what a run of the tests came to.
type Verdict struct {
	// Faults are the reasons for which the run fails; none if it passes.
	Faults []string
	// PassedOver are the listed tests that failed, Mended those that passed.
	PassedOver, Mended []Entry
}

// Passes tells whether the run passes.
func (v *Verdict) Passes() bool { return len(v.Faults) == 0 }

// run is what was heard of one package.
type run struct {
	// passed and failed are tests by name, without subtests.
	passed, failed map[string]bool
	output         map[string]*strings.Builder
	ordered        bool
	fails          bool
}

// judge gathers the events of all packages.
type judge struct {
	show     io.Writer
	packages map[string]*run
	exited   bool
	status   int
}

// Judge reads the events of "go test -json", followed by {"Action":"exit",
// "Status":N} with go test's exit status, and judges them by the entries. It
// shows the line of each package and the output of each test that fails. In a
// partial run listed tests may be missing.
func Judge(events io.Reader, entries []Entry, partial bool, show io.Writer) (*Verdict, error) {
	j := &judge{show: show, packages: map[string]*run{}}
	lines := bufio.NewScanner(events)
	lines.Buffer(nil, longestEvent)
	for lines.Scan() {
		var heard event
		if err := json.Unmarshal(lines.Bytes(), &heard); err != nil {
			return nil, fmt.Errorf("not an event of go test -json: %q: %w", lines.Text(), err)
		}
		if err := j.hear(heard); err != nil {
			return nil, err
		}
	}
	if err := lines.Err(); err != nil {
		return nil, err
	}
	return j.verdict(entries, partial), nil
}

// hear takes one event.
func (j *judge) hear(heard event) error {
	switch heard.Action {
	case actionExit:
		j.exited, j.status = true, heard.Status
		return nil
	case actionBuildOutput:
		return j.print(heard.Output)
	}
	if heard.Package == "" {
		return nil
	}
	of := j.packages[heard.Package]
	if of == nil {
		of = &run{passed: map[string]bool{}, failed: map[string]bool{}, output: map[string]*strings.Builder{}}
		j.packages[heard.Package] = of
	}
	if heard.Test == "" {
		return j.hearPackage(of, heard)
	}
	return j.hearTest(of, heard)
}

// hearPackage takes an event of a package as a whole.
func (j *judge) hearPackage(of *run, heard event) error {
	switch heard.Action {
	case actionFail:
		of.fails = true
	case actionOutput:
		of.ordered = of.ordered || heard.Output == endedInOrder
		if heard.Output != endedInOrder && heard.Output != "PASS\n" {
			return j.print(heard.Output)
		}
	}
	return nil
}

// hearTest takes an event of a test; what subtests print goes with their test.
func (j *judge) hearTest(of *run, heard event) error {
	name, _, isSubtest := strings.Cut(heard.Test, "/")
	switch heard.Action {
	case actionOutput:
		if of.output[name] == nil {
			of.output[name] = &strings.Builder{}
		}
		of.output[name].WriteString(heard.Output)
	case actionPass:
		if !isSubtest {
			of.passed[name] = true
			delete(of.output, name)
		}
	case actionFail:
		if !isSubtest {
			of.failed[name] = true
			return j.print(of.printed(name))
		}
	}
	return nil
}

// printed is what a test printed.
func (r *run) printed(test string) string {
	if r.output[test] == nil {
		return ""
	}
	return r.output[test].String()
}

func (j *judge) print(text string) error {
	_, err := io.WriteString(j.show, text)
	return err
}

// verdict adds up what was heard.
func (j *judge) verdict(entries []Entry, partial bool) *Verdict {
	v := &Verdict{}
	anyFails := false
	for _, name := range slices.Sorted(maps.Keys(j.packages)) {
		if of := j.packages[name]; of.fails {
			anyFails = true
			v.Faults = append(v.Faults, of.faults(name, entries)...)
		}
	}
	switch {
	case !j.exited:
		v.Faults = append(v.Faults, "the run of go test was cut short")
	case j.status != 0 && !anyFails:
		v.Faults = append(v.Faults, fmt.Sprintf("go test ended with status %d, and no package failed", j.status))
	case len(j.packages) == 0:
		v.Faults = append(v.Faults, "no package was tested")
	}
	for _, entry := range entries {
		j.weigh(v, entry, partial)
	}
	return v
}

// faults are the reasons for which a package that failed lets the run fail.
func (r *run) faults(name string, entries []Entry) []string {
	var faults []string
	for _, test := range slices.Sorted(maps.Keys(r.failed)) {
		if !slices.ContainsFunc(entries, func(entry Entry) bool { return entry.Test == test }) {
			faults = append(faults, name+": "+test+" fails")
		}
	}
	switch {
	case len(r.failed) == 0:
		faults = append(faults, name+": fails without a failing test")
	case !r.ordered:
		faults = append(faults, name+": broke off, so that not all its tests ran")
	}
	return faults
}

// weigh says what became of a listed test.
func (j *judge) weigh(v *Verdict, entry Entry, partial bool) {
	passed, failed := 0, 0
	for _, of := range j.packages {
		if of.passed[entry.Test] {
			passed++
		}
		if of.failed[entry.Test] {
			failed++
		}
	}
	switch {
	case passed+failed > 1:
		v.Faults = append(v.Faults, entry.Test+" is listed, and several packages have a test of that name")
	case failed == 1:
		v.PassedOver = append(v.PassedOver, entry)
	case passed == 1:
		v.Mended = append(v.Mended, entry)
	case !partial:
		v.Faults = append(v.Faults, entry.Test+" is listed, and no such test ran")
	}
}
