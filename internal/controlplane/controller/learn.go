package controller

import (
	"strconv"
	"strings"

	"applequay/internal/controlplane/register"
	"applequay/internal/transport/wire"
)

// chosen takes a proposer's word that a ballot was chosen.
func (f *Controller) chosen(now int64, out *wire.Outputs, told *wire.Chosen) {
	if f.admitted() {
		out.Add(f.acceptor.Mend(told))
	}
	body := told.Value
	if ballot, value := f.acceptor.Accepted(told.Key); len(body) == 0 && ballot == told.Ballot {
		body = value
	}
	if len(body) == 0 {
		return
	}
	if value, err := wire.DecodeValue(body); err == nil {
		out.Add(f.proposer.Chose(now, told.Key, value))
		f.learn(now, out, told.Key, value)
	}
}

// learn takes a chosen value; versions only rise.
func (f *Controller) learn(now int64, out *wire.Outputs, key string, value wire.Value) {
	value = register.Standing(value)
	if key == register.CoreKey {
		f.coreVersion = max(f.coreVersion, value.Version)
		var core wire.CoreSet
		if core.Unmarshal(value.Body) == nil {
			f.learnCore(now, out, core)
		}
	}
	if value.Version <= f.versions[key] {
		return
	}
	f.versions[key] = value.Version
	switch {
	case key == PolicyKey:
		if table, faults, _ := f.boot.Form.Parse(value.Body, value.Version); table != nil && len(faults) == 0 {
			f.view.Policy = table.Placement()
		}
		f.members.Set("mark", strconv.FormatInt(value.Version, 10))
		topic := wire.Pack(wire.Topic{Name: PolicyKey, Step: value.Version, Body: value.Body})
		f.board.Put(topic)
		f.push(out, topic, false)
	case key == DirectoryKey:
		var list wire.WorkerList
		if list.Unmarshal(value.Body) == nil {
			f.listed = list
			f.viewWorkers()
		}
		topic := wire.Pack(wire.Topic{Name: DirectoryKey, Step: value.Version, Body: value.Body})
		f.board.Put(topic)
		f.push(out, topic, false)
	case strings.HasPrefix(key, ownerPrefix):
		var owner wire.Owner
		if owner.Unmarshal(value.Body) == nil && owner.Fence > f.view.Owners[owner.Partition].Fence {
			f.view.Owners[owner.Partition] = owner
			f.board.Put(wire.Topic{Name: key, Term: owner.Fence, Body: value.Body})
		}
	}
}

// noticeCore takes up a core set that the proposer learned by an answer. What
// goes with a new set is done whichever way it became known.
func (f *Controller) noticeCore(now int64, out *wire.Outputs) {
	if core := f.proposer.Core(); core.Epoch > f.core.Epoch {
		f.learnCore(now, out, core)
	}
}

// learnCore takes up a core set; it is compared with the one that this machine
// took up before, since the proposer may already work with the newer one.
func (f *Controller) learnCore(now int64, out *wire.Outputs, core wire.CoreSet) {
	known := f.core
	if core.Epoch < known.Epoch || (core.Epoch == known.Epoch && known.Rereplicated) {
		return
	}
	// To lose a vote and get one again takes three changes, of which a node that
	// was cut off may not have heard.
	missed := known.Epoch > 0 && core.Epoch >= known.Epoch+regained
	if core.Epoch > 1 && voterOf(core.Voters, f.boot.ID) && (missed || !voterOf(known.Voters, f.boot.ID)) {
		f.grantor.Quiet(now)
	}
	f.core = core
	f.noteSize(now, known, core)
	f.noteAdmitted(now, known, core)
	if voterOf(known.Voters, f.boot.ID) && !voterOf(core.Voters, f.boot.ID) {
		f.outSince = core.Epoch
	}
	if core.Epoch > known.Epoch {
		f.holder.Hurry(now)
	}
	f.proposer.Learn(core)
	f.SetSeeds(f.boot.Seeds)
	out.Add(f.acceptor.Raise(core.Epoch))
	out.Add(f.acceptor.Chose(core))
	f.board.Put(register.CoreTopic(core))
}

func (f *Controller) heardNews(now int64, out *wire.Outputs, from string, told *wire.News) {
	for _, topic := range told.Topics {
		if !f.board.Put(topic) {
			continue
		}
		if from == f.boot.ID {
			f.tellVoters(out, topic)
			f.push(out, topic, true)
		}
		switch {
		case strings.HasPrefix(topic.Name, "homes/"):
			var room wire.WorkerNews
			if room.Unmarshal(topic.Body) == nil {
				f.view.Rooms[room.Worker] = room
			}
		case topic.Name == register.CoreKey:
			var core wire.CoreSet
			if core.Unmarshal(topic.Body) == nil {
				f.learnCore(now, out, core)
			}
		case strings.HasPrefix(topic.Name, ownerPrefix):
			var owner wire.Owner
			if owner.Unmarshal(topic.Body) == nil && owner.Fence > f.view.Owners[owner.Partition].Fence {
				f.view.Owners[owner.Partition] = owner
			}
		}
	}
}

func (f *Controller) tellVoters(out *wire.Outputs, topic wire.Topic) {
	for _, voter := range f.proposer.Core().Voters {
		if voter.ID != f.boot.ID {
			out.Send(voter.ID, wire.KindNews, &wire.News{Topics: []wire.Topic{topic}})
		}
	}
}

// readRepairTick reads registers in turn: reads mend the copies they find old, and
// bring here what this node missed. What is chosen is told at once and asked for
// as news, so a turn now and then is enough.
func (f *Controller) readRepairTick(now int64, out *wire.Outputs) {
	if !f.founded() || !f.due(now, "read repair", f.often(now, f.boot.LeaseMs/8)) {
		return
	}
	keys := f.acceptor.Keys()
	f.timers["swept"]++
	turn := int(f.timers["swept"])
	// Every other turn is for what must be in effect soon.
	key := []string{PolicyKey, DirectoryKey}[turn/2%2]
	if turn%2 == 0 && len(keys) > 0 {
		key = keys[turn/2%len(keys)]
	}
	ballot, held := f.acceptor.Accepted(key)
	call := f.then(func(now int64, outcome register.Outcome) wire.Outputs {
		var out wire.Outputs
		if outcome.Fate == register.FateDone && outcome.Has {
			f.learn(now, &out, key, outcome.Value)
		}
		return out
	})
	out.Add(f.proposer.Read(now, call, key, ballot, held))
}
