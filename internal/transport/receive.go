package transport

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/samber/oops"

	"applequay/internal/transport/wire"
)

// read takes a batch in, in no more time than its sender gives it: one that was
// cut off in the middle keeps neither its connection nor its memory here.
func (t *Transport) read(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	control := http.NewResponseController(w)
	bounded := control.SetReadDeadline(time.Now().Add(t.patience(min(max(r.ContentLength, 0), mostBody)))) == nil
	body, err := readBatch(http.MaxBytesReader(w, r.Body, mostBody), r.ContentLength)
	if err == nil && bounded {
		_ = control.SetReadDeadline(time.Time{})
	}
	return body, err
}

// readBatch reads the bytes of a batch, whose length may have been announced.
func readBatch(from io.Reader, announced int64) ([]byte, error) {
	var body bytes.Buffer
	body.Grow(int(min(max(announced, 0), bodyAtOnce)) + bytes.MinRead)
	_, err := body.ReadFrom(from)
	return body.Bytes(), err
}

// Handler takes batches in and hands each message on. Deliver must not block
// for long; messages it turns away are lost. What the receiver sends back while it
// handles them goes with the answer.
//
//	router.Handle("/trunk", messages.Handler(deliver)).Methods("POST")
func (t *Transport) Handler(deliver func(Arrived) bool) http.Handler {
	t.deliver = deliver
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := t.read(w, r)
		if err != nil {
			http.Error(w, "too large, or not all there in time", http.StatusRequestEntityTooLarge)
			return
		}
		var batch wire.Messages
		if err := batch.Unmarshal(body); err != nil {
			http.Error(w, oops.Wrapf(err, "messages").Error(), http.StatusBadRequest)
			return
		}
		w.Header()["Date"] = nil
		messages := t.exchange(&batch)
		if len(messages) == 0 {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		t.answer(w, messages)
	})
}

// exchange hands the messages of a batch on and returns what is sent back to where
// it came from until all of them were handled, or for as long as an answer is held
// back for that.
func (t *Transport) exchange(batch *wire.Messages) []wire.Message {
	reply := t.replies.begin(batch.Addr)
	heard := make(chan struct{})
	if t.hand(batch, sync.OnceFunc(func() { close(heard) })) {
		ends := time.NewTimer(t.wait / answerPart)
		select {
		case <-heard:
		case <-ends.C:
		case <-t.ctx.Done():
		}
		ends.Stop()
	}
	return t.replies.end(batch.Addr, reply)
}

// hand gives each message of a batch to the receiver, heard with the last; false if
// that one was turned away or cannot be read.
func (t *Transport) hand(batch *wire.Messages, heard func()) bool {
	last := false
	for at, message := range batch.Messages {
		record, err := wire.Decode(wire.Kind(message.Kind), message.Body)
		if err != nil {
			last = false
			continue
		}
		t.Counts.HeardMessages.Add(1)
		one := Arrived{From: batch.From, Addr: batch.Addr, Kind: wire.Kind(message.Kind), Body: record}
		if at == len(batch.Messages)-1 {
			one.heard = heard
		}
		last = t.deliver(one)
		if !last {
			t.Counts.LostMessages.Add(1)
		}
	}
	return last
}

// answer sends messages with the answer to a batch.
func (t *Transport) answer(w http.ResponseWriter, messages []wire.Message) {
	body := wire.Encode(&wire.Messages{From: t.self, Addr: t.addr, Messages: messages})
	w.Header()["Content-Type"] = nil
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if _, err := w.Write(body); err != nil {
		t.Counts.LostMessages.Add(int64(len(messages)))
		return
	}
	t.Counts.sent(messages)
	t.Counts.SentBytes.Add(int64(len(body)))
}
