package routing

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"applequay/internal/configuration"
	"applequay/internal/transport/wire"
)

// fleetNews is what a table of a large fleet is made of: each worker has some
// models and an adapter of each.
func fleetNews(workers, models, each int) News {
	policy := configuration.Empty()
	policy.Version = 1
	for i := range models {
		name := fmt.Sprintf("m%d", i)
		policy.Items[name], policy.Items[name+"/a"] = configuration.Item{Pool: "llm"}, configuration.Item{Pool: "llm", Base: name}
	}
	news := News{Policy: policy, Rooms: map[string]wire.WorkerNews{}}
	for i := range workers {
		name := fmt.Sprintf("worker-%d", i)
		news.Workers = append(news.Workers, wire.Worker{Name: name, Addr: fmt.Sprintf("10.0.0.%d:1", i), Pool: []string{"llm", "app"}[i%7/6]})
		room := wire.WorkerNews{Worker: name}
		for j := range each {
			model := fmt.Sprintf("m%d", (i*each+j)%models)
			room.Loaded = append(room.Loaded, wire.Loaded{Item: model, Ready: true}, wire.Loaded{Item: model + "/a", Ready: true})
		}
		news.Rooms[name] = room
	}
	return news
}

// A table that is patched is the same as one made anew from the same news, and what
// went before it does not change.
func TestPatchedTablesAreAsThoseMadeAnew(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewSource(4))
	news := fleetNews(20, 12, 2)
	table, before := Empty().After(news), ""
	for step := range 400 {
		before = shown(table)
		name := fmt.Sprintf("worker-%d", random.Intn(20))
		room := news.Rooms[name]
		switch random.Intn(6) {
		case 0:
			room.Dark = !room.Dark
		case 1:
			room.Leaving = !room.Leaving
		case 2:
			room.Loaded = nil
		case 3:
			// Nothing changes in what tables are made of.
			room.UsedMb++
		default:
			room.Loaded = slices.Clone(room.Loaded)
			item := fmt.Sprintf("m%d", random.Intn(12)) + []string{"", "/a"}[random.Intn(2)]
			room.Loaded = append(slices.DeleteFunc(room.Loaded, func(one wire.Loaded) bool { return one.Item == item }), wire.Loaded{Item: item, Ready: random.Intn(3) > 0})
		}
		news.Rooms[name] = room
		anew := news
		anew.Workers = slices.Clone(news.Workers)
		if random.Intn(40) == 0 {
			// A new list: some worker is gone, or all are back, one elsewhere.
			news.Workers = fleetNews(20, 12, 2).Workers
			news.Workers[random.Intn(20)].Addr = "10.0.9.9:1"
			at := random.Intn(20)
			news.Workers = slices.Delete(news.Workers, at, at+random.Intn(2))
			anew.Workers = slices.Clone(news.Workers)
		}
		if random.Intn(10) == 0 {
			// In place, as nobody should.
			news.Workers[0].Leaving = !news.Workers[0].Leaving
			anew.Workers = slices.Clone(news.Workers)
		}
		next := table.After(news)
		c.Assert(shown(next), qt.Equals, shown(Empty().After(anew)), qt.Commentf("step %d", step))
		c.Assert(shown(table), qt.Equals, before)
		for name, server := range next.Servers {
			if was := table.Servers[name]; was != nil && was.Addr == server.Addr {
				c.Assert(server.Load == was.Load, qt.IsTrue)
			}
		}
		table = next
	}
}

// shown is all that requests see of a table.
func shown(t *Table) string {
	var out []string
	for name, server := range t.Servers {
		out = append(out, fmt.Sprint(name, server.Addr, server.Pool, server.Leaving, server.Dark, server.Loaded))
	}
	for pool, servers := range t.Pools {
		for _, server := range servers {
			out = append(out, fmt.Sprint(pool, server.Name, server == t.Servers[server.Name]))
		}
		slices.Sort(out)
		out = append(out, pool)
	}
	for key, servers := range t.holders {
		line := key
		for _, server := range servers {
			line += fmt.Sprint(" ", server.Name, server == t.Servers[server.Name])
		}
		out = append(out, line)
	}
	slices.Sort(out)
	return fmt.Sprint(out)
}

// BenchmarkNextTable makes the next table of a large fleet when one worker changed.
func BenchmarkNextTable(b *testing.B) {
	news := fleetNews(143, 747, 3)
	table, version := Empty().After(news), int64(0)
	b.ReportAllocs()
	for b.Loop() {
		version++
		room := news.Rooms["worker-7"]
		room.Loaded = []wire.Loaded{{Item: "m1", Ready: version%2 == 0}}
		news.Rooms["worker-7"] = room
		table = table.After(news)
	}
}
