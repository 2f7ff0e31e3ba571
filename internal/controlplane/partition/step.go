package partition

import (
	"bytes"
	"slices"
	"strings"

	"applequay/internal/transport/wire"
)

// effects gathers what one step of one key does, to be logged as a single
// StepCompleted.
type effects struct {
	step   wire.StepCompleted
	fronts []wire.HomeTold
}

func (p *Partition) say(e *effects, kind wire.Kind, key string, body wire.Record) {
	e.step.Out = append(e.step.Out, wire.Routed{Partition: Of(key, p.view.Count), Kind: int64(kind), Key: key, Body: wire.Encode(body)})
}

// work runs steps until S is empty. Steps pipeline: none waits for the disk.
func (p *Partition) work(now int64) wire.Outputs {
	var out wire.Outputs
	for len(p.state.Buffers) > 0 {
		key := p.state.Buffers[0].Key
		var messages []wire.Buffered
		var consumed []int64
		for _, held := range p.state.Buffers {
			if held.Key == key {
				messages = append(messages, held)
				consumed = append(consumed, held.Pos)
			}
		}
		p.run(now, &out, key, messages, consumed)
	}
	return out
}

// run steps one key and logs the step if it did anything.
func (p *Partition) run(now int64, out *wire.Outputs, key string, messages []wire.Buffered, consumed []int64) {
	e := p.handle(now, key, messages)
	e.step.Key, e.step.Consumed = key, consumed
	if len(consumed) == 0 && p.idle(e) {
		return
	}
	p.log(out, wire.KindStepCompleted, &e.step)
	for i := range e.fronts {
		for _, front := range sorted(p.askers[key]) {
			out.After(front, wire.KindHomeTold, &e.fronts[i])
		}
	}
}

func (p *Partition) handle(now int64, key string, messages []wire.Buffered) *effects {
	e := &effects{}
	switch {
	case strings.HasPrefix(key, itemPrefix):
		p.stepItem(now, e, strings.TrimPrefix(key, itemPrefix), messages)
	case strings.HasPrefix(key, workerPrefix):
		p.stepWorker(now, e, strings.TrimPrefix(key, workerPrefix), messages)
	case key == StoreKey:
		p.stepStore(now, e, messages)
	}
	return e
}

// idle tells whether a step would change nothing.
func (p *Partition) idle(e *effects) bool {
	if len(e.step.Out)+len(e.step.Tasks)+len(e.step.Done)+len(e.fronts) > 0 {
		return false
	}
	for _, item := range e.step.Items {
		old, ok := p.state.Items[item.Name]
		if !ok || !bytes.Equal(wire.Encode(&old), wire.Encode(&item)) {
			return false
		}
	}
	for _, worker := range e.step.Workers {
		old, ok := p.state.Workers[worker.Name]
		if !ok || !bytes.Equal(wire.Encode(&old), wire.Encode(&worker)) {
			return false
		}
	}
	for _, store := range e.step.Stores {
		if !bytes.Equal(wire.Encode(&p.state.Store), wire.Encode(&store)) {
			return false
		}
	}
	return true
}

// due steps the keys for which time alone may have brought something.
func (p *Partition) due(now int64, out *wire.Outputs) {
	for _, name := range sorted(p.state.Items) {
		if p.lacks(now, p.state.Items[name]) {
			p.run(now, out, itemPrefix+name, nil, nil)
		}
	}
	for _, name := range sorted(p.state.Workers) {
		if slices.ContainsFunc(p.state.Workers[name].Residents, func(r wire.Resident) bool { return r.State == residentQueued || r.State == residentLoading }) {
			p.run(now, out, workerPrefix+name, nil, nil)
		}
		p.fills(now, out, name)
	}
	if len(p.state.Store.Queue) > 0 {
		p.run(now, out, StoreKey, nil, nil)
	}
}

// openings tells this partition's items of openings that are on.
func (p *Partition) openings(now int64, out *wire.Outputs) {
	for _, opening := range p.view.Policy.Openings {
		if !opening.On(p.view.WallMs) {
			continue
		}
		weight := int64(1)
		for _, raised := range opening.Weights {
			weight = max(weight, raised)
		}
		left := opening.AtMs + opening.LastMs - p.view.WallMs
		for _, name := range opening.Items {
			key := ItemKey(name)
			if Of(key, p.view.Count) != p.state.Partition || p.state.Items[name].OpenMs > now {
				continue
			}
			want := &wire.Want{Item: name, Weight: weight, Opening: true, Copies: opening.Copies, UntilMs: left}
			p.log(out, wire.KindMessagesReceived, &wire.MessagesReceived{Sender: clockSender, Kind: int64(wire.KindWant), Key: key, Body: wire.Encode(want)})
		}
	}
}

// sayAgain repeats, to a partition that has a new owner, what it may have lost.
func (p *Partition) sayAgain(now int64, out *wire.Outputs, partition, fence int64) {
	for _, name := range sorted(p.state.Items) {
		e := &effects{}
		for _, home := range p.state.Items[name].Homes {
			if Of(WorkerKey(home.Worker), p.view.Count) == partition {
				p.askHome(now, e, name, p.state.Items[name], home)
			}
		}
		p.logSaid(out, itemPrefix+name, e)
	}
	for _, name := range sorted(p.state.Workers) {
		e := &effects{}
		for _, resident := range p.state.Workers[name].Residents {
			if resident.State != residentLeaving && Of(ItemKey(resident.Item), p.view.Count) == partition {
				p.tell(e, name, resident, verdictOf(resident), 0)
			}
			if resident.State == residentAsked && Of(StoreKey, p.view.Count) == partition {
				p.askPermit(e, name, resident)
			}
		}
		p.logSaid(out, workerPrefix+name, e)
	}
	if Of(StoreKey, p.view.Count) == p.state.Partition {
		e := &effects{}
		p.forgetAskers(now, e, partition, fence)
		p.logSaid(out, StoreKey, e)
	}
}

func (p *Partition) logSaid(out *wire.Outputs, key string, e *effects) {
	if !p.idle(e) {
		e.step.Key = key
		p.log(out, wire.KindStepCompleted, &e.step)
	}
}
