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
	world *World
	name  string
	turn  int
	// only are the nodes that it asks, fronts first; all where there are none.
	only []int
}

// NewOperator makes an operator.
//
//	ann := world.NewOperator("ann")
func (w *World) NewOperator(name string) *Operator { return &Operator{world: w, name: name} }

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

// at picks a node that is up, a front or a core machine.
func (o *Operator) at() (change func(key string, expected int64, body []byte, done func(register.Outcome)), read func(key string, done func(register.Outcome))) {
	w := o.world
	pick := w.Random.Intn(len(w.fronts) + len(w.cores))
	if len(o.only) > 0 {
		pick = o.only[w.Random.Intn(len(o.only))]
	}
	if pick < len(w.fronts) {
		f := w.fronts[pick]
		if !f.Up {
			return nil, nil
		}
		return func(key string, expected int64, body []byte, done func(register.Outcome)) {
				f.On(func() {
					f.nextAsk++
					f.answers[f.nextAsk] = done
					f.perform(f.line.Change(f.Clock(), f.nextAsk, register.Write{Key: key, Expected: expected, Body: body}))
				})
			}, func(key string, done func(register.Outcome)) {
				f.On(func() {
					f.nextAsk++
					f.answers[f.nextAsk] = done
					f.perform(f.line.Read(f.Clock(), f.nextAsk, key))
				})
			}
	}
	e := w.cores[pick-len(w.fronts)]
	if !e.Up {
		return nil, nil
	}
	return func(key string, expected int64, body []byte, done func(register.Outcome)) {
			e.On(func() {
				e.nextAsk++
				e.answers[e.nextAsk] = done
				e.perform(e.core.Change(e.Clock(), e.nextAsk, register.Write{Key: key, Expected: expected, Body: body}))
			})
		}, func(key string, done func(register.Outcome)) {
			e.On(func() {
				e.nextAsk++
				e.answers[e.nextAsk] = done
				e.perform(e.core.Read(e.Clock(), e.nextAsk, key))
			})
		}
}

// Set writes a policy where the mark is the expected one; -1 takes any.
//
//	ann.Set(3)
func (o *Operator) Set(expected int64) {
	change, _ := o.at()
	if change == nil {
		return
	}
	w := o.world
	o.turn++
	name := fmt.Sprintf("%s-%d", o.name, o.turn)
	op := w.facts.begin(w.NowMs, "set", name, expected)
	change(controller.PolicyKey, expected, w.Body(name), func(outcome register.Outcome) {
		w.facts.end(w.NowMs, op, outcome, nameOf(outcome.Value))
		w.Note("%s set %s expecting %d: fate %d mark %d", o.name, name, expected, outcome.Fate, outcome.Value.Mark)
	})
}

// Get reads the policy, and then does something with its mark.
//
//	ann.Get(func(mark int64) { ann.Set(mark) })
func (o *Operator) Get(then func(mark int64)) {
	_, read := o.at()
	if read == nil {
		return
	}
	w := o.world
	op := w.facts.begin(w.NowMs, "get", "", 0)
	read(controller.PolicyKey, func(outcome register.Outcome) {
		w.facts.end(w.NowMs, op, outcome, nameOf(outcome.Value))
		if outcome.Fate == register.FateDone && then != nil {
			then(outcome.Value.Mark)
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
