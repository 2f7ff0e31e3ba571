package controller

import (
	"fmt"
	"math/rand"
	"testing"

	qt "github.com/frankban/quicktest"

	"applequay/internal/transport/wire"
)

// remembering is a controller that hears of fronts and is started again.
type remembering struct {
	core   *Controller
	writes []wire.Write
	now    int64
}

func (r *remembering) start(snapshot *wire.Snapshot) {
	boot := Boot{ID: "c1~1", Name: "c1", Addr: "c:1", Seeds: []string{"gone:1"}, Partitions: 1, LeaseMs: 3200, PollMs: 500, ProbeMs: 200, CallMs: 1600, Born: 1}
	r.core = New(r.now, boot, rand.New(rand.NewSource(1)), snapshot, r.writes)
}

// run lets time pass while some fronts answer, and counts the probes to each address.
func (r *remembering) run(ms int64, up ...string) map[string]int {
	probed := map[string]int{}
	for until := r.now + ms; r.now < until; r.now += 50 {
		if r.now%200 == 0 {
			for _, addr := range up {
				front := wire.Member{ID: "l~" + addr, Name: addr, Role: "agent", Addr: addr, Born: 1, Turn: r.now, Fact: map[string]string{}}
				r.core.Hear(r.now, front.ID, &wire.Probe{Seq: r.now, Members: []wire.Member{front}})
			}
		}
		out := r.core.Tick(r.now, r.now)
		r.writes = append(r.writes, out.Writes...)
		for _, send := range out.Sends {
			if _, is := send.Body.(*wire.Probe); is {
				probed[send.To]++
			}
		}
	}
	return probed
}

// A controller finds the fronts of its last life again, of which it is told by nobody:
// those of its log and those of a checkpoint, also when it ends again before all are back.
func TestRemembersFronts(t *testing.T) {
	c := qt.New(t)
	r := &remembering{}
	r.start(&wire.Snapshot{})
	r.run(8000, "a:1", "b:1")
	for life := range 3 {
		if snapshot := r.core.Snapshot(); life > 0 {
			r.writes = nil
			r.start(snapshot)
		} else {
			r.start(&wire.Snapshot{})
		}
		probed := r.run(8000, "a:1")
		c.Check(probed["b:1"] > 20, qt.IsTrue, qt.Commentf("life %d: %v", life, probed))
		c.Check(r.core.acceptor.Peers(), qt.DeepEquals, []string{"a:1", "b:1"})
	}
	// One that stays away is forgotten in the end.
	r.run(peerMs+10000, "a:1")
	c.Check(r.core.acceptor.Peers(), qt.DeepEquals, []string{"a:1"})
	r.run(peerMs + 10000)
	r.writes = nil
	r.start(r.core.Snapshot())
	c.Check(r.core.acceptor.Peers(), qt.HasLen, 0)
}

// However many fronts are missing, few are probed at once, all of them in turn.
func TestMissingFrontsInTurn(t *testing.T) {
	c := qt.New(t)
	p := &peers{}
	for i := range 40 {
		p.missing = append(p.missing, fmt.Sprint(i))
	}
	times := map[string]int{}
	for range 10 {
		some := p.someMissing(missingAtStart)
		c.Check(some, qt.HasLen, missingAtStart)
		for _, addr := range some {
			times[addr]++
		}
	}
	c.Check(times, qt.HasLen, 40)
	for addr, count := range times {
		c.Check(count, qt.Equals, 4, qt.Commentf(addr))
	}
	p.missing = p.missing[:1]
	c.Check(p.someMissing(missingAtStart), qt.DeepEquals, []string{"0"})
	p.missing = nil
	c.Check(p.someMissing(missingAtStart), qt.HasLen, 0)
}
