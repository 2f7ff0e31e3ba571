package protocol

import (
	"net/http"
	"strings"
)

// hopHeaders concern one connection only.
var hopHeaders = map[string]bool{"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true}

// CopyHead copies a head without what concerns one connection only: the fields
// known for it, and those that the head itself names as such.
//
//	protocol.CopyHead(w.Header(), answer.Header)
func CopyHead(into, from http.Header) {
	var named map[string]bool
	for _, value := range from.Values("Connection") {
		for _, name := range strings.Split(value, ",") {
			if named == nil {
				named = map[string]bool{}
			}
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range from {
		if !hopHeaders[name] && !named[name] {
			into[name] = values
		}
	}
}
