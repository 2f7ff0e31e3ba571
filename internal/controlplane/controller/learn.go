package controller

import (
	"strconv"
	"strings"

	"applequay/internal/controlplane/register"
	"applequay/internal/transport/wire"
)

// chosen takes a proposer's word that a ballot was chosen.
func (c *Controller) chosen(now int64, out *wire.Outputs, told *wire.Chosen) {
	if c.admitted() {
		out.Add(c.acceptor.Mend(told))
	}
	body := told.Value
	if ballot, value := c.acceptor.Accepted(told.Key); len(body) == 0 && ballot == told.Ballot {
		body = value
	}
	if len(body) == 0 {
		return
	}
	if value, err := wire.DecodeValue(body); err == nil {
		out.Add(c.proposer.Chose(now, told.Key, value))
		c.learn(now, out, told.Key, value)
	}
}

// learn takes a chosen value; versions only rise.
func (c *Controller) learn(now int64, out *wire.Outputs, key string, value wire.Value) {
	value = register.Standing(value)
	if key == register.CoreKey {
		c.coreVersion = max(c.coreVersion, value.Version)
		var core wire.CoreSet
		if core.Unmarshal(value.Body) == nil {
			c.learnCore(now, out, core)
		}
	}
	if value.Version <= c.versions[key] {
		return
	}
	c.versions[key] = value.Version
	switch {
	case key == PolicyKey:
		if table, faults, _ := c.boot.Form.Parse(value.Body, value.Version); table != nil && len(faults) == 0 {
			c.view.Policy = table.Placement()
		}
		c.members.Set("mark", strconv.FormatInt(value.Version, 10))
		topic := wire.Pack(wire.Topic{Name: PolicyKey, Step: value.Version, Body: value.Body})
		c.board.Put(topic)
		c.push(out, topic, false)
	case key == DirectoryKey:
		var list wire.WorkerList
		if list.Unmarshal(value.Body) == nil {
			c.listed = list
			c.viewWorkers()
		}
		topic := wire.Pack(wire.Topic{Name: DirectoryKey, Step: value.Version, Body: value.Body})
		c.board.Put(topic)
		c.push(out, topic, false)
	case strings.HasPrefix(key, ownerPrefix):
		var owner wire.Owner
		if owner.Unmarshal(value.Body) == nil && owner.Fence > c.view.Owners[owner.Partition].Fence {
			c.view.Owners[owner.Partition] = owner
			c.board.Put(wire.Topic{Name: key, Term: owner.Fence, Body: value.Body})
		}
	}
}

// noticeCore takes up a core set that the proposer learned by an answer. What
// goes with a new set is done whichever way it became known.
func (c *Controller) noticeCore(now int64, out *wire.Outputs) {
	if core := c.proposer.Core(); core.Epoch > c.core.Epoch {
		c.learnCore(now, out, core)
	}
}

// learnCore takes up a core set; it is compared with the one that this machine
// took up before, since the proposer may already work with the newer one.
func (c *Controller) learnCore(now int64, out *wire.Outputs, core wire.CoreSet) {
	known := c.core
	if core.Epoch < known.Epoch || (core.Epoch == known.Epoch && known.Rereplicated) {
		return
	}
	// To lose a vote and get one again takes three changes, of which a node that
	// was cut off may not have heard.
	missed := known.Epoch > 0 && core.Epoch >= known.Epoch+regained
	if core.Epoch > 1 && voterOf(core.Voters, c.boot.ID) && (missed || !voterOf(known.Voters, c.boot.ID)) {
		c.grantor.Quiet(now)
	}
	c.core = core
	c.noteSize(now, known, core)
	c.noteAdmitted(now, known, core)
	if voterOf(known.Voters, c.boot.ID) && !voterOf(core.Voters, c.boot.ID) {
		c.outSince = core.Epoch
	}
	if core.Epoch > known.Epoch {
		c.holder.Hurry(now)
	}
	c.proposer.Learn(core)
	c.SetSeeds(c.boot.Seeds)
	out.Add(c.acceptor.Raise(core.Epoch))
	out.Add(c.acceptor.Chose(core))
	c.board.Put(register.CoreTopic(core))
}

func (c *Controller) heardNews(now int64, out *wire.Outputs, from string, told *wire.News) {
	for _, topic := range told.Topics {
		if !c.board.Put(topic) {
			continue
		}
		if from == c.boot.ID {
			c.tellVoters(out, topic)
			c.push(out, topic, true)
		}
		switch {
		case strings.HasPrefix(topic.Name, "homes/"):
			var room wire.WorkerNews
			if room.Unmarshal(topic.Body) == nil {
				c.view.Rooms[room.Worker] = room
			}
		case topic.Name == register.CoreKey:
			var core wire.CoreSet
			if core.Unmarshal(topic.Body) == nil {
				c.learnCore(now, out, core)
			}
		case strings.HasPrefix(topic.Name, ownerPrefix):
			var owner wire.Owner
			if owner.Unmarshal(topic.Body) == nil && owner.Fence > c.view.Owners[owner.Partition].Fence {
				c.view.Owners[owner.Partition] = owner
			}
		}
	}
}

func (c *Controller) tellVoters(out *wire.Outputs, topic wire.Topic) {
	for _, voter := range c.proposer.Core().Voters {
		if voter.ID != c.boot.ID {
			out.Send(voter.ID, wire.KindNews, &wire.News{Topics: []wire.Topic{topic}})
		}
	}
}

// readRepairTick reads registers in turn: reads mend the copies they find old, and
// bring here what this node missed. What is chosen is told at once and asked for
// as news, so a turn now and then is enough.
func (c *Controller) readRepairTick(now int64, out *wire.Outputs) {
	if !c.founded() || !c.due(now, "read repair", c.often(now, c.boot.LeaseMs/8)) {
		return
	}
	keys := c.acceptor.Keys()
	c.timers["swept"]++
	turn := int(c.timers["swept"])
	// Every other turn is for what must be in effect soon.
	key := []string{PolicyKey, DirectoryKey}[turn/2%2]
	if turn%2 == 0 && len(keys) > 0 {
		key = keys[turn/2%len(keys)]
	}
	ballot, held := c.acceptor.Accepted(key)
	call := c.then(func(now int64, outcome register.Outcome) wire.Outputs {
		var out wire.Outputs
		if outcome.Fate == register.FateDone && outcome.Has {
			c.learn(now, &out, key, outcome.Value)
		}
		return out
	})
	out.Add(c.proposer.Read(now, call, key, ballot, held))
}
