package socket

import "net/http"

// Client makes calls that go where they were sent and nowhere else: an answer
// that names another address is an answer like any other. By itself net/http
// would send an order's body to any address that a 307 or 308 names.
//
// A transport repeats, on a new connection, what it sent on a kept one that
// broke: GET and HEAD always, others only if no byte of them was written, or if
// they carry an idempotency key. What must leave at most once goes by Once.
//
//	client := socket.Client(&http.Transport{DialContext: dialer.DialContext})
func Client(transport *http.Transport) *http.Client {
	return &http.Client{Transport: transport, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
}

// Once makes such calls by a transport like another, each on a connection of its
// own: nothing is repeated there, and no answer can come but the call's. That a
// request says to close its connection is not enough, it may still be sent on one
// that was kept.
//
//	client := socket.Once(&http.Transport{DialContext: dialer.DialContext})
func Once(transport *http.Transport) *http.Client {
	own := transport.Clone()
	own.DisableKeepAlives = true
	return Client(own)
}
