package eventloop

import "applequay/internal/transport"

// unsynced is a message that was handled, and the records that what is sent back for
// it waits for.
type unsynced struct {
	message transport.Arrived
	after   int64
}

// hearAll gives the machine a message and all that wait behind it.
func (p *Loop) hearAll(message transport.Arrived) {
	for {
		held := p.gate.Held()
		p.hear(message)
		if p.gate.Held() > held {
			p.unsynced = append(p.unsynced, unsynced{message: message, after: p.gate.Written()})
		} else {
			p.heard = append(p.heard, message)
		}
		select {
		case message = <-p.inbox:
		default:
			return
		}
	}
}

// tellHeard lets the answers go to which this step has added all that it will, and
// those that waited for records up to a number of which all last by now.
func (p *Loop) tellHeard(durable int64) {
	for at := range p.heard {
		p.heard[at].Heard()
	}
	clear(p.heard)
	p.heard = p.heard[:0]
	for len(p.unsynced) > 0 && p.unsynced[0].after <= durable {
		p.unsynced[0].message.Heard()
		p.unsynced = p.unsynced[1:]
	}
}
