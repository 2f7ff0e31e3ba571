package controller

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"applequay/internal/transport/wire"
)

// A list carries what the servers of each pool were before it, with the version
// that replaced them.
func TestRosters(t *testing.T) {
	c := qt.New(t)
	app := func(leaving string, names ...string) *wire.WorkerList {
		list := &wire.WorkerList{}
		for _, name := range names {
			list.Workers = append(list.Workers, wire.Worker{Name: name, Addr: "x", Pool: "app", Leaving: name == leaving})
		}
		return list
	}
	kept := &wire.WorkerList{}
	steps := []struct {
		list *wire.WorkerList
		says string
	}{
		{app("", "b1"), "0:[b1@x]"},
		{app("", "b1"), "0:[b1@x]"},
		{app("", "b1", "b2"), "3:[b1@x] 0:[b1@x b2@x]"},
		{app("b1", "b1", "b2"), "3:[b1@x] 4:[b1@x b2@x] 0:[b2@x]"},
		{app(""), "3:[b1@x] 4:[b1@x b2@x] 5:[b2@x]"},
		{app("", "b2"), "3:[b1@x] 4:[b1@x b2@x] 5:[b2@x] 0:[b2@x]"},
	}
	for at, one := range steps {
		withRosters(one.list, kept, int64(at), int64(1000*at))
		says := ""
		for _, roster := range one.list.Rosters {
			says += fmt.Sprintf(" %d:%v", roster.Version, roster.Servers)
		}
		c.Check(says[1:], qt.Equals, one.says)
		kept = one.list
	}
	for at := range 3 * mostRosters {
		list := app("", fmt.Sprintf("b%d", at))
		withRosters(list, kept, int64(10+at), int64(20000+at))
		kept = list
	}
	c.Check(len(kept.Rosters) <= mostRosters+1, qt.IsTrue, qt.Commentf("%d", len(kept.Rosters)))
}

// What a directory that broke down says is not taken: the last good list stays.
func TestBelieved(t *testing.T) {
	c := qt.New(t)
	good := wire.WorkerList{Platform: 5, Workers: []wire.Worker{{Name: "b1"}}}
	cases := []struct {
		name string
		kept wire.WorkerList
		told *wire.WorkerList
		ok   bool
	}{
		{"the first list", wire.WorkerList{}, &good, true},
		{"nothing, at the start", wire.WorkerList{}, &wire.WorkerList{}, true},
		{"no worker at all, all at once", good, &wire.WorkerList{Platform: 6}, false},
		{"an older list", good, &wire.WorkerList{Platform: 4, Workers: good.Workers}, false},
		{"a newer list", good, &wire.WorkerList{Platform: 6, Workers: good.Workers}, true},
		{"a platform that does not count", good, &wire.WorkerList{Workers: good.Workers}, true},
	}
	for _, one := range cases {
		f := &Controller{listed: one.kept}
		c.Check(f.believed(one.told), qt.Equals, one.ok, qt.Commentf(one.name))
		c.Check(f.Unbelieved() == "", qt.Equals, one.ok)
	}
}
