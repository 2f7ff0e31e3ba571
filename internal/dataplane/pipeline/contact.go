package pipeline

import "net/http"

// Contact says that the agent reaches the others now, which holds for some
// milliseconds: a change of the configuration would be heard of.
//
//	proxy.Contact(1600)
func (s *Proxy) Contact(forMs int64) { s.contactTo.Store(s.Now() + forMs) }

// unknown refuses what the configuration here does not have. Where this front
// was cut off, it may have been added since: then it says that it does not know,
// so that clients go on elsewhere. One that was never in contact has no others.
func (s *Proxy) unknown(c *call, why string) {
	if to := s.contactTo.Load(); to > 0 && s.Now() > to {
		c.refuse(http.StatusServiceUnavailable, "out of contact: "+why, s.limits.Retry)
		return
	}
	c.refuse(http.StatusNotFound, why, 0)
}
