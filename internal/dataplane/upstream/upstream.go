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

// ErrNoLine says that no byte of a request can have left: no connection came
// about, or it took nothing.
var ErrNoLine = errors.New("no connection")

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

// Lines makes shots at servers.
type Lines struct {
	dialer *net.Dialer
	idle   time.Duration
	most   int
}

// New makes lines; wait is how long a connection may take to come about.
//
//	lines := upstream.New(300 * time.Millisecond)
func New(wait time.Duration) *Lines {
	return &Lines{dialer: &net.Dialer{Timeout: wait, KeepAlive: -1}, idle: 10 * time.Second, most: 8}
}

// Shot is one request for one server.
type Shot struct {
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

// Close ends the shot. The connection is kept only if the answer was read whole.
//
//	defer answer.Close()
func (a *Answer) Close() { a.end() }

// Shoot sends a request and reads the head of its answer. The error is
// ErrNoLine where no byte can have left.
//
//	answer, err := lines.Shoot(ctx, &server.Load.Plug, &upstream.Shot{Addr: server.Addr, Method: "POST", Target: "/v1/hints"})
func (l *Lines) Shoot(ctx context.Context, plug *Plug, shot *Shot) (*Answer, error) {
	if late(shot) {
		return nil, errors.Join(ErrNoLine, errTooLate)
	}
	plug.used.Add(1)
	taken, err := l.take(ctx, plug, shot)
	if err != nil {
		plug.used.Add(-1)
		return nil, errors.Join(ErrNoLine, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = taken.Close() })
	drop := func() {
		stop()
		_ = taken.Close()
		plug.used.Add(-1)
	}
	if late(shot) {
		// The connection took its time, or this process was frozen meanwhile.
		drop()
		return nil, errors.Join(ErrNoLine, errTooLate)
	}
	wrote, err := taken.Write(head(shot))
	if err != nil {
		drop()
		if wrote == 0 {
			return nil, errors.Join(ErrNoLine, err)
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
	answer, err := readHead(taken, shot)
	if err != nil {
		drop()
		return nil, err
	}
	whole := &wholeBody{body: answer.Body, whole: answer.ContentLength == 0 || answer.Body == http.NoBody}
	out := &Answer{Response: answer, Reader: bufio.NewReaderSize(whole, 2048)}
	out.end = func() {
		out.end = func() {}
		if out.spoilt || !whole.whole || answer.Close || shot.Fresh || !stop() || taken.reader.Buffered() > 0 {
			drop()
			return
		}
		plug.used.Add(-1)
		l.keep(plug, taken, answer.Header.Get("Keep-Alive"))
	}
	return out, nil
}

func late(shot *Shot) bool { return !shot.Until.IsZero() && time.Now().After(shot.Until) }

// readHead reads a head, and goes past those that only say to wait. Nobody asked
// for another protocol, so an answer that changes to one is none.
func readHead(taken *conn, shot *Shot) (*http.Response, error) {
	taken.inHead, taken.headLeft = true, mostHead
	defer func() { taken.inHead = false }()
	for {
		answer, err := http.ReadResponse(taken.reader, &http.Request{Method: shot.Method})
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
func head(shot *Shot) []byte {
	var out bytes.Buffer
	out.Grow(512 + len(shot.Body))
	out.WriteString(shot.Method + " " + shot.Target + " HTTP/1.1\r\nHost: " + shot.Host + "\r\n")
	_ = shot.Header.Write(&out)
	if len(shot.Body) > 0 || (shot.Method != http.MethodGet && shot.Method != http.MethodHead) {
		out.WriteString("Content-Length: " + strconv.Itoa(len(shot.Body)) + "\r\n")
	}
	if shot.Fresh {
		out.WriteString("Connection: close\r\n")
	}
	out.WriteString("\r\n")
	out.Write(shot.Body)
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
