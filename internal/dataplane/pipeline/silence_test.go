package pipeline

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fastjson"

	"applequay/internal/routing"
	"applequay/internal/transport/wire"
)

// expect says that a worker is to load an item and how soon it can be up.
func (b *bench) expect(item string, readyMs int64) {
	now := b.proxy.Now()
	if b.news.WaitsTo == 0 {
		b.news.WaitsTo = now + 60000
	}
	b.news.Waits = map[string]int64{routing.WaitKey("w9", item): now + readyMs}
	b.news.Workers = append(b.news.Workers, wire.Worker{Name: "w9", Addr: b.nobody(), Pool: "llm"})
	b.news.Rooms["w9"] = wire.WorkerNews{Worker: "w9", Loaded: []wire.Loaded{{Item: item}}}
	b.put()
}

// Who cannot be served in time hears at once when to come back: by the estimate,
// not by a constant.
func TestComeBackWhenUp(t *testing.T) {
	c := qt.New(t)
	b := newBench(c)
	b.expect("m1", 30000)
	answer := b.ask("/v1/hints", `{"model":"m1"}`)
	c.Check(answer.Code, qt.Equals, 503)
	c.Check(ran(answer), qt.Equals, "no")
	c.Check(answer.Header().Get("Retry-After"), qt.Equals, "30")
	c.Check(b.proxy.Counts.Early.Load(), qt.Equals, int64(1))
}

// A server that is silent does not hold its clients to their deadline.
func TestSilence(t *testing.T) {
	c := qt.New(t)
	hush := func(before ...int) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			pieces("r", before...)(w, r)
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}
	}
	cases := []struct {
		name   string
		back   http.HandlerFunc
		other  bool // another holder is there
		happen func(b *bench)
		bounds bool // the bounds on silence are short
		status int
		last   string
		silent int64
	}{
		{"before the first piece, no other holder", hush(), false, nil, true, 502, "", 1},
		{"before the first piece, another holder", hush(), true, nil, true, 200, "end", 1},
		{"between pieces", hush(0, 1), true, nil, true, 200, "broken", 1},
		{"before the first piece, and known to be dark", hush(), true, (*bench).darken, false, 200, "end", 1},
		{"between pieces, and known to be dark", hush(0), false, (*bench).darken, false, 200, "broken", 1},
		{"said to be dark, and it goes on", func(w http.ResponseWriter, r *http.Request) {
			pieces("r", 0, 1, 2, -3)(w, r)
		}, false, (*bench).darken, false, 200, "end", 0},
	}
	for _, one := range cases {
		c.Run(one.name, func(c *qt.C) {
			b := newBench(c)
			if b.proxy.limits.First, b.proxy.limits.Silent = 60*time.Millisecond, 60*time.Millisecond; !one.bounds {
				b.proxy.limits.First, b.proxy.limits.Silent = time.Hour, 480*time.Millisecond
			}
			came := make(chan bool, 8)
			b.server("w1", func(w http.ResponseWriter, r *http.Request) {
				came <- true
				one.back(w, r)
			}, "m1")
			if one.other {
				b.server("w2", pieces("q", 0, -1), "m1")
				// The silent one ranks first for its load only.
				b.proxy.Table().Servers["w2"].Load.InWork.Store(2)
			}
			for range 50 {
				b.proxy.Table().Budgets["hints"].Earn(1)
			}
			done := make(chan *httptest.ResponseRecorder)
			go func() { done <- b.ask("/v1/hints", `{"model":"m1"}`) }()
			<-came
			if one.happen != nil {
				one.happen(b)
			}
			answer := <-done
			c.Check(answer.Code, qt.Equals, one.status)
			c.Check(b.proxy.Counts.Silent.Load(), qt.Equals, one.silent)
			if one.last != "" {
				lines := strings.Split(strings.TrimSpace(answer.Body.String()), "\n")
				c.Check(fastjson.MustParse(lines[len(lines)-1]).GetBool(one.last), qt.IsTrue, qt.Commentf("%v", lines))
			}
		})
	}
}

func (b *bench) darken() {
	room := b.news.Rooms["w1"]
	room.Dark = true
	b.news.Rooms["w1"] = room
	b.put()
}

// A server that leaves requests without any sign is avoided, for longer each time,
// also where what it was asked may not be sent to another; one that is heard of is not.
func TestSilentServersAreAvoided(t *testing.T) {
	c := qt.New(t)
	b := newBench(c)
	b.proxy.epoch = time.Now().Add(-time.Hour)
	b.proxy.limits.Avoid = time.Minute
	server := &routing.Server{Name: "w1", Load: &routing.Load{}}
	one := &call{}
	now, avoid := b.proxy.Now(), b.proxy.limits.Avoid.Milliseconds()
	until := func() int64 { return server.Load.AvoidToMs.Load() - b.proxy.Now() }

	b.proxy.noteSilence(one, server, now)
	c.Check(until() <= 0, qt.IsTrue, qt.Commentf("the request was given up at once"))
	for times := range int64(mostSilences + 3) {
		b.proxy.noteSilence(one, server, now-avoid)
		wanted := avoid << min(times, mostSilences)
		c.Check(until() <= wanted && until() > wanted/2, qt.IsTrue, qt.Commentf("%d ms after %d silences", until(), times+1))
	}
	server.Load.AvoidToMs.Store(0)
	server.Load.HeardMs.Store(b.proxy.Now() + avoid)
	b.proxy.noteSilence(one, server, now-avoid)
	c.Check(until() <= 0, qt.IsTrue, qt.Commentf("it was heard of since"))
}
