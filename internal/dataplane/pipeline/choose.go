package pipeline

import (
	"math/rand"
	"strconv"
	"time"

	"applequay/internal/routing"
)

// choose picks a server that was not tried yet.
func (s *Proxy) choose(c *call) *routing.Server {
	switch {
	case c.runAt != nil:
		if len(c.tried) > 0 {
			return nil
		}
		return c.runAt
	case c.needsItem():
		holders := s.willing(c, c.current.Holders(c.service.Pool, c.item))
		if len(c.openings) == 0 && c.current.Policy.Pools[c.service.Pool].Slots == 0 {
			return routing.Choose(holders, c.prefix, s.Now())
		}
		return routing.Soonest(holders, s.wish(c))
	case c.ask.Key != "":
		return s.sticky(c)
	}
	servers := s.willing(c, c.current.Open(c.service.Pool))
	if c.route.TargetMs == 0 {
		return routing.Choose(servers, strconv.FormatInt(s.turn.Add(1), 10), s.Now())
	}
	return routing.Soonest(servers, s.wish(c))
}

// wish says what a call's choice goes by.
func (s *Proxy) wish(c *call) routing.Wish {
	pool := c.current.Policy.Pools[c.service.Pool]
	wish := routing.Wish{Openings: c.openings, Tokens: c.ask.TokensIn, Places: pool.Slots, Zone: s.zone(), NowMs: s.Now(), Jitter: rand.Float64}
	if fronts := s.fronts.Load(); pool.MostLines > 0 && fronts > 0 {
		wish.MostLines = max(pool.MostLines*9/10/fronts, 2)
	}
	return wish
}

// willing are the servers that were not tried, and did not lately say that they
// do not hold the item. Where only tried ones are left there is none. A stream that
// goes on, and was sent to as many as its route allows, goes to no other.
func (s *Proxy) willing(c *call, servers []*routing.Server) []*routing.Server {
	out, misses := make([]*routing.Server, 0, len(servers)), []*routing.Server(nil)
	now := s.Now()
	full := c.cut && int64(len(c.asked)) >= s.tries(c)
	for _, server := range servers {
		switch {
		case c.tried[server.Name], full && !c.asked[server.Name]:
		case server.Load.Misses(c.item, now):
			misses = append(misses, server)
		default:
			out = append(out, server)
		}
	}
	if len(out) == 0 {
		return misses
	}
	return out
}

// sticky finds the one server of an idempotency key. No other may take the key
// over unless it is certain that no front sent it to the first; where that is
// not known the answer is a refusal, and the client cannot tell whether the
// request of an earlier try ran.
func (s *Proxy) sticky(c *call) *routing.Server {
	decision := s.ledger.Ticket(c.ctx, c.current.Call(c.service.Pool, c.ask.Key))
	chosenServer := c.current.Named(decision.Server)
	if chosenServer == nil {
		c.wrote, c.decided, c.why = true, true, decision.Why
		c.retry = time.Duration(decision.RetryMs) * time.Millisecond
	}
	return chosenServer
}
