package membership

import (
	"fmt"
	"math/rand"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"

	"applequay/internal/transport/wire"
)

// lossy runs thirteen members over links that lose some messages, and counts
// how often one that stands is removed somewhere, and how long a dead one stays.
func lossy(percent int, seed int64, minutes int64) (wrong int, deadMs int64) {
	r := newRing(13)
	random := rand.New(rand.NewSource(seed))
	dead := ""
	r.cut = func(from, to string) bool { return from == dead || to == dead || random.Intn(100) < percent }
	r.run(5000)
	was := map[string]bool{}
	for until := r.now + minutes*60000; r.now < until; {
		r.run(200)
		for at := range r.all {
			for of := range r.all {
				gone := r.standing(at, of) == wire.StandingRemoved
				if gone && !was[at+of] {
					wrong++
				}
				was[at+of] = gone
			}
		}
	}
	dead = "n7"
	began := r.now
	for r.now < began+60000 {
		r.run(100)
		all := true
		for at := range r.all {
			all = all && (at == dead || r.standing(at, dead) == wire.StandingRemoved)
		}
		if all {
			break
		}
	}
	return wrong, r.now - began
}

func TestLossyLinks(t *testing.T) {
	c := qt.New(t)
	for _, percent := range []int{0, 10, 20} {
		wrong, deadMs := lossy(percent, 1, 2)
		c.Check(wrong, qt.Equals, 0, qt.Commentf("%d %% lost", percent))
		c.Check(deadMs < 10000, qt.IsTrue, qt.Commentf("%d %% lost: a dead member stayed %d ms", percent, deadMs))
	}
	if os.Getenv("MEMBERS_SHOW") == "" {
		return
	}
	for _, percent := range []int{0, 5, 10, 20, 30, 40} {
		for seed := range int64(3) {
			wrong, deadMs := lossy(percent, seed, 10)
			fmt.Println("lost", percent, "seed", seed, "wrongly removed", wrong, "dead gone after", deadMs)
		}
	}
}
