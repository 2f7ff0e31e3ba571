package transport

import (
	"sync"

	"applequay/internal/transport/wire"
)

// replies are the answers to batches that are being handled: a message to where one
// of them came from goes with its answer and takes no batch of its own.
type replies struct {
	mutex sync.Mutex
	open  map[string]*reply
}

// reply is what goes with one answer.
type reply struct {
	messages []wire.Message
	size     int
}

func newReplies() replies { return replies{open: map[string]*reply{}} }

// begin opens the answer to a batch from an address; a batch that names none gets
// no messages.
func (r *replies) begin(addr string) *reply {
	one := &reply{}
	if addr != "" {
		r.mutex.Lock()
		r.open[addr] = one
		r.mutex.Unlock()
	}
	return one
}

// end closes an answer and returns what goes with it.
func (r *replies) end(addr string, one *reply) []wire.Message {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.open[addr] == one {
		delete(r.open, addr)
	}
	return one.messages
}

// add puts a message into the answer that is open for an address; false if there is
// none, or no room in it.
func (r *replies) add(addr string, message wire.Message) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	one := r.open[addr]
	if one == nil || len(one.messages) >= batchMost || one.size+len(message.Body) > answerBytes {
		return false
	}
	one.messages = append(one.messages, message)
	one.size += len(message.Body)
	return true
}
