package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// FuzzAnswers has a server answer with any bytes and close. The attempt ends; its
// connection is kept only where the bytes are interim heads and one whole answer,
// with nothing behind it.
func FuzzAnswers(f *testing.F) {
	for _, seed := range []string{whole, whole + whole, "HTTP/1.1 103 Early\r\n\r\n" + whole, "HTTP/1.1 101 X\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 9\r\n\r\n2\r\nok\r\n0\r\nA: b\r\n\r\n", "HTTP/1.1 204 N\r\n\r\nx",
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok", "HTTP/1.0 200 OK\r\n\r\nok", "HTTP/1.1 000 \r\n\r\n", "\r\n\r\n"} {
		f.Add([]byte(seed), false)
		f.Add([]byte(seed), true)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	scripts := make(chan []byte, 1)
	f.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = conn.Write(<-scripts)
			}
			// All of it is read before the end is seen, or not at all.
			_ = conn.(*net.TCPConn).CloseWrite()
			_, _ = io.Copy(io.Discard, conn)
			_ = conn.Close()
		}
	}()
	f.Fuzz(func(t *testing.T, answer []byte, head bool) {
		c := qt.New(t)
		method := http.MethodGet
		if head {
			method = http.MethodHead
		}
		var plug Pool
		defer plug.Shut()
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		scripts <- answer
		got, err := New(5*time.Second).Do(ctx, &plug, &Attempt{Addr: listener.Addr().String(), Method: method, Target: "/", Host: "x"})
		if err != nil {
			c.Assert(errors.Is(err, ErrNotSent), qt.IsFalse)
			c.Assert(errors.Is(err, ErrStale), qt.IsFalse)
			c.Check(plug.Open(), qt.Equals, int64(0))
			return
		}
		c.Assert(got.StatusCode >= 200 && got.StatusCode <= 999, qt.IsTrue)
		body, failed := io.ReadAll(got.Reader)
		got.Close()
		c.Assert(ctx.Err(), qt.IsNil)
		if plug.Open() == 0 {
			return
		}
		c.Check(failed, qt.IsNil)
		rest := bufio.NewReader(bytes.NewReader(answer))
		for {
			again, err := http.ReadResponse(rest, &http.Request{Method: method})
			c.Assert(err, qt.IsNil)
			if again.StatusCode < 200 {
				continue
			}
			same, err := io.ReadAll(again.Body)
			c.Assert(err, qt.IsNil)
			c.Check(bytes.Equal(same, body), qt.IsTrue)
			left, _ := io.Copy(io.Discard, rest)
			c.Check(left, qt.Equals, int64(0), qt.Commentf("a connection was kept with bytes behind its answer"))
			return
		}
	})
}

// FuzzRequests takes any bytes that are a request by net/http, and writes it as
// it is sent on: that is one request, the same one, and nothing more.
func FuzzRequests(f *testing.F) {
	for _, seed := range []string{"GET / HTTP/1.1\r\nHost: x\r\n\r\n", "POST /a%20b?x=1;2 HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\nX: a\r\nX: b\r\n\r\nok",
		"PUT http://y/z HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "OPTIONS * HTTP/1.1\r\nHost: x\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: x\r\nX:\tb\r\nContent-Length: 0\r\n\r\n"} {
		f.Add([]byte(seed), false)
	}
	f.Fuzz(func(t *testing.T, text []byte, fresh bool) {
		came, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(text)))
		if err != nil {
			return
		}
		body, err := io.ReadAll(came.Body)
		if err != nil || came.Method == http.MethodConnect {
			return
		}
		c := qt.New(t)
		header := came.Header.Clone()
		for _, name := range []string{"Connection", "Content-Length", "Transfer-Encoding", "Trailer", "Expect"} {
			header.Del(name)
		}
		sent := head(&Attempt{Method: came.Method, Target: came.RequestURI, Host: came.Host, Header: header, Body: body, Fresh: fresh})
		reader := bufio.NewReader(bytes.NewReader(sent))
		got, err := http.ReadRequest(reader)
		c.Assert(err, qt.IsNil, qt.Commentf("%q", sent))
		again, err := io.ReadAll(got.Body)
		c.Assert(err, qt.IsNil)
		c.Check([]string{got.Method, got.RequestURI, string(again)}, qt.DeepEquals, []string{came.Method, came.RequestURI, string(body)})
		left, _ := io.Copy(io.Discard, reader)
		c.Check(left, qt.Equals, int64(0), qt.Commentf("%q", sent))
	})
}
