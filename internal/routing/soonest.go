package routing

// Ratios of the choice, all in tokens of an average prompt.
const (
	// batchShare: a batch that is full costs as much as reading so many prompts.
	batchShare = 12
	// queueShare: each request beyond the places costs as much as so many prompts.
	queueShare = 2
	// zoneShare: another zone costs one prompt in so many.
	zoneShare = 16
	// defaultPlaces where neither the policy nor the server says how many.
	defaultPlaces = 8
	// defaultTokens where a request does not say how long its prompt is.
	defaultTokens = 64
)

// Wish is what a choice goes by.
type Wish struct {
	Openings []Opening
	Tokens   int64
	Places   int64
	Zone     string
	NowMs    int64
	// Jitter, from 0 to 1, spreads the choices of fronts that know the same.
	Jitter func() float64
	// MostLines is how many connections this front may have to one server.
	MostLines int64
}

// Soonest takes the server that will probably give its first piece soonest:
// what is still to be read there before it, what of the prompt is not kept, how
// full its batch is. Servers to be avoided come last; nil if there is none.
//
//	chosenServer := routing.Soonest(servers, routing.Wish{Tokens: 826, Places: 64, NowMs: nowMs})
func Soonest(servers []*Server, wish Wish) *Server {
	tokens := wish.Tokens
	if tokens <= 0 {
		tokens = defaultTokens
	}
	var best *Server
	var bestCost float64
	for _, server := range servers {
		cost := server.cost(wish, tokens)
		if server.Load.AvoidToMs.Load() > wish.NowMs {
			cost += float64(tokens) * 1e6
		}
		if wish.MostLines > 0 && server.Load.Pool.Open() >= wish.MostLines {
			cost += float64(tokens) * 1e3
		}
		if wish.Jitter != nil {
			cost += wish.Jitter() * float64(tokens) / zoneShare
		}
		if best == nil || cost < bestCost {
			best, bestCost = server, cost
		}
	}
	return best
}

func (s *Server) cost(wish Wish, tokens int64) float64 {
	places := wish.Places
	if places <= 0 {
		places = s.Load.Places()
	}
	if places <= 0 {
		places = defaultPlaces
	}
	all := s.Load.All(wish.NowMs)
	unread := max(tokens-s.Load.Kept(wish.Openings), 0)
	cost := float64(s.Load.Pending.Load()+unread) + float64(all*tokens*batchShare)/float64(places)
	if over := all - places; over >= 0 {
		cost += float64((over + 1) * tokens * queueShare)
	}
	if wish.Zone != "" && s.Zone != wish.Zone {
		cost += float64(tokens) / zoneShare
	}
	return cost
}
