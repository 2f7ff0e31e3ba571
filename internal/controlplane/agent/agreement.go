package agent

import "applequay/internal/transport/wire"

// agreement is what this front knows, from the sums that probes and their answers
// carry, of how its news compares with what others have. As long as all who were
// heard have the same, nobody needs to be asked for what was missed.
type agreement struct {
	control, homes part
	// coreMs is a moment at which this front's control topics were at least as new as
	// those of a controller in touch with its majority; nought if there was none. It is
	// learned from controllers and passed on between fronts that have the same.
	coreMs int64
}

// part is the agreement on one kind of topics.
type part struct {
	agreedMs int64 // when another was heard that had the same
	differs  bool  // whether another was heard since that had not
}

// agreedProbes is for how many probes it counts that another had the same.
const agreedProbes = 4

// compared takes the sums of another node.
func (p *part) compared(now int64, same bool) {
	if same {
		p.agreedMs = now
	} else {
		p.differs = true
	}
}

// asks tells whether what was missed must be asked for, and takes it as done.
func (p *part) asks(now, withinMs int64) bool {
	needed := p.differs || p.agreedMs == 0 || now-p.agreedMs >= withinMs
	p.differs = false
	return needed
}

// compare takes what another node has of the news.
func (a *Agent) compare(now int64, theirs *wire.BoardSums) {
	mine := a.board.Sums()
	same := mine.Control == theirs.Control
	a.agreement.control.compared(now, same)
	a.agreement.homes.compared(now, mine.Homes == theirs.Homes)
	if same && theirs.AgeMs > 0 {
		a.agreement.coreMs = max(a.agreement.coreMs, now-theirs.AgeMs+1)
	}
}

// sums are what this node's messages say of its news.
func (a *Agent) sums(now int64) wire.BoardSums {
	out := a.board.Sums()
	if a.agreement.coreMs > 0 {
		out.AgeMs = now - a.agreement.coreMs + 1
	}
	return out
}
