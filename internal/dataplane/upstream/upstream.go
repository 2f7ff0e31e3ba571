// Package upstream holds the connections from a proxy to servers: one
// request at a time on each, kept for the next where the server agrees.
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// ErrNotSent says that no byte of a request can have left: no connection came
// about, or it took nothing.
var ErrNotSent = errors.New("no connection")

// ErrStale says that a connection that was kept broke before any byte of an
// answer came: the server may have closed it before it read the request.
var ErrStale = errors.New("a kept connection broke")

var (
	errTooLate  = errors.New("too late to send")
	errHead     = errors.New("the head of an answer is too long")
	errProtocol = errors.New("no answer in the protocol")
)

// mostHead bounds the heads of one answer, those that only say to wait among
// them: a server that sends no end of them fills no memory.
const mostHead = 64 << 10

// Client makes attempts at servers.
type Client struct {
	dialer *net.Dialer
	idle   time.Duration
	most   int
}

// New makes a client; wait is how long a connection may take to come about.
//
//	lines := upstream.New(300 * time.Millisecond)
func New(wait time.Duration) *Client {
	return &Client{dialer: &net.Dialer{Timeout: wait, KeepAlive: -1}, idle: 10 * time.Second, most: 8}
}

// Attempt is one request for one server.
type Attempt struct {
	Addr, Method, Target, Host string
	Header                     http.Header
	Body                       []byte
	// Until is the moment after which it must not begin to leave: a process that
	// was frozen between its decision and the sending does not send.
	Until time.Time
	// Fresh asks for a connection of its own, which is not kept.
	Fresh bool
}

// conn is one connection with what was read ahead of it.
type conn struct {
	net.Conn
	reader *bufio.Reader
	idleTo time.Time
	reused bool
	keep   time.Duration
	// inHead says that a head is read, of which headLeft more bytes may come.
	inHead   bool
	headLeft int
}

// Read reads on, of a head only so much.
func (c *conn) Read(into []byte) (int, error) {
	if !c.inHead {
		return c.Conn.Read(into)
	}
	if c.headLeft <= 0 {
		return 0, errHead
	}
	count, err := c.Conn.Read(into[:min(len(into), c.headLeft)])
	c.headLeft -= count
	return count, err
}

// Answer is the head of an answer with its body still to be read.
type Answer struct {
	*http.Response
	// Reader reads the body.
	Reader *bufio.Reader
	end    func()
	spoilt bool
}

// Spoil says that the answer was none to this request: the connection may still
// bring one that belongs to it, and serves no other.
//
//	answer.Spoil()
func (a *Answer) Spoil() { a.spoilt = true }

// Close ends the attempt. The connection is kept only if the answer was read whole.
//
//	defer answer.Close()
func (a *Answer) Close() { a.end() }

// Do sends a request and reads the head of its answer. The error is
// ErrNotSent where no byte can have left.
//
//	answer, err := lines.Do(ctx, &server.Load.Pool, &upstream.Attempt{Addr: server.Addr, Method: "POST", Target: "/v1/hints"})
func (l *Client) Do(ctx context.Context, plug *Pool, attempt *Attempt) (*Answer, error) {
	if late(attempt) {
		return nil, errors.Join(ErrNotSent, errTooLate)
	}
	plug.used.Add(1)
	taken, err := l.take(ctx, plug, attempt)
	if err != nil {
		plug.used.Add(-1)
		return nil, errors.Join(ErrNotSent, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = taken.Close() })
	drop := func() {
		stop()
		_ = taken.Close()
		plug.used.Add(-1)
	}
	if late(attempt) {
		// The connection took its time, or this process was frozen meanwhile.
		drop()
		return nil, errors.Join(ErrNotSent, errTooLate)
	}
	wrote, err := taken.Write(head(attempt))
	if err != nil {
		drop()
		if wrote == 0 {
			return nil, errors.Join(ErrNotSent, err)
		}
		return nil, err
	}
	if _, err = taken.reader.Peek(1); err != nil {
		drop()
		if taken.reused && ctx.Err() == nil {
			return nil, errors.Join(ErrStale, err)
		}
		return nil, err
	}
	answer, err := readHead(taken, attempt)
	if err != nil {
		drop()
		return nil, err
	}
	whole := &wholeBody{body: answer.Body, whole: answer.ContentLength == 0 || answer.Body == http.NoBody}
	out := &Answer{Response: answer, Reader: bufio.NewReaderSize(whole, 2048)}
	out.end = func() {
		out.end = func() {}
		if out.spoilt || !whole.whole || answer.Close || attempt.Fresh || !stop() || taken.reader.Buffered() > 0 {
			drop()
			return
		}
		plug.used.Add(-1)
		l.keep(plug, taken, answer.Header.Get("Keep-Alive"))
	}
	return out, nil
}

func late(attempt *Attempt) bool { return !attempt.Until.IsZero() && time.Now().After(attempt.Until) }

// readHead reads a head, and goes past those that only say to wait. Nobody asked
// for another protocol, so an answer that changes to one is none.
func readHead(taken *conn, attempt *Attempt) (*http.Response, error) {
	taken.inHead, taken.headLeft = true, mostHead
	defer func() { taken.inHead = false }()
	for {
		answer, err := http.ReadResponse(taken.reader, &http.Request{Method: attempt.Method})
		if err != nil {
			return nil, err
		}
		switch {
		case answer.StatusCode >= http.StatusOK:
			return answer, nil
		case answer.StatusCode < http.StatusContinue, answer.StatusCode == http.StatusSwitchingProtocols:
			return nil, errProtocol
		}
	}
}

// wholeBody notes that a body was read to its proper end.
type wholeBody struct {
	body  io.Reader
	whole bool
}

// Read reads on.
func (w *wholeBody) Read(into []byte) (int, error) {
	count, err := w.body.Read(into)
	w.whole = w.whole || errors.Is(err, io.EOF)
	return count, err
}

// head writes a request in one piece.
func head(attempt *Attempt) []byte {
	var out bytes.Buffer
	out.Grow(512 + len(attempt.Body))
	out.WriteString(attempt.Method + " " + attempt.Target + " HTTP/1.1\r\nHost: " + attempt.Host + "\r\n")
	_ = attempt.Header.Write(&out)
	if len(attempt.Body) > 0 || (attempt.Method != http.MethodGet && attempt.Method != http.MethodHead) {
		out.WriteString("Content-Length: " + strconv.Itoa(len(attempt.Body)) + "\r\n")
	}
	if attempt.Fresh {
		out.WriteString("Connection: close\r\n")
	}
	out.WriteString("\r\n")
	out.Write(attempt.Body)
	return out.Bytes()
}

// keepFor reads for how long the server keeps an idle connection.
func keepFor(text string, most time.Duration) time.Duration {
	for _, field := range strings.Split(text, ",") {
		if value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout="); ok {
			if seconds, err := strconv.Atoi(value); err == nil {
				return min(most, time.Duration(seconds)*time.Second*3/4)
			}
		}
	}
	return most
}
