package feed

import (
	"context"
	"time"

	"applequay/internal/controlplane/idempotency"
	"applequay/internal/transport/wire"
)

type taken struct {
	call idempotency.Call
	back chan idempotency.Decision
}

// Ticket decides to which server a call with a key goes, which may take asking
// the other fronts; without a server the call is refused.
//
//	decision := plugs.Ticket(ctx, current.Call("app", "till-4-991"))
func (p *Feed) Ticket(ctx context.Context, call idempotency.Call) idempotency.Decision {
	back := make(chan idempotency.Decision, 1)
	select {
	case p.takes <- taken{call: call, back: back}:
	case <-ctx.Done():
		return idempotency.Decision{Why: "the time is up"}
	}
	select {
	case decision := <-back:
		return decision
	case <-ctx.Done():
		return idempotency.Decision{Why: "the time is up"}
	}
}

// clock is this machine's monotonic time; the book's moments are by it.
func (p *Feed) clock() int64 { return time.Since(p.epoch).Milliseconds() + 1 }

func (p *Feed) perform(out wire.Outputs) {
	for _, send := range out.Sends {
		p.messages.Send(send.To, send.Kind, send.Body)
	}
	for _, answer := range out.Answers {
		if back, waits := p.waiting[answer.Call]; waits {
			delete(p.waiting, answer.Call)
			back <- answer.Body.(idempotency.Decision)
		}
	}
}
