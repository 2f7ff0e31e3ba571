package pipeline

import "net/http"

// Leave tells that this front goes: who waits for a model, and whatever comes later,
// hears at once that it did not run, while there is time to ask elsewhere; what is at
// a server goes on.
//
//	clients.Leave = proxy.Leave
func (s *Proxy) Leave() {
	if s.left.CompareAndSwap(false, true) {
		close(s.leaves)
	}
}

// leaving tells whether a request is not to be sent on any more since this front
// goes. One of which a server may have run a part, or the client has one, goes on: no
// other front could take it over.
func (s *Proxy) leaving(c *call) bool { return s.left.Load() && !c.wrote && !c.cut }

// refuseLeaving answers a request that did not run here; any other front can take it
// at once.
func (s *Proxy) refuseLeaving(c *call) {
	s.Counts.Left.Add(1)
	c.refuse(http.StatusServiceUnavailable, "this front leaves", 0)
}
