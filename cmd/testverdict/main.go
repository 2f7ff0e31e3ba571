// Command testverdict judges a run of the tests: it reads the events of "go test
// -json" and fails unless all tests pass but those that KNOWN-RED.txt lists.
package main

import (
	"errors"
	"flag"
	"fmt"
	"io/fs"
	"os"

	"applequay/internal/testbed/knownred"
)

func main() {
	list := flag.String("known", "KNOWN-RED.txt", "the list of tests known to fail; it may be absent")
	partial := flag.Bool("partial", false, "not all tests were run: listed ones may be missing")
	flag.Parse()
	if err := judge(*list, *partial); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "testverdict:", err)
		os.Exit(1)
	}
}

// errRed says that the run fails; the reasons were printed.
var errRed = errors.New("the tests fail")

func judge(list string, partial bool) error {
	text, err := os.ReadFile(list)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	entries, err := knownred.Parse(string(text))
	if err != nil {
		return fmt.Errorf("%s: %w", list, err)
	}
	verdict, err := knownred.Judge(os.Stdin, entries, partial, os.Stdout)
	if err != nil {
		return err
	}
	for _, entry := range verdict.PassedOver {
		fmt.Println("known to fail, passed over:", entry)
	}
	for _, entry := range verdict.Mended {
		fmt.Println("listed as failing, and passes; take it off the list if it is mended:", entry)
	}
	for _, fault := range verdict.Faults {
		fmt.Println("FAIL:", fault)
	}
	if !verdict.Passes() {
		return errRed
	}
	return nil
}
