package table

import (
	"strings"

	"applequay/internal/process/ticket"
)

// Call is what a key's ticket is made out for: its server by this table, and
// those by the lists before it.
//
//	call := current.Call("app", "till-4-991")
func (t *Table) Call(pool, key string) ticket.Call {
	call := ticket.Call{Key: key, Choice: first(t.Open(pool), key)}
	for _, roster := range t.Rosters[pool] {
		var servers []*Server
		for _, named := range roster.Servers {
			name, addr, _ := strings.Cut(named, "@")
			servers = append(servers, &Server{Name: name, Addr: addr})
		}
		call.Past = append(call.Past, ticket.Past{Mark: roster.Mark, Server: first(servers, key)})
	}
	call.Open = func(server string) bool { return t.Named(server) != nil }
	return call
}

func first(servers []*Server, key string) string {
	if len(servers) == 0 {
		return ""
	}
	top := Rank(servers, key)[0]
	return ticket.Name(top.Name, top.Addr)
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
