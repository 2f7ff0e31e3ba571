package controller

import (
	"slices"

	"applequay/internal/controlplane/register"
	"applequay/internal/transport/wire"
)

// founding is how the first core set comes about: once, and only if every
// founder answers and none knows of a core set. The founders are the machines
// named in the boot, or, where none are and the system starts for the very first
// time, its seeds. All others join, and so does a machine whose disk was lost: it
// hears of the set there is, and never founds another.
type founding struct {
	told  map[string]wire.FoundTold
	bound string
}

// founders are the addresses of those who found the first set; none if it has
// been founded before, as far as this node was told at its start. The seeds of
// the very first start last on disk, for a node that starts again before all
// were found.
func (f *Controller) founders() []string {
	if len(f.boot.Core) > 0 {
		return f.boot.Core
	}
	if seeds := f.acceptor.Founders(); len(seeds) > 0 {
		return seeds
	}
	return nil
}

// noteFounders keeps the seeds of the very first start.
func (f *Controller) noteFounders(out *wire.Outputs) {
	if f.boot.Bootstrap && len(f.boot.Core) == 0 && slices.Contains(f.boot.Seeds, f.boot.Addr) && len(f.acceptor.Founders()) == 0 {
		out.Add(f.acceptor.Found(f.boot.Seeds))
	}
}

func newFounding() founding { return founding{told: map[string]wire.FoundTold{}} }

func (f *Controller) founded() bool { return len(f.accepted(register.CoreKey)) > 0 }

func (f *Controller) voter() wire.Voter {
	return wire.Voter{ID: f.boot.ID, Name: f.boot.Name, Addr: f.boot.Addr}
}

// foundTick asks the others as long as this node has no core set.
func (f *Controller) foundTick(now int64, out *wire.Outputs) {
	if f.founded() || !f.due(now, "found", f.boot.ProbeMs) {
		return
	}
	f.noteFounders(out)
	addrs := append(slices.Clone(f.founders()), f.boot.Seeds...)
	for _, member := range f.members.Alive("") {
		addrs = append(addrs, member.Addr)
	}
	slices.Sort(addrs)
	for _, addr := range slices.Compact(addrs) {
		if addr != f.boot.Addr {
			out.Send(addr, wire.KindFoundAsk, &wire.FoundAsk{Voter: f.voter()})
		}
	}
	if founders := f.founders(); len(founders) == 1 && founders[0] == f.boot.Addr {
		f.found(now, out)
	}
}

func (f *Controller) foundHeard(now int64, from string, body wire.Record) wire.Outputs {
	var out wire.Outputs
	switch told := body.(type) {
	case *wire.FoundAsk:
		if founders := f.founders(); len(founders) > 0 && told.Voter.Addr == slices.Min(founders) {
			f.founding.bound = told.Voter.ID
		}
		out.After(from, wire.KindFoundTold, &wire.FoundTold{Voter: f.voter(), Founded: f.founded(), Core: f.chosenCore()})
	case *wire.FoundTold:
		if core, ok := register.ParseCore(told.Core); told.Founded && ok {
			f.adopt(now, &out, core, told.Core)
			return out
		}
		f.founding.told[told.Voter.Addr] = *told
		f.found(now, &out)
	case *wire.Found:
		if core, ok := register.ParseCore(told.Core); ok && f.founding.bound == told.By {
			f.adopt(now, &out, core, told.Core)
		}
	}
	return out
}

// chosenCore is the core set known to be chosen, as a register's value.
func (f *Controller) chosenCore() []byte {
	core, ok := f.acceptor.Core()
	if !ok {
		return nil
	}
	return wire.Encode(&wire.Value{Version: 1, Body: wire.Encode(&core)})
}

// found proposes the first core set, once all answered; the machine with the
// lowest address does it.
func (f *Controller) found(now int64, out *wire.Outputs) {
	founders := f.founders()
	if f.founded() || len(founders) == 0 || slices.Min(founders) != f.boot.Addr {
		return
	}
	core := coreOf(1, []wire.Voter{f.voter()})
	core.Rereplicated = true
	for _, addr := range founders {
		told, ok := f.founding.told[addr]
		if addr == f.boot.Addr {
			continue
		}
		if !ok {
			return
		}
		core.Voters = append(core.Voters, told.Voter)
	}
	value := wire.Encode(&wire.Value{Version: 1, Body: wire.Encode(&core)})
	f.adopt(now, out, core, value)
	for _, voter := range core.Voters {
		if voter.ID != f.boot.ID {
			out.After(voter.ID, wire.KindFound, &wire.Found{By: f.boot.ID, Core: value})
		}
	}
}

// adopt takes a founding core set that names this identity. One that does not
// only tells the proposer whom to ask: the coordinators will let this node in.
func (f *Controller) adopt(now int64, out *wire.Outputs, core wire.CoreSet, value []byte) {
	if core.Epoch == 1 && voterOf(core.Voters, f.boot.ID) && !f.founded() {
		first := wire.Ballot{N: 1, By: "founding"}
		record := &wire.AcceptorRecord{Key: register.CoreKey, Promised: first, Accepted: first, Value: value}
		f.acceptor.Replay(record)
		out.Write(wire.KindAcceptorRecord, record)
	}
	f.learnCore(now, out, core)
}

// SetSeeds takes the seeds of settings that were read again.
//
//	core.SetSeeds([]string{"10.0.0.7:7100"})
func (f *Controller) SetSeeds(seeds []string) {
	f.boot.Seeds = seeds
	f.members.SetSeeds(SeedsWith(seeds, f.proposer.Core()))
}

// SeedsWith are the seeds and, should none of them be up, the core machines
// that are known.
//
//	picture.SetSeeds(controller.SeedsWith(settings.Seeds, core))
func SeedsWith(seeds []string, core wire.CoreSet) []string {
	out := slices.Clone(seeds)
	for _, voter := range core.Voters {
		if !slices.Contains(out, voter.Addr) {
			out = append(out, voter.Addr)
		}
	}
	return out
}
