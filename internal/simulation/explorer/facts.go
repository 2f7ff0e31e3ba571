package explorer

import (
	"fmt"
	"strings"

	"applequay/internal/controlplane/controller"
	"applequay/internal/controlplane/register"
	"applequay/internal/transport/wire"
)

// Op is one operator's call, as the operator saw it. Began and Ended count all
// that operators saw, in its order.
type Op struct {
	Kind, Name   string
	Node         string
	Expected     int64
	Began, Ended int
	Answered     bool
	Fate         register.Fate
	Version      int64
	Found        string
}

// known tells whether the answer says something of the register.
func (o *Op) known() bool {
	return o.Answered && (o.Fate == register.FateDone || o.Fate == register.FateStale)
}

// facts is what was seen from outside: the invariants go by it.
type facts struct {
	ops   []*Op
	turns int
	// bodies is what each version of each register was told to be, names which
	// writes were ever told to be in effect, and at what version.
	bodies map[string]string
	names  map[string]int64
	clash  string
	// cores are the core sets told to be chosen, by epoch, newest the last one;
	// due is what a machine must hold once it has a vote.
	cores  map[int64]wire.CoreSet
	newest wire.CoreSet
	// tellers are the machines that told of an epoch's set.
	tellers map[int64]map[string]bool
	due     map[string]map[string]int64
	bare    string
	acked   map[string]int64
	// fences is the highest fence under which each lease was held, and by whom.
	fences map[int64]wire.Owner
	logs   logs
	notes  []string
	sum    sum
}

func newFacts() facts {
	return facts{bodies: map[string]string{}, names: map[string]int64{}, cores: map[int64]wire.CoreSet{}, tellers: map[int64]map[string]bool{}, due: map[string]map[string]int64{}, acked: map[string]int64{}, fences: map[int64]wire.Owner{}, logs: newLogs()}
}

func (f *facts) note(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	f.notes = append(f.notes, line)
	f.sum = f.sum.word(line)
}

func (f *facts) begin(m *machine, op *Op) {
	f.turns++
	op.Began, op.Node = f.turns, m.name
	f.ops = append(f.ops, op)
	f.note("%s %s %s expecting %d begins", m.name, op.Kind, op.Name, op.Expected)
}

func (f *facts) answered(_ *World, op *Op, outcome register.Outcome) {
	f.turns++
	op.Answered, op.Ended, op.Fate, op.Version = true, f.turns, outcome.Fate, outcome.Value.Version
	f.note("%s %s %s: fate %d version %d", op.Node, op.Kind, op.Name, op.Fate, op.Version)
	if !op.known() || !outcome.Has {
		return
	}
	value := register.Standing(outcome.Value)
	op.Found = string(value.Body)
	f.chosen(controller.PolicyKey, value)
	if op.Fate == register.FateDone {
		f.acked[controller.PolicyKey] = max(f.acked[controller.PolicyKey], op.Version)
	}
}

// chosen notes a value that some machine told to be chosen.
func (f *facts) chosen(key string, value wire.Value) {
	at := fmt.Sprintf("%s@%d", key, value.Version)
	if key == register.CoreKey {
		return // a set may be told before and after its re-replication
	}
	if old, ok := f.bodies[at]; ok && old != string(value.Body) && f.clash == "" {
		f.clash = fmt.Sprintf("%s was %q and %q", at, old, value.Body)
	}
	f.bodies[at] = string(value.Body)
	register.Remembered(value, func(digest string, version int64) {
		name := key + "/" + digest
		if old, ok := f.names[name]; ok && old != version && f.clash == "" {
			f.clash = fmt.Sprintf("%x of %s took effect as %d and as %d", digest, key, old, version)
		}
		f.names[name] = version
	})
}

// said looks at what a machine sends to another.
func (f *facts) said(_ *machine, send wire.Send) {
	told, ok := send.Body.(*wire.Chosen)
	if !ok || len(told.Value) == 0 {
		return
	}
	if value, err := wire.DecodeValue(told.Value); err == nil {
		f.chosen(told.Key, value)
	}
}

// wrote looks at what a machine writes: the core sets that it knows to be chosen.
func (f *facts) wrote(m *machine, write wire.Write) {
	f.logs.wrote(m, write)
	if write.Kind != wire.KindAcceptorRecord {
		return
	}
	var record wire.AcceptorRecord
	if record.Unmarshal(write.Body) != nil || record.Key != "#core" {
		return
	}
	if core, ok := register.ParseCore(record.Value); ok {
		f.coreSeen(m.world, core)
		if f.tellers[core.Epoch] == nil {
			f.tellers[core.Epoch] = map[string]bool{}
		}
		f.tellers[core.Epoch][m.id] = true
	}
}

// forget takes note that a machine's disk is lost: a first set that nobody else
// ever heard of was never founded.
func (f *facts) forget(id string) {
	if tellers := f.tellers[1]; f.newest.Epoch == 1 && len(tellers) == 1 && tellers[id] {
		f.cores, f.newest, f.tellers = map[int64]wire.CoreSet{}, wire.CoreSet{}, map[int64]map[string]bool{}
	}
}

// unfound takes note that a machine crashed before a first set lasted there: what
// nobody else heard of either was never founded.
func (f *facts) unfound(id string) {
	tellers := f.tellers[1]
	if f.newest.Epoch != 1 || !tellers[id] {
		return
	}
	delete(tellers, id)
	if len(tellers) == 0 {
		f.cores, f.newest, f.tellers = map[int64]wire.CoreSet{}, wire.CoreSet{}, map[int64]map[string]bool{}
	}
}

func (f *facts) coreSeen(w *World, core wire.CoreSet) {
	if old, ok := f.cores[core.Epoch]; ok {
		if fmt.Sprint(old.Voters, old.Joining) != fmt.Sprint(core.Voters, core.Joining) && f.clash == "" {
			f.clash = fmt.Sprintf("the core set of epoch %d was %v and %v", core.Epoch, names(old), names(core))
		}
	}
	f.cores[core.Epoch] = core
	if core.Epoch <= f.newest.Epoch {
		return
	}
	for _, voter := range core.Joining {
		f.due[voter.ID] = map[string]int64{}
		for key, version := range f.acked {
			f.due[voter.ID][key] = version
		}
	}
	for _, voter := range core.Voters {
		m := w.byID(voter.ID)
		if before := f.newest.Epoch; before == 0 || admitted(f.newest.Voters, voter.ID) || m == nil {
			continue
		}
		for key, version := range f.due[voter.ID] {
			if m.disk.copies[key].value.Version < version && f.bare == "" {
				f.bare = fmt.Sprintf("%s got a seat in epoch %d with version %d of %s, %d was acknowledged before it joined", voter.ID, core.Epoch, m.disk.copies[key].value.Version, key, version)
			}
		}
	}
	f.newest = core
	f.note("core set %d %s", core.Epoch, names(core))
}

func names(core wire.CoreSet) string {
	var words []string
	for _, voter := range core.Voters {
		words = append(words, voter.ID)
	}
	for _, voter := range core.Joining {
		words = append(words, "+"+voter.ID)
	}
	return strings.Join(words, " ")
}

func admitted(voters []wire.Voter, id string) bool {
	for _, voter := range voters {
		if voter.ID == id {
			return true
		}
	}
	return false
}
