package partition

import (
	"bytes"

	"applequay/internal/transport/wire"
)

// publish tells the fronts, through this node's news, what each worker has.
func (p *Partition) publish(out *wire.Outputs) {
	for _, name := range sorted(p.state.Workers) {
		worker, room := p.state.Workers[name], p.view.Workers[name]
		if room.Pool == "" {
			continue
		}
		if !worker.Known && !worker.Dark && !worker.Left {
			continue
		}
		body := wire.Encode(newsOf(&worker, room))
		if kept, ok := p.published[name]; ok && bytes.Equal(kept, body) {
			continue
		}
		p.published[name] = body
		p.news++
		out.After(p.self, wire.KindNews, &wire.News{Topics: []wire.Topic{{Name: HomesTopic(room.Pool, name), Term: p.state.Fence, Step: p.state.Input<<16 | p.news&0xffff, Body: body}}})
	}
}

// HomesTopic names the news of what a worker of a pool has.
//
//	topic := partition.HomesTopic("llm", "w3")
func HomesTopic(pool, worker string) string { return "homes/" + pool + "/" + worker }

// newsOf is what the fronts are told of a worker.
func newsOf(worker *wire.WorkerState, room wire.Worker) *wire.WorkerNews {
	told := &wire.WorkerNews{Worker: worker.Name, Addr: room.Addr, Pool: room.Pool, Zone: room.Zone, RoomMb: worker.RoomMb, UsedMb: booked(worker), Leaving: worker.Left || room.Leaving, Dark: worker.Dark}
	for _, kept := range worker.Residents {
		// What is on its way is told too: adapters follow their models there.
		if kept.State != residentLeaving && kept.State != residentPending {
			told.Loaded = append(told.Loaded, wire.Loaded{Item: kept.Item, Ready: kept.State == residentReady, SizeMb: kept.SizeMb})
		}
	}
	return told
}

// Recalled is what a state that nobody owns at the moment says of its workers,
// for the fronts to go by until an owner looks again.
//
//	topics := partition.Recalled(kept, view)
func Recalled(state *wire.PartitionState, view *View) []wire.Topic {
	var out []wire.Topic
	for _, name := range sorted(state.Workers) {
		worker, room := state.Workers[name], view.Workers[name]
		if room.Pool != "" && !worker.Dark && !worker.Left && len(worker.Residents) > 0 {
			out = append(out, wire.Topic{Name: HomesTopic(room.Pool, name), Term: state.Fence, Step: state.Input << 16, Body: wire.Encode(newsOf(&worker, room))})
		}
	}
	return out
}
