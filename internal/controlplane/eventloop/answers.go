package eventloop

import "applequay/internal/transport"

// unsynced is a message that was handled, and the records that what is sent back for
// it waits for.
type unsynced struct {
	message transport.Arrived
	after   int64
}

// hearAll gives the machine a message and all that wait behind it.
func (l *Loop) hearAll(message transport.Arrived) {
	for {
		held := l.gate.Held()
		l.hear(message)
		if l.gate.Held() > held {
			l.unsynced = append(l.unsynced, unsynced{message: message, after: l.gate.Written()})
		} else {
			l.heard = append(l.heard, message)
		}
		select {
		case message = <-l.inbox:
		default:
			return
		}
	}
}

// tellHeard lets the answers go to which this step has added all that it will, and
// those that waited for records up to a number of which all last by now.
func (l *Loop) tellHeard(durable int64) {
	for at := range l.heard {
		l.heard[at].Heard()
	}
	clear(l.heard)
	l.heard = l.heard[:0]
	for len(l.unsynced) > 0 && l.unsynced[0].after <= durable {
		l.unsynced[0].message.Heard()
		l.unsynced = l.unsynced[1:]
	}
}
