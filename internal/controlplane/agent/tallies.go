package agent

import (
	"slices"
	"strings"

	"applequay/internal/transport/wire"
)

// tallyEvery is how often, in milliseconds, the owners hear what this front's
// clients ask for; as long as nothing changes much they hear it so many times
// more seldom.
const (
	tallyEvery = 400
	tallyCalm  = 4
)

// tallied takes what the proxy counted, and now and then passes it on to
// one who owns a partition, who tells the others: which item stays, and which has to
// make way, is worked out from all that is asked for. It is soft and in no log.
func (a *Agent) tallied(now int64, out *wire.Outputs, told *wire.Tally) {
	a.tallyMs = now
	if now-a.toldMs < tallyEvery || len(a.told)+len(told.Demands) == 0 {
		return
	}
	if now-a.toldMs < tallyCalm*tallyEvery && !changed(a.told, told.Demands) {
		return
	}
	a.toldMs, a.told = now, told.Demands
	if owner := a.anyOwner(); owner != "" {
		out.Send(owner, wire.KindTally, &wire.Tally{Front: a.boot.ID, Demands: told.Demands})
	}
}

// anyOwner is one of those who own a partition, another each time, so that one who
// cannot pass on what it is told is no lasting harm; of those that stand well, if
// any does.
func (a *Agent) anyOwner() string {
	var owners, well []string
	for _, owner := range a.owners {
		if slices.Contains(owners, owner.ID) {
			continue
		}
		owners = append(owners, owner.ID)
		if standing, _ := a.members.Standing(owner.ID); standing == wire.StandingWell {
			well = append(well, owner.ID)
		}
	}
	if len(well) > 0 {
		owners = well
	}
	if len(owners) == 0 {
		return ""
	}
	slices.Sort(owners)
	return owners[a.random.Intn(len(owners))]
}

// changed tells whether demands differ by more than a little.
func changed(old, next []wire.Demand) bool {
	if len(old) != len(next) {
		return true
	}
	before := make(map[string]wire.Demand, len(old))
	for _, one := range old {
		before[one.Item] = one
	}
	for _, one := range next {
		was, ok := before[one.Item]
		if !ok || much(was.Live, one.Live, 1) || was.Held != one.Held || much(was.Rate, one.Rate, 300) {
			return true
		}
	}
	return false
}

// much tells whether a count moved by more than a quarter and a little.
func much(was, is, little int64) bool { return max(was-is, is-was) > little+max(was, is)/4 }

// talliedUses makes demands of uses alone, for a proxy that counts no more:
// they were counted since the report before.
func (a *Agent) talliedUses(now int64, out *wire.Outputs, uses []wire.Use) {
	past := now - a.usesMs
	if len(uses) == 0 || now-a.tallyMs < tallyCalm*tallyEvery*2 {
		return
	}
	a.usesMs = now
	rates := map[string]wire.Demand{}
	for _, use := range uses {
		one := rates[use.Item]
		one.Item, one.Weight = use.Item, max(one.Weight, use.Weight)
		one.Rate += max(use.Count*1_000_000/min(max(past, tallyEvery), 8*tallyEvery), 1)
		rates[use.Item] = one
	}
	told := &wire.Tally{}
	for _, one := range rates {
		told.Demands = append(told.Demands, one)
	}
	slices.SortFunc(told.Demands, func(a, b wire.Demand) int { return strings.Compare(a.Item, b.Item) })
	was := a.tallyMs
	a.tallied(now, out, told)
	a.tallyMs = was
}

// stands tells whether some worker has an item ready.
func (a *Agent) stands(item string) bool {
	for _, room := range a.rooms {
		if room.Dark || room.Leaving || a.workers[room.Worker].Leaving {
			continue
		}
		if slices.ContainsFunc(room.Loaded, func(one wire.Loaded) bool { return one.Item == item && one.Ready }) {
			return true
		}
	}
	return false
}
