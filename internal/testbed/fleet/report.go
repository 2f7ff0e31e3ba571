package fleet

import (
	"fmt"
	"slices"
	"strings"
)

// Breaches runs every checker; each breach is named by its rule.
//
//	breaches := fleet.Breaches(shape, seen)
func Breaches(shape Shape, seen *Records) []string {
	var out []string
	for _, checker := range Checkers() {
		for _, breach := range checker.Check(shape, seen) {
			out = append(out, checker.Rule+": "+breach)
		}
	}
	return out
}

// Figures are what a run came to.
type Figures struct {
	Calls, Whole, Refused, Unknown, Broken int
	FirstMs, BookMs                        []int64
	// VainMs is how long calls waited for a model that were then refused; Back
	// counts those that came again when told, and BackWhole the served of them.
	VainMs          []int64
	Back, BackWhole int
	Whys            map[string]int
}

// Sum counts calls that began in a span of time; to 0 means to the end.
//
//	figures := fleet.Sum(seen, 0, 0)
func Sum(seen *Records, from, to int64) Figures {
	figures := Figures{Whys: map[string]int{}}
	for _, call := range seen.Called {
		if began := call.TimeMs - call.TookMs; began < from || (to > 0 && began >= to) {
			continue
		}
		figures.Calls++
		switch {
		case call.Whole && call.Event == "book":
			figures.BookMs = append(figures.BookMs, call.TookMs)
		case call.Whole && call.Attempt == 1:
			figures.FirstMs = append(figures.FirstMs, call.FirstMs)
		}
		switch {
		case call.Whole:
			figures.Whole++
		case call.Ran == "no":
			figures.Refused++
		case call.Ran == "unknown":
			figures.Unknown++
		default:
			figures.Broken++
		}
		if call.Why != "" {
			why := call.Why
			switch {
			case strings.Contains(why, "dial tcp"):
				why = "no connection"
			case strings.Contains(why, "://"):
				why = why[strings.LastIndex(why, ": ")+2:]
			}
			figures.Whys[why]++
		}
	}
	figures.comeBack(seen, from, to)
	slices.Sort(figures.VainMs)
	slices.Sort(figures.FirstMs)
	slices.Sort(figures.BookMs)
	return figures
}

// comeBack follows streams that were refused since their model was not up to
// their clients' next try.
func (f *Figures) comeBack(seen *Records, from, to int64) {
	refused := map[string]bool{}
	for _, call := range seen.Called {
		name, _, _ := strings.Cut(call.Tag, "#")
		start := call.TimeMs - call.TookMs
		if call.Event != "stream" || start < from || (to > 0 && start >= to) {
			continue
		}
		if refused[name] {
			f.Back++
			if call.Whole {
				f.BackWhole++
			}
		}
		refused[name] = call.Ran == "no" && (strings.Contains(call.Why, "up") || strings.Contains(call.Why, "room"))
		if refused[name] {
			f.VainMs = append(f.VainMs, call.AttemptMs)
		}
	}
}

// At is a quantile of sorted numbers, in hundredths.
//
//	median := fleet.At(figures.FirstMs, 50)
func At(sorted []int64, hundredths int) int64 {
	if len(sorted) == 0 {
		return -1
	}
	return sorted[min(len(sorted)-1, len(sorted)*hundredths/100)]
}

// String is the figures in a line.
//
//	fmt.Println(figures)
func (f Figures) String() string {
	return fmt.Sprintf("calls %d whole %d (%.1f%%) refused %d unknown %d broken %d | first piece ms median %d p95 %d max %d | app ms median %d p95 %d max %d | waited in vain %d ms median %d p95 %d max %d, came back %d served %d | %v",
		f.Calls, f.Whole, 100*float64(f.Whole)/float64(max(f.Calls, 1)), f.Refused, f.Unknown, f.Broken,
		At(f.FirstMs, 50), At(f.FirstMs, 95), At(f.FirstMs, 100), At(f.BookMs, 50), At(f.BookMs, 95), At(f.BookMs, 100), len(f.VainMs), At(f.VainMs, 50), At(f.VainMs, 95), At(f.VainMs, 100), f.Back, f.BackWhole, f.Whys)
}
