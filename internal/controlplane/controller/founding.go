package controller

import (
	"slices"

	"applequay/internal/controlplane/register"
	"applequay/internal/transport/wire"
)

// founding is how the first core set comes about: once, and only if every
// founder's address answers and none knows of a core set. The founders are the
// machines named in the boot, or, where none are and the system starts for the
// very first time, its seeds. All others join, and so does a machine whose disk
// was lost: it hears of the set there is, and never founds another.
//
// The founder with the lowest address proposes the set, or, where those below it
// answered that they know of no founders (they were killed before they had that on
// disk, and were started again as machines that join), the next. Who is asked by
// one that proposes is bound to it from then on, durably (register.Acceptor.Bind),
// and takes up no other's set.
type founding struct {
	told map[string]wire.FoundTold
	// seeds are those of this start: seeds that come later found nothing.
	seeds []string
}

// founders are the addresses of those who found the first set; none if it has
// been founded before, as far as this node was told at its start. The seeds of
// the very first start last on disk, for a node that starts again before all
// were found.
func (c *Controller) founders() []string {
	if len(c.boot.Core) > 0 {
		return c.boot.Core
	}
	if seeds := c.acceptor.Founders(); len(seeds) > 0 {
		return seeds
	}
	return nil
}

// noteFounders keeps the seeds of the very first start. Who is bound to a founder
// by then may have said that it is none, and stays so.
func (c *Controller) noteFounders(out *wire.Outputs) {
	if c.acceptor.Bound() == "" && c.boot.Bootstrap && len(c.boot.Core) == 0 && slices.Contains(c.founding.seeds, c.boot.Addr) && len(c.acceptor.Founders()) == 0 {
		out.Add(c.acceptor.Found(c.founding.seeds))
	}
}

// votelessSeed tells whether a seed answered that it is a machine without a vote, which
// it stays for good: an agent on a machine without a disk.
func votelessSeed(told wire.FoundTold, answered bool) bool { return answered && told.Voter.ID == "" }

func newFounding(seeds []string) founding {
	return founding{told: map[string]wire.FoundTold{}, seeds: slices.Clone(seeds)}
}

func (c *Controller) founded() bool { return len(c.accepted(register.CoreKey)) > 0 }

func (c *Controller) voter() wire.Voter {
	return wire.Voter{ID: c.boot.ID, Name: c.boot.Name, Addr: c.boot.Addr}
}

// foundTick asks the others as long as this node has no core set.
func (c *Controller) foundTick(now int64, out *wire.Outputs) {
	if c.founded() || !c.due(now, "found", c.boot.ProbeMs) {
		return
	}
	c.noteFounders(out)
	candidate := c.candidate()
	if candidate || c.proposes() {
		out.Add(c.acceptor.Bind(c.voter()))
	}
	proposes := c.acceptor.Bound() == c.boot.ID
	addrs := slices.Concat(c.founders(), c.founding.seeds, c.boot.Seeds)
	for _, member := range c.members.Alive("") {
		addrs = append(addrs, member.Addr)
	}
	slices.Sort(addrs)
	for _, addr := range slices.Compact(addrs) {
		switch {
		case addr == c.boot.Addr:
		case proposes && (!candidate || slices.Contains(c.founding.seeds, addr)):
			// Nobody is bound to a founder that may forget that it is one.
			out.After(addr, wire.KindFoundAsk, &wire.FoundAsk{Voter: c.voter(), Propose: true})
		default:
			out.Send(addr, wire.KindFoundAsk, &wire.FoundAsk{Voter: c.voter()})
		}
	}
	if founders := c.founders(); len(founders) == 1 && founders[0] == c.boot.Addr {
		c.found(now, out)
	}
}

// proposes tells whether this machine is the founder that proposes the first set:
// no address below its own is a founder's any more.
func (c *Controller) proposes() bool {
	founders := c.founders()
	for _, addr := range founders {
		told, ok := c.founding.told[addr]
		if addr < c.boot.Addr && (!ok || told.Founder) && !votelessSeed(told, ok) {
			return false
		}
	}
	return slices.Contains(founders, c.boot.Addr)
}

func (c *Controller) foundHeard(now int64, from string, body wire.Record) wire.Outputs {
	var out wire.Outputs
	switch told := body.(type) {
	case *wire.FoundAsk:
		c.noteFounders(&out)
		if told.Propose && !c.founded() {
			out.Add(c.acceptor.Bind(told.Voter))
		}
		out.After(from, wire.KindFoundTold, &wire.FoundTold{Voter: c.voter(), Founded: c.founded(), Core: c.chosenCore(), Founder: len(c.founders()) > 0, Bound: c.acceptor.Bound()})
	case *wire.FoundTold:
		if core, ok := register.ParseCore(told.Core); told.Founded && ok {
			c.adopt(now, &out, core, told.Core, told.Voter.ID)
			return out
		}
		c.founding.told[told.Voter.Addr] = *told
		c.takeNomination(&out)
		c.found(now, &out)
	case *wire.Found:
		if core, ok := register.ParseCore(told.Core); ok {
			c.adopt(now, &out, core, told.Core, told.By)
		}
	}
	return out
}

// chosenCore is the core set known to be chosen, as a register's value.
func (c *Controller) chosenCore() []byte {
	core, ok := c.acceptor.Core()
	if !ok {
		return nil
	}
	return wire.Encode(&wire.Value{Version: 1, Body: wire.Encode(&core)})
}

// found makes the first core set, once all founders' addresses answered that they
// are bound to this machine.
func (c *Controller) found(now int64, out *wire.Outputs) {
	founders := c.founders()
	if c.founded() || !slices.Contains(founders, c.boot.Addr) || c.acceptor.Bound() != c.boot.ID {
		return
	}
	// The first voter is the one that made the set (see takesUp).
	core := coreOf(1, []wire.Voter{c.voter()})
	core.Rereplicated = true
	for _, addr := range founders {
		told, ok := c.founding.told[addr]
		if addr == c.boot.Addr {
			continue
		}
		if votelessSeed(told, ok) {
			continue
		}
		if !ok || told.Bound != c.boot.ID {
			return
		}
		core.Voters = append(core.Voters, told.Voter)
	}
	value := wire.Encode(&wire.Value{Version: 1, Body: wire.Encode(&core)})
	c.adopt(now, out, core, value, c.boot.ID)
	for _, voter := range core.Voters {
		if voter.ID != c.boot.ID {
			out.After(voter.ID, wire.KindFound, &wire.Found{By: c.boot.ID, Core: value})
		}
	}
}

// adopt takes a founding core set that names this identity, as another has it,
// if this machine is bound to nobody else (see takesUp). One that does not name it
// only tells the proposer whom to ask: the coordinators will let this node in.
func (c *Controller) adopt(now int64, out *wire.Outputs, core wire.CoreSet, value []byte, from string) {
	if core.Epoch == 1 && voterOf(core.Voters, c.boot.ID) && !c.founded() {
		if !c.takesUp(core, from) {
			return
		}
		first := wire.Ballot{N: 1, By: "founding"}
		record := &wire.AcceptorRecord{Key: register.CoreKey, Promised: first, Accepted: first, Value: value}
		c.acceptor.Replay(record)
		out.Write(wire.KindAcceptorRecord, record)
	}
	c.learnCore(now, out, core)
}

// takesUp tells whether a first set may be taken up, by the founder that this
// machine is bound to: that one made it, or has it itself; or the founder is this
// machine, and made none yet.
func (c *Controller) takesUp(core wire.CoreSet, from string) bool {
	bound := c.acceptor.Bound()
	return bound != "" && (bound == c.boot.ID || bound == core.Voters[0].ID || bound == from)
}

// SetSeeds takes the seeds of settings that were read again.
//
//	core.SetSeeds([]string{"10.0.0.7:7100"})
func (c *Controller) SetSeeds(seeds []string) {
	c.boot.Seeds = seeds
	c.members.SetSeeds(SeedsWith(seeds, c.proposer.Core()))
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
