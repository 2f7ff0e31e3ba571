// Package transport carries messages between the project's processes: batches of
// avro records, posted over HTTP/1.1. Messages may be lost; machines ask again.
package transport

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/samber/oops"

	"applequay/internal/transport/socket"
	"applequay/internal/transport/wire"
)

// Arrived is one message that came in.
type Arrived struct {
	From, Addr string
	Kind       wire.Kind
	Body       wire.Record
	heard      func()
}

// Heard tells the transport that this message was handled, and with it all that
// came before it: the answer to its batch need not be held back any longer.
//
//	defer message.Heard()
func (a Arrived) Heard() {
	if a.heard != nil {
		a.heard()
	}
}

// Counts are what a transport carried; they only rise.
type Counts struct {
	SentMessages, SentBatches, SentBytes, LostMessages, HeardMessages atomic.Int64
	// kindBytes are the bytes of bodies sent, by kind of message.
	kindBytes [kinds]atomic.Int64
}

// kinds is how many kinds of message are counted apart.
const kinds = int(wire.KindTallies) + 1

// KindBytes tells how many bytes of bodies were sent, by kind of message; kinds of
// which none was sent are left out.
//
//	bytes := messages.Counts.KindBytes()[wire.KindNews]
func (c *Counts) KindBytes() map[wire.Kind]int64 {
	out := map[wire.Kind]int64{}
	for kind := range c.kindBytes {
		if sent := c.kindBytes[kind].Load(); sent > 0 {
			out[wire.Kind(kind)] = sent
		}
	}
	return out
}

// sent counts messages that left.
func (c *Counts) sent(messages []wire.Message) {
	c.SentMessages.Add(int64(len(messages)))
	for _, message := range messages {
		if message.Kind >= 0 && message.Kind < int64(kinds) {
			c.kindBytes[message.Kind].Add(int64(len(message.Body)))
		}
	}
}

// How many messages may wait for one address. A front has a line to each of its
// peers and little to say; controllers say all that was not answered at once.
const (
	FrontDepth      = 256
	ControllerDepth = 2048
)

const (
	mostBody   = 64 << 20
	mostAnswer = 4 << 10 // of an answer that holds no batch; what is more is not read
	batchMost  = 128
	// A front keeps a connection to each of its peers, on which little goes.
	answerBuffer = 1 << 10
	batchBuffer  = 2 << 10
	bodyAtOnce   = 64 << 10 // of a batch's memory, for the length that was announced
	batchBytes   = 1 << 20
	answerBytes  = 16 << 10 // what is longer takes a batch, whose time goes by its length
	silentWaits  = 4        // after so many waits without a sign a connection is given up
	answerPart   = 32       // the part of a wait for which an answer is held back until its messages are handled
	slowestLink  = 64 << 10 // bytes a second that a link is allowed to be slow
)

// Transport sends for one control thread, which alone calls Send and Close.
type Transport struct {
	depth      int // of a line
	self, addr string
	lines      map[string]chan wire.Message
	client     *http.Client
	wait       time.Duration
	ctx        context.Context
	Counts     *Counts
	replies    replies
	deliver    func(Arrived) bool
}

// New makes a transport for a node that others reach at addr and that listens at
// listen; wait is how long a small batch may take, depth how many messages may
// wait for one address.
//
//	messages := transport.New(ctx, "c1~7f", settings.Advertise, settings.Listen, time.Second, transport.FrontDepth)
func New(ctx context.Context, self, addr, listen string, wait time.Duration, depth int) *Transport {
	dialer := socket.Dialer(wait, silentWaits*wait)
	if host, _, err := net.SplitHostPort(listen); err == nil {
		// A machine speaks from the address that it listens on.
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(host)}
	}
	transport := &http.Transport{DialContext: socket.Again(dialer.DialContext, wait/8), MaxIdleConnsPerHost: 1, IdleConnTimeout: 30 * time.Second, DisableCompression: true,
		ReadBufferSize: answerBuffer, WriteBufferSize: batchBuffer}
	return &Transport{self: self, addr: addr, lines: map[string]chan wire.Message{}, client: socket.Client(transport), depth: depth, wait: wait, ctx: ctx, Counts: &Counts{}, replies: newReplies(),
		deliver: func(Arrived) bool { return false }}
}

// Send puts a message into the answer to a batch from an address, if one waits for
// it, or else on the line to there; a full line loses it.
//
//	messages.Send("127.0.0.1:7101", wire.KindQuery, body)
func (t *Transport) Send(addr string, kind wire.Kind, body wire.Record) {
	message := wire.Message{Kind: int64(kind), Body: wire.Encode(body)}
	line, ok := t.lines[addr]
	// What already waits on the line stays before what comes after it.
	if len(line) == 0 && t.replies.add(addr, message) {
		return
	}
	if !ok {
		line = make(chan wire.Message, t.depth)
		t.lines[addr] = line
		go t.run(addr, line)
	}
	select {
	case line <- message:
	default:
		t.Counts.LostMessages.Add(1)
	}
}

// run owns one line: it sends what waits, a batch at a time.
func (t *Transport) run(addr string, line chan wire.Message) {
	for {
		var batch wire.Messages
		select {
		case <-t.ctx.Done():
			return
		case message := <-line:
			batch.Messages = append(batch.Messages, message)
		}
		size := len(batch.Messages[0].Body)
		for more := true; more && len(batch.Messages) < batchMost && size < batchBytes; {
			select {
			case message := <-line:
				batch.Messages = append(batch.Messages, message)
				size += len(message.Body)
			default:
				more = false
			}
		}
		batch.From, batch.Addr = t.self, t.addr
		if err := t.post(addr, &batch); err != nil {
			t.Counts.LostMessages.Add(int64(len(batch.Messages)))
			continue
		}
		t.Counts.sent(batch.Messages)
		t.Counts.SentBatches.Add(1)
		t.Counts.SentBytes.Add(int64(size))
	}
}

func (t *Transport) post(addr string, batch *wire.Messages) error {
	body := wire.Encode(batch)
	ctx, cancel := context.WithTimeout(t.ctx, t.patience(int64(len(body))))
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/trunk", bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header["User-Agent"] = nil // no bytes for what nobody reads
	answer, err := t.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	switch answer.StatusCode {
	case http.StatusNoContent:
		return nil
	case http.StatusOK:
		return t.answered(answer)
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, mostAnswer))
	return oops.Errorf("answered %d", answer.StatusCode)
}

// answered takes in the messages that an answer holds.
func (t *Transport) answered(answer *http.Response) error {
	body, err := readBatch(io.LimitReader(answer.Body, mostBody), answer.ContentLength)
	if err != nil {
		return err
	}
	var batch wire.Messages
	if err := batch.Unmarshal(body); err != nil {
		return err
	}
	t.hand(&batch, nil)
	return nil
}

// patience is how long a batch of a size may take on its way.
func (t *Transport) patience(size int64) time.Duration {
	return t.wait + time.Duration(size)*time.Second/slowestLink
}
