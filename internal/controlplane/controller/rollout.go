package controller

import (
	"fmt"

	"applequay/internal/configuration"
	"applequay/internal/controlplane/partition"
	"applequay/internal/controlplane/register"
	"applequay/internal/transport/wire"
)

// CallsFact tells, while a policy is rolled out, how many calls a front had and
// how many of them ended badly, since it began.
const CallsFact = "calls"

// rolloutKey is whose partition's owner drives roll-outs: it holds a grant, and
// another goes on where it stopped, since all there is to know is in the policy.
const rolloutKey = "rollout"

// leastCalls is how many calls a zone must have had to be judged.
const leastCalls = 20

// rolling is what the driver of a roll-out remembers of one step.
type rolling struct {
	version, sinceMs int64
	begun            map[string]tally
	asked            bool
	// usual is what is bad, and all, where the old policy stands, as of this step
	// or one before.
	usual tally
}

// tally is how many calls ended badly, and how many there were.
type tally struct{ bad, calls int64 }

// rolloutTick drives a roll-out: after each pause one zone more, or a halt as
// soon as calls in the zones that go by the next policy end badly more often than
// elsewhere.
func (c *Controller) rolloutTick(now int64, out *wire.Outputs) {
	table := c.view.Policy
	if table.Rollout == nil || table.Rollout.Halted != "" || c.mine(now, partition.Of(rolloutKey, c.boot.Partitions)) == nil {
		c.rolling = nil
		return
	}
	if c.rolling == nil || c.rolling.version != table.Version {
		var usual tally
		if c.rolling != nil {
			usual = c.rolling.usual
		}
		c.rolling = &rolling{version: table.Version, sinceMs: now, begun: c.callsTold(), usual: usual}
	}
	step := c.rolling
	if step.asked {
		return
	}
	kept, _ := c.board.Get(PolicyKey)
	if why := c.worse(table.Rollout); why != "" {
		c.writeStep(now, out, kept, func(body []byte) ([]byte, error) { return configuration.Halt(body, why) })
	} else if now-step.sinceMs >= table.Rollout.PauseMs {
		c.writeStep(now, out, kept, configuration.Step)
	}
}

// writeStep writes what a step makes of the policy, if it still has the version
// that the step began with.
func (c *Controller) writeStep(now int64, out *wire.Outputs, kept wire.Topic, step func([]byte) ([]byte, error)) {
	stands, err := wire.Unpack(kept)
	if err != nil {
		return
	}
	body, err := step(stands)
	if err != nil || kept.Step != c.rolling.version {
		return
	}
	c.rolling.asked = true
	call := c.then(func(now int64, outcome register.Outcome) wire.Outputs {
		if c.rolling != nil {
			c.rolling.asked = false
		}
		if !outcome.Has {
			return wire.Outputs{}
		}
		return c.Learnt(now, PolicyKey, outcome.Value)
	})
	out.Add(c.proposer.Change(now, call, PolicyKey, kept.Step, 0, body, c.writeName()))
}

// callsTold is what each standing front tells of its calls: bad ones, and all.
func (c *Controller) callsTold() map[string]tally {
	out := map[string]tally{}
	for _, member := range c.members.Alive("agent") {
		var bad, came int64
		if _, err := fmt.Sscanf(member.Fact[CallsFact], "%d/%d", &bad, &came); err == nil {
			out[member.ID] = tally{bad, came}
		}
	}
	return out
}

// clearly tells whether calls end badly more often than usual by so many in a
// hundred, and by three times what chance would make of two such tallies.
func clearly(now, usual tally, percent int64) bool {
	n, m := float64(now.calls), float64(usual.calls)
	over := float64(now.bad)/n - float64(usual.bad)/m
	// One call more on either side, so that nought of some is not taken as never.
	share := float64(now.bad+usual.bad+1) / (n + m + 2)
	return over*100 >= float64(percent) && over*over >= 9*share*(1-share)*(1/n+1/m)
}

// worse says why a roll-out is to be halted, if it is: since this step began,
// more calls ended badly in the zones that go by the next policy than in the
// others by so many in a hundred.
func (c *Controller) worse(rollout *configuration.Rollout) string {
	var staged, others tally
	told := c.callsTold()
	for _, member := range c.members.Alive("agent") {
		calls, ok := told[member.ID]
		begun, known := c.rolling.begun[member.ID]
		if !ok {
			continue
		}
		if !known {
			c.rolling.begun[member.ID] = calls
			continue
		}
		sum := &others
		if c.view.Policy.For(member.Zone) != c.view.Policy {
			sum = &staged
		}
		sum.bad, sum.calls = sum.bad+calls.bad-begun.bad, sum.calls+calls.calls-begun.calls
	}
	if staged.calls < leastCalls {
		return ""
	}
	if others.calls >= leastCalls {
		c.rolling.usual = others
	}
	if usual := c.rolling.usual; usual.calls == 0 || !clearly(staged, usual, rollout.HaltPercent) {
		return ""
	}
	return fmt.Sprintf("of %d calls in the zones that go by it %d ended badly, elsewhere %d of %d", staged.calls, staged.bad, others.bad, others.calls)
}
