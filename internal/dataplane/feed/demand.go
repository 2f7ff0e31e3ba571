package feed

import (
	"time"

	"applequay/internal/transport/wire"
)

// work is a request for an item that began or ended at a server.
type work struct {
	item           string
	weight, change int64
	// fresh is a request that has just come.
	fresh bool
}

// demand is what requests for an item do here.
type demand struct {
	weight, live int64
	// began counts those since the last tally, rate so many in 1000 s.
	began, rate int64
}

// rateKeep of so many parts of a rate is what was before the last tally.
const (
	rateKeep  = 3
	rateParts = 5
)

// Work notes that a request for an item is at a server, or no longer is.
//
//	plugs.Work("lens-7b", 5, 1)
func (p *Feed) Work(item string, weight, change int64) {
	if item != "" {
		p.works <- work{item: item, weight: weight, change: change}
	}
}

// Ask notes that a request for an item came, be it held or not.
//
//	plugs.Ask("lens-7b", 5)
func (p *Feed) Ask(item string, weight int64) {
	if item != "" {
		p.works <- work{item: item, weight: weight, fresh: true}
	}
}

func (p *Feed) worked(one work) {
	kept := p.demand[one.item]
	if kept == nil {
		kept = &demand{}
		p.demand[one.item] = kept
	}
	kept.weight = one.weight
	kept.live += one.change
	if one.fresh {
		kept.began++
	}
}

// tally tells the agent how much each item is asked for; an item that is not any more is told of once.
func (p *Feed) tally(past time.Duration) {
	told := &wire.Tally{}
	seconds := min(past, aliveEvery).Seconds()
	for item, kept := range p.demand {
		now := int64(float64(kept.began) * 1000 / seconds)
		kept.rate, kept.began = (kept.rate*rateKeep+now*(rateParts-rateKeep))/rateParts, 0
		if kept.rate < 10 && kept.live == 0 {
			kept.rate = 0
			if !p.toldTo[item] {
				delete(p.demand, item)
				continue
			}
			delete(p.toldTo, item)
		} else {
			p.toldTo[item] = true
		}
		one := wire.Demand{Item: item, Rate: kept.rate, Live: kept.live, Weight: kept.weight}
		if held := p.holding[item]; held != nil {
			one.Held = held.Held
		}
		told.Demands = append(told.Demands, one)
	}
	if len(told.Demands) > 0 {
		p.messages.Send(p.agent, wire.KindTally, told)
	}
}
