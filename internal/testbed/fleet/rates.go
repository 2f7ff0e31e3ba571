package fleet

import (
	"fmt"
	"slices"

	"applequay/internal/simulation"
)

// Rate checks that over no few seconds the loads took more than the store can give. A
// load is counted from its order to its end; one that its worker's death cut off
// counts for what it can have taken until then.
//
//	breaches := fleet.Rate(shape, seen)
func Rate(shape Shape, seen *Records) []string {
	var loads []simulation.Load
	for at, one := range seen.Served {
		if one.Event != "load" {
			continue
		}
		load, ended := simulation.Load{From: one.TimeMs, SizeMb: one.SizeMb}, false
		for _, later := range seen.Served[at+1:] {
			if later.Worker != one.Worker {
				continue
			}
			if ended = later.Event == "loaded" && later.Item == one.Item && later.Born == one.Born; ended {
				load.To = later.TimeMs
				break
			}
		}
		if !ended {
			load.To = min(died(seen, one), one.TimeMs+one.SizeMb*1000/max(one.MbPerS, 1))
			load.SizeMb = (load.To - load.From) * one.MbPerS / 1000
		}
		if load.To > load.From {
			loads = append(loads, load)
		}
	}
	var breaches []string
	for _, window := range []int64{1000, 3000, 5000} {
		breaches = append(breaches, simulation.CheckRate(loads, shape.StoreMbPerS*103/100, window)...)
	}
	return breaches
}

// died is when the worker of a record ended after it, or the end of all.
func died(seen *Records, one Served) int64 {
	for _, note := range seen.Notes {
		if note.TimeMs >= one.TimeMs && note.Name == one.Worker && (note.Event == "kill" || note.Event == "stop") {
			return note.TimeMs
		}
	}
	return seen.Served[len(seen.Served)-1].TimeMs
}

// retriesWindowMs is over how long retries are held against normal traffic.
const retriesWindowMs = 10000

// Retries checks that what the system sent again by itself, over any ten seconds, is no more
// than a fifth of what clients sent to the service then. Each try of a client
// has its own tag, so a tag that comes to back ends again is a retry. Every
// front may make one at any time, which services of little traffic live on.
//
//	breaches := fleet.Retries(shape, seen)
func Retries(shape Shape, seen *Records) []string {
	type sent struct {
		at    int64
		again bool
	}
	var breaches []string
	paths, tags := map[string][]sent{}, map[string]bool{}
	for _, one := range seen.Served {
		if one.Event == "came" {
			paths[one.Path] = append(paths[one.Path], sent{one.TimeMs, tags[one.Tag]})
			tags[one.Tag] = true
		}
	}
	for path, list := range paths {
		from, normal, again := 0, 0, 0
		for _, one := range list {
			if one.again {
				again++
			} else {
				normal++
			}
			for ; list[from].at <= one.at-retriesWindowMs; from++ {
				if list[from].again {
					again--
				} else {
					normal--
				}
			}
			if most := normal/5 + shape.Fronts; again > most {
				breaches = append(breaches, fmt.Sprintf("%s: %d retries in the 10 s up to %d, where callers sent %d", path, again, one.at, normal))
				break
			}
		}
	}
	slices.Sort(breaches)
	return breaches
}

// OneAttempt checks that no try of a client's booking or check reaches applications twice,
// whether or not they would have known it again.
//
//	breaches := fleet.OneAttempt(shape, seen)
func OneAttempt(shape Shape, seen *Records) []string {
	var breaches []string
	came := map[string]Served{}
	for _, one := range seen.Served {
		if one.Event != "came" || one.Path != shape.App {
			continue
		}
		if old, twice := came[one.Tag]; twice {
			breaches = append(breaches, fmt.Sprintf("%s came to %s and again to %s %d ms later", one.Tag, old.Worker, one.Worker, one.TimeMs-old.TimeMs))
		}
		came[one.Tag] = one
	}
	return breaches
}

// ServesAgain checks that of the calls of each kind, applications' and streams, that began
// in the span after the machines had their time to come back, at least half were
// answered whole.
//
//	breaches := fleet.ServesAgain(seen, 12000, 6000)
func ServesAgain(seen *Records, afterMs, spanMs int64) []string {
	var breaches []string
	for _, note := range seen.Notes {
		if note.Event != "back" {
			continue
		}
		from := note.TimeMs + afterMs
		for _, kind := range []string{"book", "stream"} {
			figures := Sum(seen.of(kind), from, from+spanMs)
			if figures.Calls == 0 || figures.Whole*2 < figures.Calls {
				breaches = append(breaches, fmt.Sprintf("of %d calls (%s) from %d ms after the machines came back, %d were served", figures.Calls, kind, afterMs, figures.Whole))
			}
		}
	}
	return breaches
}

// of are the records of one kind of call.
func (r *Records) of(kind string) *Records {
	return &Records{Called: slices.DeleteFunc(slices.Clone(r.Called), func(one Called) bool { return one.Event != kind })}
}

// BySecond is how many calls of a kind began, and were answered whole, in each
// second after the machines came back.
//
//	for second, served := range fleet.BySecond(seen, "stream", 20) { ... }
func BySecond(seen *Records, kind string, seconds int) [][2]int {
	out := make([][2]int, seconds)
	for _, note := range seen.Notes {
		if note.Event != "back" {
			continue
		}
		for _, call := range seen.Called {
			began := call.TimeMs - call.TookMs - note.TimeMs
			if at := int(began / 1000); call.Event == kind && began >= 0 && at < seconds {
				out[at][0]++
				if call.Whole {
					out[at][1]++
				}
			}
		}
	}
	return out
}

// Raced checks that what racing operators saw is one register's history.
//
//	breaches := fleet.Raced(seen)
func Raced(seen *Records) []string {
	var breaches []string
	for _, note := range seen.Notes {
		if note.Event == "raced" && note.Why != "" {
			breaches = append(breaches, note.Why)
		}
		if note.Event == "raced" && note.Version == 0 {
			breaches = append(breaches, "no write of a racing operator was acknowledged")
		}
	}
	return breaches
}

// FirstServed is the first second after the machines came back from which on
// half of a kind's calls were served, second after second for three; -1 if none.
//
//	second := fleet.FirstServed(seen, "stream")
func FirstServed(seen *Records, kind string) int {
	inRow := 0
	for at, one := range BySecond(seen, kind, 30) {
		if inRow++; one[0] == 0 || one[1]*2 < one[0] {
			inRow = 0
		}
		if inRow == 3 {
			return at - 2
		}
	}
	return -1
}
