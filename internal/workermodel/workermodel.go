package workermodel

import (
	"cmp"
	"slices"
)

// request is one that waits or runs.
type request struct {
	ask    Ask
	seq    int64
	parts  []*kept
	own    int // tokens of memory that are no kept parts
	unread int
	made   int
	// begun tells that a first token was made; settled that its prompt was read
	// and its parts are kept.
	begun, settled bool
}

func (r *request) context() int { return r.ask.Prompt() + r.made }

// Engine is one worker, in one life.
type Engine struct {
	spec    Spec
	models  map[string]Model
	store   *Store
	memory  memory
	held    map[string]*heldModel
	running []*request
	waiting []*request
	seq     int64
	atMs    float64
	step    *step
	events  []Event
	work    *work
	fence   int64
	orders  int64
	fallen  bool
	reports []Report
	// Warm names the models held before, in earlier lives too.
	Warm map[string]bool
	// ReadTokens counts what was read, KeptTokens what needed no reading, PutBack
	// how often memory or a more urgent request put one back.
	ReadTokens, KeptTokens, PutBack int64
}

// New makes a worker that holds some models from the start. Workers may share a
// store; without one, loads take as long as they take alone.
//
//	worker := workermodel.New(spec, models, store, map[string][]string{"m1": {"a2"}})
func New(spec Spec, models []Model, store *Store, holds map[string][]string) *Engine {
	e := &Engine{spec: spec, models: map[string]Model{}, store: store, held: map[string]*heldModel{}, Warm: map[string]bool{}}
	e.memory = memory{spec: spec, parts: map[string]*kept{}}
	for _, model := range models {
		if model.Pace <= 0 {
			model.Pace = 1
		}
		e.models[model.Name] = model
	}
	for name, adapters := range holds {
		one := &heldModel{version: e.models[name].Version, adapters: map[string]bool{}}
		for _, adapter := range adapters {
			one.adapters[adapter] = true
		}
		e.held[name], e.Warm[name] = one, true
	}
	return e
}

// Ask brings a request. Only Taken means that it waits or runs.
//
//	verdict := worker.Ask(now, workermodel.Ask{Name: "r1", Model: "m1", Out: 80})
func (e *Engine) Ask(nowMs float64, ask Ask) Verdict {
	e.catchUp(nowMs)
	held := e.held[ask.Model]
	switch {
	case e.work.concerns(ask.Model, ask.Adapter):
		return Busy
	case held == nil || (ask.Adapter != "" && !held.adapters[ask.Adapter]):
		return Missing
	case ask.DeadlineMs > 0 && ask.DeadlineMs <= nowMs:
		return TooLate
	case e.need(ask)+e.spec.blocks(ask.Out) > e.spec.MemoryTokens,
		len(e.waiting) >= e.spec.QueueLimit+max(0, e.spec.Slots-len(e.running)):
		return Full
	}
	ask.Out = max(ask.Out, 1)
	e.seq++
	e.wait(&request{ask: ask, seq: e.seq})
	if e.step == nil {
		e.plan(nowMs)
	}
	return Taken
}

// need is the memory that a prompt takes if nothing of it is kept.
func (e *Engine) need(ask Ask) int {
	sum := e.spec.blocks(ask.From * max(e.spec.PieceTokens, 1))
	for _, part := range ask.Parts {
		sum += e.spec.blocks(part.Tokens)
	}
	return sum
}

// Drop ends a request whose client has gone.
//
//	worker.Drop(now, "r1")
func (e *Engine) Drop(nowMs float64, name string) {
	e.catchUp(nowMs)
	e.remove(func(one *request) bool { return one.ask.Name == name })
	e.finishWork(nowMs)
}

// Advance brings the worker to a moment and returns what happened since.
//
//	for _, event := range worker.Advance(now) { ... }
func (e *Engine) Advance(nowMs float64) []Event {
	e.catchUp(nowMs)
	out := e.events
	e.events = nil
	return out
}

// NextMs is when something happens next if nothing comes, or Never.
//
//	at := worker.NextMs()
func (e *Engine) NextMs() float64 {
	next := Never
	if e.step != nil {
		next = e.step.endMs
	}
	for _, list := range [][]*request{e.running, e.waiting} {
		for _, one := range list {
			if one.ask.DeadlineMs > 0 {
				next = min(next, one.ask.DeadlineMs)
			}
		}
	}
	if e.work != nil {
		next = min(next, e.work.doneAt)
		if e.work.ticket != 0 {
			next = min(next, e.store.NextMs())
		}
	}
	return next
}

// catchUp plays everything up to a moment.
func (e *Engine) catchUp(nowMs float64) {
	for {
		at := e.NextMs()
		if at > nowMs || at == Never {
			break
		}
		at = max(at, e.atMs)
		e.atMs = at
		e.lapse(at)
		if e.step != nil && e.step.endMs <= at {
			e.finish(at)
		}
		e.finishWork(at)
		if e.step == nil {
			e.plan(at)
		}
		e.note(at)
	}
	e.atMs = max(e.atMs, nowMs)
	e.finishWork(nowMs)
	e.note(nowMs)
}

// lapse ends what is past its deadline.
func (e *Engine) lapse(atMs float64) {
	e.remove(func(one *request) bool {
		if one.ask.DeadlineMs <= 0 || one.ask.DeadlineMs > atMs {
			return false
		}
		kind := Lapsed
		if one.begun {
			kind = Late
		}
		e.emit(atMs, kind, one, 0)
		return true
	})
}

// remove takes requests out wherever they are, and frees what they held.
func (e *Engine) remove(gone func(*request) bool) {
	e.running = slices.DeleteFunc(e.running, func(one *request) bool {
		if !gone(one) {
			return false
		}
		e.free(one)
		return true
	})
	e.waiting = slices.DeleteFunc(e.waiting, gone)
}

func (e *Engine) free(one *request) {
	e.memory.release(one.parts)
	e.memory.own -= one.own
	one.parts, one.own, one.settled = nil, 0, false
}

func (e *Engine) wait(one *request) {
	e.waiting = append(e.waiting, one)
	slices.SortFunc(e.waiting, before)
}

// before puts the more urgent first, then those who came earlier.
func before(a, b *request) int {
	return cmp.Or(cmp.Compare(a.ask.Urgency, b.ask.Urgency), cmp.Compare(a.seq, b.seq))
}

func (e *Engine) emit(atMs float64, kind Kind, one *request, number int) {
	e.events = append(e.events, Event{AtMs: atMs, Kind: kind, Name: one.ask.Name, Number: number})
}
