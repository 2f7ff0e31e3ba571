package pipeline

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const hidden = "POST /v1/book?hidden HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"

// A request that stands in another's body, or behind a head that can be read in
// two ways, is never run; what the client sent reaches the server as it was.
func TestNothingIsSmuggled(t *testing.T) {
	c := qt.New(t)
	cases := []struct{ name, head, body string }{
		{"in the body", fmt.Sprintf("Content-Length: %d\r\n", len(hidden)), hidden},
		{"in a chunk", "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(hidden), hidden)},
		{"two lengths", fmt.Sprintf("Content-Length: 0\r\nContent-Length: %d\r\n", len(hidden)), hidden},
		{"a coding that is none", "Transfer-Encoding: xchunked\r\nContent-Length: 0\r\n", hidden},
		{"a blank before the colon", fmt.Sprintf("Content-Length : 0\r\nContent-Length: %d\r\n", len(hidden)), hidden},
		{"a length with a sign", "Content-Length: +0\r\n", hidden},
	}
	for at, one := range cases {
		c.Run(one.name, func(c *qt.C) {
			b := newBench(c)
			got := make(chan string, 4)
			b.server("s1", func(_ http.ResponseWriter, r *http.Request) {
				body, _ := io.ReadAll(r.Body)
				got <- r.RequestURI + " " + string(body)
			})
			front := httptest.NewServer(b.proxy)
			c.Cleanup(front.Close)
			conn, err := net.Dial("tcp", front.Listener.Addr().String())
			c.Assert(err, qt.IsNil)
			c.Cleanup(func() { _ = conn.Close() })
			_, err = fmt.Fprintf(conn, "POST /v1/book?a=1;2&b=%%20 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n%s\r\n%s", one.head, one.body)
			c.Assert(err, qt.IsNil)
			answers, err := io.ReadAll(bufio.NewReader(conn))
			if at < 2 {
				c.Assert(err, qt.IsNil)
				c.Check(<-got, qt.Equals, "/v1/book?a=1;2&b=%20 "+hidden)
			} else {
				c.Check(strings.HasPrefix(string(answers), "HTTP/1.1 200"), qt.IsFalse)
			}
			c.Check(got, qt.HasLen, 0)
		})
	}
}
