package routing

import (
	"strings"

	"applequay/internal/controlplane/idempotency"
	"applequay/internal/transport/wire"
)

// past is a pool's servers by a list that the one with the version replaced.
type past struct {
	version int64
	servers []*Server
}

// pastsOf are the lists of each pool that were replaced.
func pastsOf(rosters []wire.Roster) map[string][]past {
	out := map[string][]past{}
	for _, roster := range rosters {
		if roster.UntilMs == 0 {
			continue
		}
		one := past{version: roster.Version}
		for _, named := range roster.Servers {
			name, addr, _ := strings.Cut(named, "@")
			one.servers = append(one.servers, &Server{Name: name, Addr: addr})
		}
		out[roster.Pool] = append(out[roster.Pool], one)
	}
	return out
}

// Call is what a key's ticket is made out for: its server by this table, and
// those by the lists before it.
//
//	call := current.Call("app", "till-4-991")
func (t *Table) Call(pool, key string) idempotency.Call {
	call := idempotency.Call{Key: key, Choice: first(t.Open(pool), key)}
	for _, past := range t.pasts[pool] {
		call.Past = append(call.Past, idempotency.Past{Version: past.version, Server: first(past.servers, key)})
	}
	call.Open = func(server string) bool { return t.Named(server) != nil }
	return call
}

func first(servers []*Server, key string) string {
	if len(servers) == 0 {
		return ""
	}
	top := Rank(servers, key)[0]
	return idempotency.Name(top.Name, top.Addr)
}

// Named is the server of a ticket, if it is still listed under its address and
// may get something new; else nil.
//
//	chosenServer := current.Named("b1@10.0.0.9:7800")
func (t *Table) Named(named string) *Server {
	name, addr, _ := strings.Cut(named, "@")
	if server, ok := t.Servers[name]; ok && server.Addr == addr && !server.Leaving {
		return server
	}
	return nil
}
