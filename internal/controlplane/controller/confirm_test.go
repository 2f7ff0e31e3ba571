package controller

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"applequay/internal/controlplane/distribution"
	"applequay/internal/controlplane/register"
	"applequay/internal/transport/wire"
)

// policiesTold are the versions of the policy that some outputs tell a node.
func policiesTold(out wire.Outputs, to string) []int64 {
	var versions []int64
	for _, send := range append(out.Sends, out.Then...) {
		told, is := send.Body.(*wire.News)
		if !is || send.To != to {
			continue
		}
		for _, topic := range told.Topics {
			if topic.Name == PolicyKey {
				versions = append(versions, topic.Step)
			}
		}
	}
	return versions
}

// A subscriber gets the policy that stands at a majority once it has asked, and
// none from the board where no majority answers.
func TestPolicyIsConfirmedFirst(t *testing.T) {
	c := qt.New(t)
	a := newAlone(nil)
	a.run(4000)
	a.do(a.f.Change(a.now, 1, register.Write{Key: PolicyKey, Expected: -1, Next: 7, Body: []byte("{}")}))
	a.run(200)
	c.Assert(a.f.versions[PolicyKey], qt.Equals, int64(7))
	asks := func(cut bool) []int64 {
		a.do(a.f.Hear(a.now, "l1~1", &wire.Subscribe{}))
		var told []int64
		for until := a.now + 3000; a.now < until; a.now += 25 {
			out := a.f.Tick(a.now, a.now)
			told = append(told, policiesTold(out, "l1~1")...)
			if cut {
				continue
			}
			for _, send := range out.Sends {
				if _, query := send.Body.(*wire.Query); !query {
					continue
				}
				for _, back := range a.f.Hear(a.now, a.f.boot.ID, send.Body).Then {
					told = append(told, policiesTold(a.f.Hear(a.now, a.f.boot.ID, back.Body), "l1~1")...)
				}
			}
		}
		return told
	}
	c.Check(asks(true), qt.HasLen, 0)
	c.Check(asks(false), qt.DeepEquals, []int64{7})
}

// A front that begins hears of a majority's word once a read was made since it asked,
// with the policy only where it has an older one, and nothing while no majority
// answers; one read does for all who wait.
func TestFirstWordOfAMajority(t *testing.T) {
	c := qt.New(t)
	a := newAlone(nil)
	a.run(4000)
	asks := func(cut bool, versions ...int64) (words, queries int, told []int64) {
		for at, version := range versions {
			a.do(a.f.Hear(a.now, fmt.Sprintf("l%d~1", at), &wire.Subscribe{Confirm: true, Service: distribution.ControlService, Have: []wire.Topic{{Name: PolicyKey, Step: version}}}))
		}
		note := func(out wire.Outputs) {
			for at := range versions {
				told = append(told, policiesTold(out, fmt.Sprintf("l%d~1", at))...)
			}
			for _, send := range append(out.Sends, out.Then...) {
				if news, is := send.Body.(*wire.News); is && news.Confirms == send.To {
					words++
				}
			}
		}
		for until := a.now + 1000; a.now < until; a.now += 25 {
			out := a.f.Tick(a.now, a.now)
			note(out)
			for _, send := range out.Sends {
				query, is := send.Body.(*wire.Query)
				if !is || query.Key != PolicyKey || cut {
					continue
				}
				queries++
				for _, back := range a.f.Hear(a.now, a.f.boot.ID, send.Body).Then {
					note(a.f.Hear(a.now, a.f.boot.ID, back.Body))
				}
			}
		}
		return words, queries, told
	}
	words, _, told := asks(false, 0)
	c.Check(words, qt.Equals, 1, qt.Commentf("there is none yet"))
	c.Check(told, qt.HasLen, 0)
	a.do(a.f.Change(a.now, 1, register.Write{Key: PolicyKey, Expected: -1, Next: 7, Body: []byte("{}")}))
	a.run(200)
	words, _, told = asks(true, 0, 7)
	c.Check(words, qt.Equals, 0)
	c.Check(told, qt.HasLen, 0)
	_, alone, _ := asks(false)
	words, queries, told := asks(false, 0, 7, 6, 7)
	c.Check(words, qt.Equals, 4)
	c.Check(told, qt.DeepEquals, []int64{7, 7})
	c.Check(queries <= alone+2, qt.IsTrue, qt.Commentf("%d queries, %d where nobody asks", queries, alone))
}
