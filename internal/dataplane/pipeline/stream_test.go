package pipeline

import (
	"applequay/internal/dataplane/protocol"
	"net/http"
	"runtime"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fastjson"

	"applequay/internal/routing"
	"applequay/internal/transport/wire"
)

func TestStreams(t *testing.T) {
	c := qt.New(t)
	cases := []struct {
		name   string
		back   http.HandlerFunc
		resume string
		lines  int
		last   string // what the last line says
		next   int64
		status int
	}{
		{"whole", pieces("r", 0, 1, 2, -3), "", 4, "end", 0, 200},
		{"breaks off", pieces("r", 0, 1), "", 3, "broken", 2, 200},
		{"skips a piece", pieces("r", 0, 2, -3), "", 2, "broken", 1, 200},
		{"repeats a piece", pieces("r", 0, 0, -2), "", 2, "broken", 1, 200},
		{"ends short of its count", pieces("r", 0, 1, -3), "", 3, "broken", 2, 200},
		{"resume goes on where it stopped", pieces("r", 2, 3, -4), "2", 3, "end", 0, 200},
		{"resume at another place is not passed on", pieces("r", 3, -4), "2", 1, "", 0, 410},
		{"resume of another run is not passed on", pieces("q", 2, -3), "2", 1, "", 0, 410},
		{"resume that the worker refuses", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusGone) }, "2", 0, "", 0, 410},
	}
	for _, one := range cases {
		c.Run(one.name, func(c *qt.C) {
			b := newBench(c)
			b.server("w1", one.back, "m1")
			b.server("w2", pieces("other", 0, -1), "m2")
			headers := []string{}
			if one.resume != "" {
				headers = []string{protocol.HeaderRun, "w1:r", protocol.HeaderFrom, one.resume}
			}
			answer := b.ask("/v1/hints", `{"model":"m1","prompt":"p"}`, headers...)
			c.Assert(answer.Code, qt.Equals, one.status)
			if one.status != 200 {
				return
			}
			lines := strings.Split(strings.TrimSpace(answer.Body.String()), "\n")
			c.Assert(lines, qt.HasLen, one.lines, qt.Commentf("%s", answer.Body.String()))
			last := fastjson.MustParse(lines[len(lines)-1])
			c.Check(last.GetBool(one.last), qt.IsTrue)
			c.Check(string(last.GetStringBytes("run")), qt.Equals, "w1:r")
			if one.last == "broken" {
				c.Check(last.GetInt64("next"), qt.Equals, one.next)
				c.Check(last.Exists("end"), qt.IsFalse)
			}
		})
	}
}

// A run that two servers hold is two runs: a splice in the middle is cut off.
func TestNoSplice(t *testing.T) {
	c := qt.New(t)
	b := newBench(c)
	b.server("w1", func(w http.ResponseWriter, r *http.Request) {
		pieces("r", 0, 1)(w, r)
		pieces("s", 2, -3)(w, r)
	}, "m1")
	answer := b.ask("/v1/hints", `{"model":"m1"}`)
	c.Check(strings.Contains(answer.Body.String(), `"end"`), qt.IsFalse)
	c.Check(strings.Contains(answer.Body.String(), `w1:s`), qt.IsFalse)
}

// Another holder is tried while nothing was passed on, and only within budget.
func TestStreamsTryOtherHolders(t *testing.T) {
	c := qt.New(t)
	b := newBench(c)
	count := 0
	turned := func(w http.ResponseWriter, _ *http.Request) { count++; w.WriteHeader(http.StatusConflict) }
	b.server("w1", turned, "m1")
	b.server("w2", turned, "m1")
	answer := b.ask("/v1/hints", `{"model":"m1"}`)
	c.Check(count, qt.Equals, 1, qt.Commentf("no budget yet"))
	c.Check(answer.Code, qt.Equals, 502)
	for range 9 {
		b.ask("/v1/hints", `{"model":"m1"}`)
	}
	c.Check(count, qt.Equals, 12, qt.Commentf("a fifth of ten"))
}

// Who waits for a model gets it when it comes up, and hears at once that no
// worker has room.
func TestHold(t *testing.T) {
	c := qt.New(t)
	cases := []struct {
		name   string
		happen func(b *bench)
		status int
	}{
		{"comes up", func(b *bench) { b.server("w1", pieces("r", 0, -1), "m1") }, 200},
		{"no room", func(b *bench) { b.news.Refused = map[string]int64{"m1": b.proxy.Now() + 5000}; b.put() }, 503},
		{"cannot be up in time, by the store's queue", func(b *bench) { b.expect("m1", 60000) }, 503},
		{"will be up in time", func(b *bench) {
			b.expect("m1", 100)
			b.server("w1", pieces("r", 0, -1), "m1")
		}, 200},
		{"a wait that was told long ago", func(b *bench) {
			b.news.WaitsTo = -1
			b.expect("m1", 60000)
			b.server("w1", pieces("r", 0, -1), "m1")
		}, 200},
		{"taken out of the policy", func(b *bench) {
			next := *b.news.Policy
			next.Items = nil
			b.news.Policy = &next
			b.put()
		}, 404},
		{"another model comes up, and then it", func(b *bench) {
			b.server("w2", pieces("q", 0, -1), "m2")
			b.news.Rooms["w2"] = wire.WorkerNews{Worker: "w2", Loaded: []wire.Loaded{{Item: "m1", Ready: true}}}
			b.put()
		}, 200},
	}
	for _, one := range cases {
		c.Run(one.name, func(c *qt.C) {
			b := newBench(c)
			done := make(chan int)
			go func() { done <- b.ask("/v1/hints", `{"model":"m1"}`).Code }()
			c.Assert(<-b.ledger.holds, qt.Equals, int64(1))
			one.happen(b)
			c.Check(<-done, qt.Equals, one.status)
			c.Check(<-b.ledger.holds, qt.Equals, int64(-1))
		})
	}
}

// The lightest are shed first when there is too much at once.
func TestOverloadShedsLightFirst(t *testing.T) {
	c := qt.New(t)
	b := newBench(c)
	b.server("b1", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{}`)) })
	b.server("w1", pieces("r", 0, -1), "m1")
	for _, one := range []struct {
		taken      int64
		hint, till int
	}{{3, 200, 200}, {5, 503, 200}, {7, 503, 200}, {8, 503, 503}} {
		b.proxy.inWork.Store(one.taken)
		c.Check(b.ask("/v1/hints", `{"model":"m1"}`).Code, qt.Equals, one.hint, qt.Commentf("%d taken", one.taken))
		c.Check(b.ask("/v1/book", `{}`).Code, qt.Equals, one.till, qt.Commentf("%d taken", one.taken))
	}
}

// A worker that is leaving or dark gets nothing new.
func TestLeavingGetsNothing(t *testing.T) {
	c := qt.New(t)
	for _, dark := range []bool{false, true} {
		b := newBench(c)
		b.server("w1", pieces("r", 0, -1), "m1")
		b.news.Workers[0].Leaving = !dark
		b.news.Rooms["w1"] = wire.WorkerNews{Worker: "w1", Dark: dark, Loaded: []wire.Loaded{{Item: "m1", Ready: true}}}
		b.put()
		c.Check(b.ask("/v1/hints", `{"model":"m1"}`).Code, qt.Equals, 503)
		if !dark {
			c.Check(b.ask("/v1/hints", `{}`, protocol.HeaderRun, "w1:r", protocol.HeaderFrom, "1").Code, qt.Equals, 410)
		}
	}
}

// A front that has only just started answers as soon as it learns the policy,
// and says when to come back if it does not.
func TestStartingFront(t *testing.T) {
	c := qt.New(t)
	b := newBench(c)
	known := b.proxy.Table()
	b.proxy.table.Store(routing.Empty())
	answer := b.ask("/v1/other", `{}`)
	c.Check(answer.Code, qt.Equals, 503)
	c.Check(ran(answer), qt.Equals, "no")
	done := make(chan int)
	waits := routing.Empty()
	b.proxy.table.Store(waits)
	go func() { done <- b.ask("/v1/other", `{}`).Code }()
	for b.proxy.Counts.Came.Load() < 2 {
		runtime.Gosched()
	}
	b.proxy.Put(known)
	c.Check(<-done, qt.Equals, 404)
}
