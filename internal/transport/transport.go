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
}

// Counts are what a transport carried; they only rise.
type Counts struct {
	SentMessages, SentBatches, SentBytes, LostMessages, HeardMessages atomic.Int64
}

// How many messages may wait for one address. A front has a line to each of its
// peers and little to say; controllers say all that was not answered at once.
const (
	FrontDepth      = 256
	ControllerDepth = 2048
)

const (
	mostBody   = 64 << 20
	mostAnswer = 4 << 10 // an answer says nothing; what is more is not read
	batchMost  = 128
	// A front keeps a connection to each of its peers, on which little goes.
	answerBuffer = 1 << 10
	batchBuffer  = 2 << 10
	bodyAtOnce   = 64 << 10 // of a batch's memory, for the length that was announced
	batchBytes   = 1 << 20
	silentWaits  = 4        // after so many waits without a sign a connection is given up
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
}

// New makes a transport for a node that others reach at addr and that listens at
// listen; wait is how long a small batch may take, depth how many messages may
// wait for one address.
//
//	cable := transport.New(ctx, "c1~7f", settings.Advertise, settings.Listen, time.Second, transport.FrontDepth)
func New(ctx context.Context, self, addr, listen string, wait time.Duration, depth int) *Transport {
	dialer := socket.Dialer(wait, silentWaits*wait)
	if host, _, err := net.SplitHostPort(listen); err == nil {
		// A machine speaks from the address that it listens on.
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(host)}
	}
	transport := &http.Transport{DialContext: socket.Again(dialer.DialContext, wait/8), MaxIdleConnsPerHost: 1, IdleConnTimeout: 30 * time.Second, DisableCompression: true,
		ReadBufferSize: answerBuffer, WriteBufferSize: batchBuffer}
	return &Transport{self: self, addr: addr, lines: map[string]chan wire.Message{}, client: socket.Client(transport), depth: depth, wait: wait, ctx: ctx, Counts: &Counts{}}
}

// Send puts a message on the line to an address; a full line loses it.
//
//	cable.Send("127.0.0.1:7101", wire.KindQuery, body)
func (t *Transport) Send(addr string, kind wire.Kind, body wire.Record) {
	line, ok := t.lines[addr]
	if !ok {
		line = make(chan wire.Message, t.depth)
		t.lines[addr] = line
		go t.run(addr, line)
	}
	select {
	case line <- wire.Message{Kind: int64(kind), Body: wire.Encode(body)}:
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
		t.Counts.SentMessages.Add(int64(len(batch.Messages)))
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
	_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, mostAnswer))
	_ = answer.Body.Close()
	if answer.StatusCode != http.StatusNoContent {
		return oops.Errorf("answered %d", answer.StatusCode)
	}
	return nil
}

// patience is how long a batch of a size may take on its way.
func (t *Transport) patience(size int64) time.Duration {
	return t.wait + time.Duration(size)*time.Second/slowestLink
}

// read takes a batch in, in no more time than its sender gives it: one that was
// cut off in the middle keeps neither its connection nor its memory here.
func (t *Transport) read(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	control := http.NewResponseController(w)
	bounded := control.SetReadDeadline(time.Now().Add(t.patience(min(max(r.ContentLength, 0), mostBody)))) == nil
	var body bytes.Buffer
	body.Grow(int(min(max(r.ContentLength, 0), bodyAtOnce)) + bytes.MinRead)
	_, err := body.ReadFrom(http.MaxBytesReader(w, r.Body, mostBody))
	if err == nil && bounded {
		_ = control.SetReadDeadline(time.Time{})
	}
	return body.Bytes(), err
}

// Handler takes batches in and hands each message on. Deliver must not block
// for long; messages it turns away are lost.
//
//	router.Handle("/trunk", cable.Handler(deliver)).Methods("POST")
func (t *Transport) Handler(deliver func(Arrived) bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := t.read(w, r)
		if err != nil {
			http.Error(w, "too large, or not all there in time", http.StatusRequestEntityTooLarge)
			return
		}
		var batch wire.Messages
		if err := batch.Unmarshal(body); err != nil {
			http.Error(w, oops.Wrapf(err, "letters").Error(), http.StatusBadRequest)
			return
		}
		for _, message := range batch.Messages {
			record, err := wire.Decode(wire.Kind(message.Kind), message.Body)
			if err != nil {
				continue
			}
			t.Counts.HeardMessages.Add(1)
			if !deliver(Arrived{From: batch.From, Addr: batch.Addr, Kind: wire.Kind(message.Kind), Body: record}) {
				t.Counts.LostMessages.Add(1)
			}
		}
		w.Header()["Date"] = nil
		w.WriteHeader(http.StatusNoContent)
	})
}
