package knownred

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestParse(t *testing.T) {
	const one, two, three = "TestA: a cause, with a comma, issue 16\n", "TestB: b, issue 17\n", "TestC_1: c, issue 18\n"
	for _, test := range []struct {
		name, text string
		entries    int
		fault      string
	}{
		{"an empty list", "", 0, ""},
		{"an empty line", "\n", 0, ""},
		{"one", one, 1, ""},
		{"three, and no end of line", one + two + strings.TrimSpace(three), 3, ""},
		{"four", one + two + three + "TestD: d, issue 19\n", 0, "4 tests are listed, at most 3 may be"},
		{"one twice", one + "TestA: again, issue 17\n", 0, "line 2: TestA is listed twice"},
		{"no test", "a cause, issue 16\n", 0, "line 1: .*is not of the form.*"},
		{"a subtest", "TestA/x: a cause, issue 16\n", 0, "line 1: .*is not of the form.*"},
		{"no cause", "TestA: , issue 16\n", 0, "line 1: .*is not of the form.*"},
		{"no issue", one + "TestB: a cause\n", 0, "line 2: .*is not of the form.*"},
		{"an issue without number", "TestA: a cause, issue\n", 0, "line 1: .*is not of the form.*"},
		{"a pattern for many", "Test.*: a cause, issue 16\n", 0, "line 1: .*is not of the form.*"},
		{"a remark", "# none\n", 0, "line 1: .*is not of the form.*"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			entries, err := Parse(test.text)
			if test.fault != "" {
				c.Check(err, qt.ErrorMatches, test.fault)
				return
			}
			c.Assert(err, qt.IsNil)
			c.Check(entries, qt.HasLen, test.entries)
		})
	}
	entries, err := Parse(one)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, entries[0], qt.Equals, Entry{Test: "TestA", Cause: "a cause, with a comma", Issue: "issue 16"})
	qt.Check(t, entries[0].String()+"\n", qt.Equals, one)
}

// Events as go test prints them, for packages a and b.
const (
	aPasses = `{"Action":"run","Package":"a","Test":"TestA"}
{"Action":"output","Package":"a","Test":"TestA","Output":"=== RUN   TestA\n"}
{"Action":"pass","Package":"a","Test":"TestA"}
{"Action":"output","Package":"a","Output":"PASS\n"}
{"Action":"output","Package":"a","Output":"ok  \ta\t0.1s\n"}
{"Action":"pass","Package":"a"}
`
	aFails = `{"Action":"run","Package":"a","Test":"TestA"}
{"Action":"output","Package":"a","Test":"TestA/sub","Output":"a_test.go:4: seen\n"}
{"Action":"fail","Package":"a","Test":"TestA/sub"}
{"Action":"output","Package":"a","Test":"TestA","Output":"--- FAIL: TestA (0.00s)\n"}
{"Action":"fail","Package":"a","Test":"TestA"}
`
	aBesides = `{"Action":"output","Package":"a","Test":"TestBesides","Output":"--- FAIL: TestBesides (0.00s)\n"}
{"Action":"fail","Package":"a","Test":"TestBesides"}
`
	aSkips   = `{"Action":"skip","Package":"a","Test":"TestA"}` + "\n"
	aOrdered = `{"Action":"output","Package":"a","Output":"FAIL\n"}` + "\n"
	aEnds    = `{"Action":"output","Package":"a","Output":"FAIL\ta\t0.1s\n"}
{"Action":"fail","Package":"a"}
`
	bPasses = `{"Action":"pass","Package":"b","Test":"TestB"}
{"Action":"output","Package":"b","Output":"ok  \tb\t0.1s\n"}
{"Action":"pass","Package":"b"}
`
	bAlsoA = `{"Action":"pass","Package":"b","Test":"TestA"}
{"Action":"pass","Package":"b"}
`
	bNotBuilt = `{"ImportPath":"b [b.test]","Action":"build-output","Output":"b_test.go:3: undefined: x\n"}
{"ImportPath":"b [b.test]","Action":"build-fail"}
{"Action":"output","Package":"b","Output":"FAIL\tb [build failed]\n"}
{"Action":"fail","Package":"b","FailedBuild":"b [b.test]"}
`
	status0 = `{"Action":"exit","Status":0}` + "\n"
	status1 = `{"Action":"exit","Status":1}` + "\n"
)

func TestJudge(t *testing.T) {
	known := []Entry{{Test: "TestA", Cause: "a cause", Issue: "issue 16"}}
	for _, test := range []struct {
		name, events       string
		entries            []Entry
		partial            bool
		passedOver, mended int
		fault              string
		shown              string
	}{
		{name: "all pass, none is listed", events: aPasses + bPasses + status0, shown: "ok  \ta\t0.1s"},
		{name: "one fails that is not listed", events: aFails + aOrdered + aEnds + bPasses + status1, fault: "a: TestA fails", shown: "a_test.go:4: seen"},
		{name: "one fails that is listed", events: aFails + aOrdered + aEnds + bPasses + status1, entries: known, passedOver: 1, shown: "--- FAIL: TestA"},
		{name: "another fails besides", events: aFails + aBesides + aOrdered + aEnds + status1, entries: known, passedOver: 1, fault: "a: TestBesides fails"},
		{name: "a listed one passes", events: aPasses + bPasses + status0, entries: known, mended: 1},
		{name: "a listed one panics, and hides those after it", events: aFails + aEnds + status1, entries: known, passedOver: 1, fault: "a: broke off, so that not all its tests ran"},
		{name: "a package fails, and no test", events: aPasses + aEnds + status1, entries: known, mended: 1, fault: "a: fails without a failing test"},
		{name: "a package is not built", events: aFails + aOrdered + aEnds + bNotBuilt + status1, entries: known, passedOver: 1, fault: "b: fails without a failing test", shown: "b_test.go:3: undefined: x"},
		{name: "a listed one is not there", events: bPasses + status0, entries: known, fault: "TestA is listed, and no such test ran"},
		{name: "a listed one is not in a part", events: bPasses + status0, entries: known, partial: true},
		{name: "a listed one is skipped", events: aSkips + aPasses[strings.Index(aPasses, `{"Action":"output","Package":"a","Output":"PASS`):] + status0, entries: known, fault: "TestA is listed, and no such test ran"},
		{name: "two have a listed name", events: aFails + aOrdered + aEnds + bAlsoA + status1, entries: known, fault: "TestA is listed, and several packages have a test of that name"},
		{name: "one fails without a word", events: `{"Action":"fail","Package":"a","Test":"TestA"}` + "\n" + aOrdered + aEnds + status1, entries: known, passedOver: 1},
		{name: "go test fails by itself", events: bPasses + status1, fault: "go test ended with status 1, and no package failed"},
		{name: "go test is killed", events: aPasses, fault: "the run of go test was cut short"},
		{name: "nothing is tested", events: status0, fault: "no package was tested"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var shown strings.Builder
			verdict, err := Judge(strings.NewReader(test.events), test.entries, test.partial, &shown)
			c.Assert(err, qt.IsNil)
			c.Check(verdict.Passes(), qt.Equals, test.fault == "")
			c.Check(strings.Join(verdict.Faults, "; "), qt.Equals, test.fault)
			c.Check(verdict.PassedOver, qt.HasLen, test.passedOver)
			c.Check(verdict.Mended, qt.HasLen, test.mended)
			c.Check(strings.Contains(shown.String(), test.shown), qt.IsTrue, qt.Commentf("%s", shown.String()))
		})
	}
	_, err := Judge(strings.NewReader("not an event\n"), nil, false, &strings.Builder{})
	qt.Check(t, err, qt.ErrorMatches, "not an event of go test -json.*")
}
