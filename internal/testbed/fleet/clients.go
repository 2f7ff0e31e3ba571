package fleet

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Clients starts clients at all fronts for some seconds; the function returned
// waits for their last answers.
//
//	wait, err := world.Clients(scenario, 1)
func (w *World) Clients(scenario Scenario, factor float64) (func() bool, error) {
	seconds := scenario.Seconds
	w.subs++
	name := fmt.Sprintf("sub%d", w.subs)
	type calls = map[string]any
	list := []calls{{"path": w.Shape.App, "per_s": w.Shape.AppPerS * factor}}
	for _, stream := range w.Shape.Streams {
		list = append(list, calls{"path": stream.Path, "model": true, "per_s": stream.PerS * factor, "pieces": stream.Pieces, "items": w.Shape.Items(), "cold": scenario.Cold})
	}
	plan, err := json.Marshal(map[string]any{"name": name, "fronts": w.Fronts, "seconds": seconds, "careful": scenario.Careful, "calls": list})
	if err != nil {
		return nil, err
	}
	file := filepath.Join(w.Dir, name+".plan")
	if err := os.WriteFile(file, plan, 0o644); err != nil {
		return nil, err
	}
	w.add(name, "loadgen", "-plan", file, "-record", filepath.Join(w.Dir, name+".rec"))
	if err := w.Start(name); err != nil {
		return nil, err
	}
	p := w.procs[name]
	return func() bool {
		return w.Until(time.Duration(seconds)*time.Second+90*time.Second, func() bool { return !p.up() })
	}, nil
}
