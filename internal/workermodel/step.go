package workermodel

// step is one round of the batch: some prompts are read on, and each request
// whose prompt is read makes a token.
type step struct {
	endMs  float64
	makers []*request
	reads  []reading
}

type reading struct {
	of     *request
	tokens int
}

// plan lets in who may come and begins the next step, if there is any work.
func (e *Engine) plan(atMs float64) {
	e.admit()
	next := &step{}
	budget := e.spec.ChunkTokens
	if budget <= 0 {
		budget = int(^uint(0) >> 1)
	}
	var reads float64
	for _, one := range e.ranked() {
		if one.unread == 0 {
			continue
		}
		tokens := min(budget, one.unread)
		if tokens == 0 {
			break
		}
		budget -= tokens
		reads += e.spec.ReadTime(tokens, one.context()-one.unread)
		next.reads = append(next.reads, reading{one, tokens})
		one.unread -= tokens
	}
	context := 0
	for _, one := range e.ranked() {
		if one.unread > 0 || !e.grow(one) {
			continue
		}
		next.makers = append(next.makers, one)
		context += one.context()
	}
	if len(next.makers)+len(next.reads) == 0 {
		return
	}
	next.endMs = atMs + e.pace()*(reads+e.spec.StepTime(len(next.makers), context))
	e.step = next
}

// pace is the mean pace of what runs.
func (e *Engine) pace() float64 {
	sum := 0.0
	for _, one := range e.running {
		sum += e.models[one.ask.Model].Pace
	}
	if len(e.running) == 0 {
		return 1
	}
	return sum / float64(len(e.running))
}

// ranked lists what runs, the most urgent first.
func (e *Engine) ranked() []*request {
	out := append([]*request{}, e.running...)
	for i := range out {
		for j := i; j > 0 && before(out[j], out[j-1]) < 0; j-- {
			out[j], out[j-1] = out[j-1], out[j]
		}
	}
	return out
}

// admit lets waiting requests in: the most urgent first, and where there is no
// room for them, in the place of less urgent ones.
func (e *Engine) admit() {
	for len(e.waiting) > 0 {
		one := e.waiting[0]
		if len(e.running) >= e.spec.Slots && !e.displace(one.ask.Urgency) {
			return
		}
		found := e.memory.found(one.ask)
		own, unread := e.need(one.ask)+e.spec.blocks(one.made), one.context()+one.ask.From*max(e.spec.PieceTokens, 1)
		for _, part := range found {
			own -= e.spec.blocks(part.tokens)
			unread -= part.tokens
			e.memory.use(part)
		}
		if !e.memory.take(own) {
			e.memory.release(found)
			if !e.displace(one.ask.Urgency) {
				return
			}
			continue
		}
		one.parts, one.own, one.unread, one.settled = found, own, unread, false
		e.ReadTokens += int64(unread)
		e.KeptTokens += int64(one.context() - unread)
		if unread == 0 {
			one.settled = true
		}
		e.waiting = e.waiting[1:]
		e.running = append(e.running, one)
	}
}

// displace puts back the newest of the least urgent that run, if it is less
// urgent than some other.
func (e *Engine) displace(urgency int) bool {
	worst := e.worst()
	if worst == nil || worst.ask.Urgency <= urgency {
		return false
	}
	e.putBack(worst)
	return true
}

func (e *Engine) worst() *request {
	var worst *request
	for _, one := range e.running {
		if worst == nil || before(one, worst) > 0 {
			worst = one
		}
	}
	return worst
}

// putBack lets a running request wait again; it is read anew.
func (e *Engine) putBack(one *request) {
	for at := range e.running {
		if e.running[at] == one {
			e.running = append(e.running[:at:at], e.running[at+1:]...)
			break
		}
	}
	e.free(one)
	one.unread = 0
	e.PutBack++
	e.wait(one)
}

// grow claims memory for one more token. If there is none, the newest of the
// least urgent is put back, which may be this one: then it makes none.
func (e *Engine) grow(one *request) bool {
	if !e.runs(one) {
		return false
	}
	more := e.spec.blocks(one.made+1) - e.spec.blocks(one.made)
	for !e.memory.take(more) {
		worst := e.worst()
		e.putBack(worst)
		if worst == one {
			return false
		}
	}
	one.own += more
	return true
}

func (e *Engine) runs(one *request) bool {
	for _, other := range e.running {
		if other == one {
			return true
		}
	}
	return false
}

// finish ends a step: tokens are made, pieces told, prompts kept.
func (e *Engine) finish(atMs float64) {
	done := e.step
	e.step = nil
	for _, one := range done.makers {
		if !e.runs(one) {
			continue // dropped, late or put back in between
		}
		if !one.settled {
			before := e.memory.own
			one.parts, one.settled = e.memory.settle(one.ask, one.parts), true
			one.own -= before - e.memory.own
		}
		one.made++
		if !one.begun {
			one.begun = true
			e.emit(atMs, Began, one, 0)
		}
		stride := max(e.spec.PieceTokens, 1)
		if one.made%stride == 0 || one.made >= one.ask.Out {
			e.emit(atMs, Piece, one, one.ask.From+(one.made+stride-1)/stride)
		}
		if one.made >= one.ask.Out {
			e.emit(atMs, Done, one, 0)
			e.remove(func(other *request) bool { return other == one })
		}
	}
}
