// Package fleet runs whole deployments as real processes on one machine, and
// brings their failures about. Only tests and testbed use it.
package fleet

import (
	"encoding/json"
	"fmt"
)

// Shape is a deployment's sizes.
type Shape struct {
	Name                       string
	Zones, Fronts, Cores       int
	Workers, Apps              int
	Models, Adapters           int
	RoomMb, StoreMbPerS, Turns int64
	SyncMs, LeaseMs, PieceMs   int64
	App                        string
	AppPerS                    float64
	Streams                    []Stream
	LinkKbPerS                 int64
	// LateMs is how long an acknowledged policy may take to a front; two seconds
	// if nought. Slow machines of tests get longer.
	LateMs int64
	Net    int // second number of the machines' addresses
}

// Stream is one kind of streamed call.
type Stream struct {
	Path   string
	Kind   string
	Weight int
	PerS   float64
	Pieces int64
}

// Brilleverk has three zones, six fronts and three core machines.
//
//	world, err := fleet.Start(ctx, fleet.Brilleverk(), dir, bin)
func Brilleverk() Shape {
	return Shape{Name: "brilleverk", Zones: 3, Fronts: 6, Cores: 3, Workers: 9, Apps: 3, Models: 50, Adapters: 30,
		RoomMb: 6500, StoreMbPerS: 8000, Turns: 6, SyncMs: 20, LeaseMs: 3200, PieceMs: 20, App: "/v1/bookings", AppPerS: 17, Net: 10,
		Streams: []Stream{{"/v1/order-lines", "order-line", 5, 14, 24}, {"/v1/explanations", "explanation", 3, 4, 16}, {"/v1/readings", "reading", 4, 4, 12}}}
}

// Krizanka has four zones, nine fronts and four core machines on thin links.
//
//	world, err := fleet.Start(ctx, fleet.Krizanka(), dir, bin)
func Krizanka() Shape {
	return Shape{Name: "krizanka", Zones: 4, Fronts: 9, Cores: 4, Workers: 12, Apps: 4, Models: 40, Adapters: 40,
		RoomMb: 4500, StoreMbPerS: 6000, Turns: 6, SyncMs: 45, LeaseMs: 3200, PieceMs: 15, App: "/v1/checks", AppPerS: 28, LinkKbPerS: 1000, Net: 20,
		Streams: []Stream{{"/v1/hints", "hint", 5, 20, 8}, {"/v1/drafts", "draft", 1, 3, 24}, {"/v1/verdicts", "verdict", 2, 3, 12}}}
}

// Small is a fleet for CI: every part, in small numbers.
//
//	world, err := fleet.Start(ctx, fleet.Small(), dir, bin)
func Small() Shape {
	shape := Brilleverk()
	shape.Name, shape.Zones, shape.Fronts, shape.Workers, shape.Apps, shape.Models, shape.Adapters = "small", 2, 2, 3, 2, 8, 4
	shape.SyncMs, shape.AppPerS, shape.Net = 2, 10, 30
	shape.Streams = []Stream{{"/v1/order-lines", "order-line", 5, 6, 6}}
	return shape
}

// Items lists models, and adapters with their models, as clients name them.
//
//	for _, item := range shape.Items() { ... }
func (s Shape) Items() [][2]string {
	var out [][2]string
	for i := range s.Models {
		out = append(out, [2]string{fmt.Sprintf("m%d", i), ""})
		if i < s.Adapters {
			out = append(out, [2]string{fmt.Sprintf("m%d", i), fmt.Sprintf("a%d", i)})
		}
	}
	return out
}

type object = map[string]any

// Policy is the deployment's policy; more is merged into it at the top.
//
//	body := shape.Policy(nil)
func (s Shape) Policy(more map[string]any) []byte {
	var models, adapters []object
	for i := range s.Models {
		models = append(models, object{"name": fmt.Sprintf("m%d", i), "pool": "llm", "size_mb": 600 + 50*(i%9)})
	}
	for i := range s.Adapters {
		adapters = append(adapters, object{"name": fmt.Sprintf("a%d", i), "model": fmt.Sprintf("m%d", i), "size_mb": 40})
	}
	kinds := []object{{"name": "app", "weight": 10}}
	for _, stream := range s.Streams {
		kinds = append(kinds, object{"name": stream.Kind, "weight": stream.Weight})
	}
	whole := object{"store": object{"mb_per_s": s.StoreMbPerS, "turns": s.Turns}, "kinds": kinds, "models": models, "adapters": adapters, "services": s.services(), "routes": s.routes()}
	for key, value := range more {
		whole[key] = value
	}
	body, err := json.Marshal(whole)
	if err != nil {
		panic(err)
	}
	return body
}

func (s Shape) services() []object {
	services := []object{{"name": "app", "type": "app", "pool": "app"}}
	for _, stream := range s.Streams {
		services = append(services, object{"name": stream.Kind, "type": "model", "pool": "llm"})
	}
	return services
}

func (s Shape) routes() []object {
	routes := []object{{"path": s.App, "service": "app", "kind": "app", "deadline_ms": 5000}}
	for _, stream := range s.Streams {
		routes = append(routes, object{"path": stream.Path, "service": stream.Kind, "kind": stream.Kind, "deadline_ms": 30000})
	}
	return routes
}
