package simulation

import (
	"encoding/json"
	"fmt"

	"applequay/internal/controlplane/controller"
	"applequay/internal/controlplane/register"
	"applequay/internal/transport/wire"
)

// Operator writes policies through any node, as a person at applequayctl would.
type Operator struct {
	world  *World
	name   string
	turn   int
	orders []order
	// only are the nodes that it asks, fronts first; all where there are none.
	only []int
}

// NewOperator makes an operator.
//
//	ann := world.NewOperator("ann")
func (w *World) NewOperator(name string) *Operator {
	one := &Operator{world: w, name: name}
	w.operators = append(w.operators, one)
	return one
}

// Body is a policy for the shape, told apart by a name in it.
//
//	body := world.Body("ann-3")
func (w *World) Body(name string) []byte {
	type object = map[string]any
	shape := w.Shape
	var models, adapters []object
	for i := range shape.Models {
		models = append(models, object{"name": fmt.Sprintf("m%d", i), "pool": "llm", "size_mb": 700 + 100*(i%6)})
	}
	for i := range shape.Adapters {
		adapters = append(adapters, object{"name": fmt.Sprintf("a%d", i), "model": fmt.Sprintf("m%d", i%shape.Models), "size_mb": 40})
	}
	if w.openings == nil {
		w.openings = []any{}
	}
	body, err := json.Marshal(object{
		"store": object{"mb_per_s": shape.StoreMbPerS, "turns": shape.Turns}, "kinds": []object{{"name": name, "weight": 1}},
		"models": models, "adapters": adapters, "openings": w.openings,
		"services": []object{{"name": "drafts", "type": "model", "pool": "llm"}},
		"routes":   []object{{"path": "/v1/draft", "service": "drafts", "kind": name}},
	})
	if err != nil {
		panic(err)
	}
	return body
}

// client is a node that takes operators' calls.
type client struct {
	change func(asked register.Write, done func(register.Outcome))
	read   func(key string, done func(register.Outcome))
}

// at picks a node that is up, a front or a core machine; nil if the one it
// picked is not.
func (o *Operator) at() *client {
	w := o.world
	pick := w.Random.Intn(len(w.fronts) + len(w.cores))
	if len(o.only) > 0 {
		pick = o.only[w.Random.Intn(len(o.only))]
	}
	if pick < len(w.fronts) {
		return w.fronts[pick].client()
	}
	return w.cores[pick-len(w.fronts)].client()
}

func (f *front) client() *client {
	if !f.Up {
		return nil
	}
	ask := func(done func(register.Outcome), start func(now, call int64) wire.Outputs) {
		f.On(func() {
			f.nextAsk++
			f.answers[f.nextAsk] = done
			f.perform(start(f.Clock(), f.nextAsk))
		})
	}
	return &client{
		change: func(asked register.Write, done func(register.Outcome)) {
			ask(done, func(now, call int64) wire.Outputs { return f.line.Change(now, call, asked) })
		},
		read: func(key string, done func(register.Outcome)) {
			ask(done, func(now, call int64) wire.Outputs { return f.line.Read(now, call, key) })
		},
	}
}

func (e *controllerNode) client() *client {
	if !e.Up {
		return nil
	}
	ask := func(done func(register.Outcome), start func(now, call int64) wire.Outputs) {
		e.On(func() {
			e.nextAsk++
			e.answers[e.nextAsk] = done
			e.perform(start(e.Clock(), e.nextAsk))
		})
	}
	return &client{
		change: func(asked register.Write, done func(register.Outcome)) {
			ask(done, func(now, call int64) wire.Outputs { return e.core.Change(now, call, asked) })
		},
		read: func(key string, done func(register.Outcome)) {
			ask(done, func(now, call int64) wire.Outputs { return e.core.Read(now, call, key) })
		},
	}
}

// Set writes a policy where the version is the expected one; -1 takes any.
//
//	ann.Set(3)
func (o *Operator) Set(expected int64) {
	node := o.at()
	if node == nil {
		return
	}
	w := o.world
	o.turn++
	name := fmt.Sprintf("%s-%d", o.name, o.turn)
	op := w.facts.begin(w.NowMs, "set", name, expected)
	op.Client = o.name
	node.change(register.Write{Key: controller.PolicyKey, Expected: expected, Body: w.Body(name)}, func(outcome register.Outcome) {
		w.facts.end(w.NowMs, op, outcome, nameOf(outcome.Value))
		w.Note("%s set %s expecting %d: fate %d mark %d", o.name, name, expected, outcome.Fate, outcome.Value.Version)
	})
}

// Get reads the policy, and then does something with its version.
//
//	ann.Get(func(version int64) { ann.Set(version) })
func (o *Operator) Get(then func(version int64)) {
	node := o.at()
	if node == nil {
		return
	}
	w := o.world
	op := w.facts.begin(w.NowMs, "get", "", 0)
	op.Client = o.name
	node.read(controller.PolicyKey, func(outcome register.Outcome) {
		w.facts.end(w.NowMs, op, outcome, nameOf(outcome.Value))
		if outcome.Fate == register.FateDone && then != nil {
			then(outcome.Value.Version)
		}
	})
}

func nameOf(value wire.Value) string {
	var body struct {
		Kinds []struct{ Name string } `json:"kinds"`
	}
	if json.Unmarshal(value.Body, &body) != nil || len(body.Kinds) == 0 {
		return ""
	}
	return body.Kinds[0].Name
}
