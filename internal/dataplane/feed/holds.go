package feed

import "applequay/internal/transport/wire"

type held struct {
	item           string
	weight, change int64
}

type coming struct {
	item            string
	weight, untilMs int64
}

// Hold notes that requests for an item are held, or no longer are.
//
//	plugs.Hold("lens-7b", 5, 1)
func (p *Feed) Hold(item string, weight, change int64) { p.holds <- held{item, weight, change} }

// Come notes that a client was told to come back for an item at a moment: it
// goes on being wanted until then and a little longer.
//
//	plugs.Come("lens-7b", 5, nowMs+8000)
func (p *Feed) Come(item string, weight, untilMs int64) {
	select {
	case p.comes <- coming{item, weight, untilMs}:
	default:
	}
}

func (p *Feed) held(hold held) {
	want := p.holding[hold.item]
	if want == nil {
		want = &wire.Want{Item: hold.item}
		p.holding[hold.item] = want
	}
	fresh := want.Held == 0
	want.Held += hold.change
	want.Weight = max(want.Weight, hold.weight)
	if want.Held <= 0 {
		delete(p.holding, hold.item)
	} else if fresh {
		// A model that stands nowhere is wanted at once.
		p.messages.Send(p.agent, wire.KindReport, &wire.Report{Wants: []wire.Want{*want}, Came: p.counts.Came.Load(), Bad: p.counts.Bad.Load()})
	}
}
