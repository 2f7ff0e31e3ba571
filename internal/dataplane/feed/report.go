package feed

import (
	"time"

	"applequay/internal/transport/wire"
)

// Times of the feed's own work: while something waits, and while nothing does. The
// agent hears of this process at least every aliveEvery.
const (
	reportEvery = 100 * time.Millisecond
	restEvery   = 4 * reportEvery
	aliveEvery  = 2 * restEvery
	wantEvery   = 2 * reportEvery // what is wanted for the first time is told at once
	slack       = reportEvery / 2
)

// waits tells whether a request is held, comes again or asks for its key's server.
func (p *Feed) waits() bool {
	return len(p.holding)+len(p.coming) > 0 || p.book.Busy()
}

// due tells whether a time is over, and begins it anew.
func due(last *time.Time, every time.Duration) (time.Duration, bool) {
	now := time.Now()
	past := now.Sub(*last)
	if past < every-slack {
		return past, false
	}
	*last = now
	return past, true
}

// report tells the agent what is held, and now and then what is in work; it
// also asks for what the agent knows and this process does not.
func (p *Feed) report() {
	_, alive := due(&p.aliveAt, aliveEvery)
	if alive {
		p.messages.Send(p.agent, wire.KindSubscribe, p.board.Asks(""))
	}
	told := &wire.Report{}
	for _, want := range p.holding {
		told.Wants = append(told.Wants, *want)
	}
	for item, one := range p.coming {
		if p.holding[item] != nil || p.now() > one.untilMs {
			delete(p.coming, item)
			continue
		}
		told.Wants = append(told.Wants, wire.Want{Item: item, Held: 1, Weight: one.weight})
	}
	if past, tally := due(&p.talliedAt, restEvery); tally {
		p.tally(past)
	}
	told.Came, told.Bad = p.counts.Came.Load(), p.counts.Bad.Load()
	_, wanted := due(&p.wantedAt, wantEvery)
	if (wanted && len(told.Wants) > 0) || alive {
		p.messages.Send(p.agent, wire.KindReport, told)
	}
}
