package controller

import (
	"testing"

	qt "github.com/frankban/quicktest"

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
