package workermodel

// Order tells a worker to load or unload a model, or an adapter of it. Expected
// is the count of orders the holder believes were taken, or below nought.
type Order struct {
	Unload         bool
	Model, Adapter string
	Holder         string
	Fence          int64
	Expected       int64
}

// Answer is what a worker says to an order.
type Answer int

// Under way; it holds already; another is under way or the count differs; a
// higher fence was seen; no such order; the model is not there; it fell, since
// there was no room.
const (
	UnderWay Answer = iota
	Already
	Conflict
	Fenced
	Unknown
	Absent
	Fell
)

type heldModel struct {
	version  int64
	adapters map[string]bool
}

// work is the order that is being carried out.
type work struct {
	order    Order
	doneAt   float64 // Never for unloads, which wait for runs, and for the store
	ticket   int64   // of the store
	fromDisk bool
}

// concerns tells whether requests for a model and adapter must wait for it.
func (w *work) concerns(model, adapter string) bool {
	return w != nil && w.order.Model == model && (w.order.Adapter == "" || w.order.Adapter == adapter)
}

// Order takes an order. Cold loads begin at the store at once.
//
//	answer := worker.Order(now, workermodel.Order{Model: "m3", Holder: "c1", Fence: 7, Expected: -1})
func (e *Engine) Order(nowMs float64, order Order) Answer {
	e.catchUp(nowMs)
	model, known := e.models[order.Model]
	if order.Holder == "" || order.Fence <= 0 || !known {
		return Unknown
	}
	if e.spec.Fenced && order.Fence < e.fence {
		return Fenced
	}
	e.fence = max(e.fence, order.Fence)
	if e.work != nil || (order.Expected >= 0 && order.Expected != e.orders) {
		return Conflict
	}
	held := e.held[order.Model]
	there := held != nil && (order.Adapter == "" || held.adapters[order.Adapter])
	if there != order.Unload {
		return Already
	}
	if held == nil && order.Adapter != "" {
		return Absent
	}
	if !order.Unload && !e.fits(model, order.Adapter) {
		e.fallen = true
		return Fell
	}
	e.orders++
	e.begin(nowMs, order, model)
	return UnderWay
}

// fits tells whether a model, or an adapter of it, can still be loaded.
func (e *Engine) fits(model Model, adapter string) bool {
	size, places := model.SizeMb, 0
	if adapter != "" {
		size, places = model.ExtraMb, 1
	}
	for name, one := range e.held {
		size += e.models[name].SizeMb + float64(len(one.adapters))*e.models[name].ExtraMb
		places += len(one.adapters)
	}
	return size <= e.spec.RoomMb && places <= e.spec.AdapterPlaces
}

func (e *Engine) begin(nowMs float64, order Order, model Model) {
	e.work = &work{order: order, doneAt: Never}
	switch {
	case order.Unload:
	case order.Adapter != "":
		e.work.doneAt = nowMs + model.ExtraMs
	case e.Warm[order.Model] || e.store == nil:
		e.work.fromDisk = e.Warm[order.Model]
		e.work.doneAt = nowMs + model.LoadMs
		if e.work.fromDisk {
			e.work.doneAt = nowMs + model.WarmMs
		}
	default:
		e.work.ticket = e.store.Begin(nowMs, model.LoadMs)
	}
	e.oust(nowMs)
}

// oust turns away what waits for what an order concerns.
func (e *Engine) oust(nowMs float64) {
	left := e.waiting[:0:0]
	for _, one := range e.waiting {
		if e.work.concerns(one.ask.Model, one.ask.Adapter) && !one.begun {
			e.emit(nowMs, Ousted, one, 0)
			continue
		}
		left = append(left, one)
	}
	e.waiting = left
}

// finishWork ends the order under way if it is done by now.
func (e *Engine) finishWork(nowMs float64) {
	w := e.work
	if w == nil {
		return
	}
	name, adapter := w.order.Model, w.order.Adapter
	if w.order.Unload {
		for _, one := range append(append([]*request{}, e.running...), e.waiting...) {
			if w.concerns(one.ask.Model, one.ask.Adapter) {
				return
			}
		}
		e.memory.forget(name, adapter)
		if adapter == "" {
			delete(e.held, name)
		} else {
			delete(e.held[name].adapters, adapter)
		}
		e.work = nil
		return
	}
	if w.ticket != 0 {
		if doneAt, ok := e.store.Done(nowMs, w.ticket); ok {
			w.doneAt = doneAt
		}
	}
	if w.doneAt > nowMs {
		return
	}
	if adapter == "" {
		e.held[name] = &heldModel{version: e.models[name].Version, adapters: map[string]bool{}}
		e.Warm[name] = true
	} else {
		e.held[name].adapters[adapter] = true
	}
	e.work = nil
}

// Store is the store of weights that workers share: past AtOnce loads at a
// time, each takes longer in proportion.
type Store struct {
	AtOnce int
	atMs   float64
	serial int64
	left   map[int64]float64
	done   map[int64]float64
	// Begun holds the moments at which loads began, in ms.
	Begun []float64
}

// NewStore makes a store that gives full speed to so many loads at once.
//
//	store := workermodel.NewStore(6)
func NewStore(atOnce int) *Store {
	return &Store{AtOnce: atOnce, left: map[int64]float64{}, done: map[int64]float64{}}
}

// Begin begins a load that takes so long alone, and returns its ticket.
//
//	ticket := store.Begin(now, 1900)
func (s *Store) Begin(nowMs, loadMs float64) int64 {
	s.catchUp(nowMs)
	s.serial++
	s.left[s.serial] = max(loadMs, 0)
	s.Begun = append(s.Begun, nowMs)
	return s.serial
}

// Done tells when a load was done, if it is by now.
//
//	at, ok := store.Done(now, ticket)
func (s *Store) Done(nowMs float64, ticket int64) (float64, bool) {
	s.catchUp(nowMs)
	at, ok := s.done[ticket]
	return at, ok
}

// NextMs is when the next load is done, or Never.
//
//	at := store.NextMs()
func (s *Store) NextMs() float64 {
	next := Never
	for _, left := range s.left {
		next = min(next, s.atMs+left*s.drag())
	}
	return next
}

func (s *Store) drag() float64 { return max(1, float64(len(s.left))/float64(max(s.AtOnce, 1))) }

func (s *Store) catchUp(nowMs float64) {
	for s.atMs < nowMs {
		until, drag := min(nowMs, s.NextMs()), s.drag()
		for ticket, left := range s.left {
			if left -= (until - s.atMs) / drag; left <= 1e-3 {
				s.done[ticket] = until
				delete(s.left, ticket)
				continue
			}
			s.left[ticket] = left
		}
		s.atMs = until
	}
}
