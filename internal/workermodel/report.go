package workermodel

// note keeps how things stand, for reports that lag.
func (e *Engine) note(atMs float64) {
	if last := len(e.reports) - 1; last >= 0 && atMs-e.reports[last].AtMs < e.spec.ReportLagMs/8 && atMs > 0 {
		return
	}
	fixed, _ := e.memory.held()
	e.reports = append(e.reports, Report{AtMs: atMs, Held: heldList(e.held), Busy: e.work != nil, Orders: e.orders,
		Waiting: len(e.waiting), Running: len(e.running), UsedTokens: fixed, AllTokens: e.spec.MemoryTokens})
	for len(e.reports) > 1 && e.reports[1].AtMs <= atMs-e.spec.ReportLagMs {
		e.reports = e.reports[1:]
	}
}

// Report is how the worker stood ReportLagMs ago.
//
//	report := worker.Report(now)
func (e *Engine) Report(nowMs float64) Report {
	e.catchUp(nowMs)
	at := 0
	for at+1 < len(e.reports) && e.reports[at+1].AtMs <= nowMs-e.spec.ReportLagMs {
		at++
	}
	return e.reports[at]
}

// Load tells what runs, what waits and the slots, as they are.
//
//	running, waiting, slots := worker.Load()
func (e *Engine) Load() (running, waiting, slots int) {
	return len(e.running), len(e.waiting), e.spec.Slots
}

// Holds lists what is held, as it is.
//
//	for _, held := range worker.Holds() { ... }
func (e *Engine) Holds() []Held { return heldList(e.held) }

// Fallen tells that an order overran the worker's room: it is no more.
//
//	if worker.Fallen() { restart() }
func (e *Engine) Fallen() bool { return e.fallen }

// State is what an estimate for a request needs, as it is.
//
//	ms := workermodel.FirstMs(spec, worker.State(ask), ask)
func (e *Engine) State(ask Ask) State {
	state := State{Running: len(e.running), Pace: e.models[ask.Model].Pace}
	for _, one := range e.memory.found(ask) {
		state.Kept += one.tokens
	}
	for _, one := range e.running {
		state.Unread += one.unread
		state.Context += one.context()
		state.Left += one.ask.Out - one.made
	}
	state.Left /= max(len(e.running), 1)
	for _, one := range e.waiting {
		if one.ask.Urgency <= ask.Urgency {
			state.Waiting++
			state.Unread += one.ask.Prompt()
		}
	}
	return state
}

// Slow multiplies all times of a worker from now on (1 is its own pace).
//
//	worker.Slow(now, 3)
func (e *Engine) Slow(nowMs, times float64) {
	e.catchUp(nowMs)
	e.spec.Slowness = times
}
