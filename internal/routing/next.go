package routing

import (
	"maps"
	"slices"

	"applequay/internal/transport/wire"
)

// After makes the next table; counters of servers and services that stay are
// kept. Where only homes changed, only what they are in is made anew.
//
//	next := current.After(news)
func (t *Table) After(told News) *Table {
	next := Empty()
	next.Waits, next.WaitsTo = told.Waits, told.WaitsTo
	next.Policy, next.Known, next.Refused = told.Policy, told.Policy.Version > 0, told.Refused
	next.rosters, next.pasts = t.rosters, t.pasts
	if !slices.EqualFunc(t.rosters, told.Rosters, sameRoster) {
		next.rosters, next.pasts = slices.Clone(told.Rosters), pastsOf(told.Rosters)
	}
	if told.Policy == t.Policy && len(t.Servers) == len(told.Workers) && slices.EqualFunc(t.order, told.Workers, (*Server).is) {
		next.patch(t, told)
	} else {
		next.build(t, told)
	}
	for name := range told.Policy.Services {
		if next.Budgets[name] = t.Budgets[name]; next.Budgets[name] == nil {
			next.Budgets[name] = &Budget{}
		}
	}
	if next.routes = t.routes; told.Policy != t.Policy {
		next.routes = newRoutes(told.Policy.Routes)
	}
	return next
}

func sameRoster(a, b wire.Roster) bool {
	return a.Pool == b.Pool && a.Version == b.Version && a.FromMs == b.FromMs && a.UntilMs == b.UntilMs && slices.Equal(a.Servers, b.Servers)
}

// is tells whether a server is a worker's, at the same place.
func (s *Server) is(worker wire.Worker) bool {
	return s.Name == worker.Name && s.Addr == worker.Addr && s.Pool == worker.Pool && s.Zone == worker.Zone
}

// stands tells whether nothing changed of a server.
func (s *Server) stands(worker wire.Worker, room wire.WorkerNews) bool {
	return s.Leaving == (worker.Leaving || room.Leaving) && s.Dark == room.Dark && slices.Equal(s.loaded, room.Loaded)
}

// serverOf makes a server; its counters are the old one's, if that is still there.
func serverOf(worker wire.Worker, room wire.WorkerNews, old *Server) *Server {
	server := &Server{Name: worker.Name, Addr: worker.Addr, Pool: worker.Pool, Zone: worker.Zone, Leaving: worker.Leaving || room.Leaving, Dark: room.Dark, Loaded: make(map[string]bool, len(room.Loaded)), loaded: slices.Clone(room.Loaded)}
	for _, held := range room.Loaded {
		server.Loaded[held.Item] = held.Ready
	}
	if old != nil && old.Addr == worker.Addr {
		server.Load = old.Load
	} else {
		server.Load = &Load{}
	}
	return server
}

// build makes all servers anew.
func (t *Table) build(old *Table, told News) {
	for _, worker := range told.Workers {
		server := serverOf(worker, told.Rooms[worker.Name], old.Servers[worker.Name])
		t.order = append(t.order, server)
		t.Servers[server.Name] = server
		t.Pools[server.Pool] = append(t.Pools[server.Pool], server)
	}
	for pool, servers := range t.Pools {
		for _, server := range servers {
			for item := range server.Loaded {
				if t.has(server, item) {
					key := pool + "|" + item
					t.holders[key] = append(t.holders[key], server)
				}
			}
		}
	}
}

// has tells whether a server may get requests for an item, which it has ready,
// and its model.
func (t *Table) has(server *Server, item string) bool {
	if server.Leaving || server.Dark || !server.Loaded[item] {
		return false
	}
	base := t.Policy.Items[item].Base
	return base == "" || server.Loaded[base]
}

// patch takes over what did not change, and makes the rest anew.
func (t *Table) patch(old *Table, told News) {
	t.order, t.Servers, t.Pools, t.holders = old.order, old.Servers, old.Pools, old.holders
	changed := map[*Server]*Server{}
	for at, worker := range told.Workers {
		if was, room := old.order[at], told.Rooms[worker.Name]; !was.stands(worker, room) {
			changed[was] = serverOf(worker, room, was)
		}
	}
	if len(changed) == 0 {
		return
	}
	t.order = replaced(old.order, changed)
	t.Servers, t.Pools, t.holders = maps.Clone(old.Servers), maps.Clone(old.Pools), maps.Clone(old.holders)
	pools, items := map[string]bool{}, map[[2]string]bool{}
	for was, is := range changed {
		t.Servers[is.Name] = is
		pools[is.Pool] = true
		for _, server := range []*Server{was, is} {
			for item := range server.Loaded {
				items[[2]string{is.Pool, item}] = true
			}
		}
	}
	for pool := range pools {
		t.Pools[pool] = replaced(t.Pools[pool], changed)
	}
	for of := range items {
		t.hold(of[0], of[1])
	}
}

// replaced is a list with those that changed as they are now.
func replaced(servers []*Server, changed map[*Server]*Server) []*Server {
	out := slices.Clone(servers)
	for at, server := range out {
		if is := changed[server]; is != nil {
			out[at] = is
		}
	}
	return out
}

// hold notes which servers of a pool have an item.
func (t *Table) hold(pool, item string) {
	var out []*Server
	for _, server := range t.Pools[pool] {
		if t.has(server, item) {
			out = append(out, server)
		}
	}
	if key := pool + "|" + item; len(out) > 0 {
		t.holders[key] = out
	} else {
		delete(t.holders, key)
	}
}
