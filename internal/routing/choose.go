package routing

import (
	"hash/fnv"
	"slices"
)

// boundPercent is how far above the even share a server's load may go before
// the next in rank is taken.
const boundPercent = 125

// Choose takes the server that ranks highest for a key and is not laden beyond
// its bound. Servers to be avoided come last.
//
//	chosenServer := routing.Choose(servers, prefix, nowMs)
func Choose(servers []*Server, key string, nowMs int64) *Server {
	ranked := Rank(servers, key)
	var total int64 = 1
	var well []*Server
	for _, server := range ranked {
		if server.Load.AvoidToMs.Load() <= nowMs {
			well = append(well, server)
			total += server.Load.InWork.Load()
		}
	}
	if len(well) == 0 {
		if len(ranked) == 0 {
			return nil
		}
		return ranked[0]
	}
	bound := (total*boundPercent + int64(len(well))*100 - 1) / (int64(len(well)) * 100)
	for _, server := range well {
		if server.Load.InWork.Load() < bound {
			return server
		}
	}
	return well[0]
}

// Rank orders servers by rendezvous hash of a key.
//
//	first := routing.Rank(servers, idempotencyKey)[0]
func Rank(servers []*Server, key string) []*Server {
	type scored struct {
		server *Server
		score  uint64
	}
	list := make([]scored, len(servers))
	for at, server := range servers {
		sum := fnv.New64a()
		_, _ = sum.Write([]byte(server.Name))
		_, _ = sum.Write([]byte{0})
		_, _ = sum.Write([]byte(key))
		score := sum.Sum64()
		score ^= score >> 33
		score *= 0xff51afd7ed558ccd
		score ^= score >> 33
		list[at] = scored{server, score}
	}
	slices.SortFunc(list, func(a, b scored) int {
		if a.score > b.score {
			return -1
		}
		return 1
	})
	out := make([]*Server, len(list))
	for at, one := range list {
		out[at] = one.server
	}
	return out
}
