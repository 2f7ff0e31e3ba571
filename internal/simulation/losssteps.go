package simulation

import (
	"cmp"
	"fmt"
	"slices"
)

// victims picks who goes: admitted machines that are up, the coordinator among them
// if asked for.
func (r *losing) victims(coordinator bool) []int {
	w := r.w
	var up []int
	for at, e := range w.cores {
		if e.Up {
			up = append(up, at)
		}
	}
	w.Random.Shuffle(len(up), func(i, j int) { up[i], up[j] = up[j], up[i] })
	if coordinator {
		slices.SortFunc(up, func(a, b int) int { return cmp.Compare(w.cores[a].ID, w.cores[b].ID) })
	}
	return up[:min(r.atOnce(), len(up))]
}

func (r *losing) newest(count int) []int {
	var out []int
	for at := len(r.w.cores) - count; at < len(r.w.cores); at++ {
		out = append(out, at)
	}
	return out
}

func (r *losing) crash(cores []int) {
	for _, at := range cores {
		r.w.Crash(at, true)
	}
	r.events = append(r.events, r.w.NowMs)
}

func (r *losing) restart(cores []int) {
	for _, at := range cores {
		r.w.Restart(at, true)
	}
	r.events = append(r.events, r.w.NowMs)
}

func (r *losing) add(count int) {
	for range count {
		r.fresh++
		// Names of newcomers sort before and after those there.
		name := fmt.Sprintf("%c%d", 'a'+r.w.Random.Intn(6), 100+r.fresh)
		r.w.AddCore(name, fmt.Sprintf("10.0.0.%d:1", 30+r.fresh))
	}
	r.events = append(r.events, r.w.NowMs)
}

func (r *losing) catchUp() { r.w.Run(r.w.NowMs + r.w.Shape.CatchUpMs) }
