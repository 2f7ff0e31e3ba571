// Package history holds what operators saw of a compare-and-set register with
// named writes, and judges it: some order of the calls, each at one moment
// between its sending and its answer, must explain all answers (linearizability,
// Herlihy and Wing 1990). The search is porcupine's, by the algorithm of Wing and
// Gong with Lowe's memory of states.
package history

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

// Answer is how a call ended, as who sent it saw.
type Answer int

// The answers. An unclear write may take effect at any time after it was sent, or
// never; so may one that got no answer.
const (
	Unclear Answer = iota
	// Acknowledged: it is in force, or was.
	Acknowledged
	// Refused: it builds on another version than the one in place.
	Refused
	// Invalid: it was refused for what it says.
	Invalid
	// Nothing: it certainly did nothing, though the same write sent again may.
	Nothing
)

// Call is one sending of a write, or one read that was answered. Writes of one
// name are one write, however often it is sent.
type Call struct {
	Client string
	Name   string
	Read   bool
	// Base is the version that it builds on, -1 for any; Next the one that it
	// makes, 0 for the one after. Faulty says that it may never be taken.
	Base, Next int64
	Faulty     bool
	// Began and Ended count all sendings and answers in their order.
	Began, Ended int64
	Answer       Answer
	// Version is the one that the answer told of: that of the write, or the one in
	// place; 0 if it told none. Found is the name of the write in place, if told.
	Version int64
	Found   string
}

// String is the call in a few words.
//
//	fmt.Println(call)
func (c Call) String() string {
	if c.Read {
		return fmt.Sprintf("[%d, %d] %s reads version %d of %s", c.Began, c.Ended, c.Client, c.Version, c.Found)
	}
	answer := []string{"unclear", "acknowledged as", "refused at", "invalid", "nothing was done"}[c.Answer]
	return fmt.Sprintf("[%d, %d] %s writes %s on %d: %s %d", c.Began, c.Ended, c.Client, c.Name, c.Base, answer, c.Version)
}

// Check judges a history; what it says is empty where the history can be
// explained. A history that cannot be judged in the time allowed is said to be so.
//
//	breaches := history.Check(calls, 10*time.Second)
func Check(calls []Call, within time.Duration) []string {
	operations := operationsOf(calls)
	switch porcupine.CheckOperationsTimeout(model, operations, within) {
	case porcupine.Ok:
		return nil
	case porcupine.Unknown:
		return []string{fmt.Sprintf("the history of %d calls could not be judged within %s", len(calls), within)}
	}
	return []string{explain(operations, within)}
}

// Picture writes a page that shows the history and how far it can be explained.
//
//	err := history.Picture(calls, "history.html")
func Picture(calls []Call, path string) error {
	_, info := porcupine.CheckOperationsVerbose(model, operationsOf(calls), time.Minute)
	return porcupine.VisualizePath(model, info, path)
}

// operationsOf are the calls as the checker takes them. All sendings of a write
// together make it at most once, between the first sending and the first
// acknowledgement, or at any time where there is none; each acknowledgement then
// only tells that it was made. What has no acknowledgement may have come to
// nothing once all is over: the end is an operation of its own, which spares the
// search most of its ways.
func operationsOf(calls []Call) []porcupine.Operation {
	last := int64(0)
	for _, call := range calls {
		last = max(last, call.Began, call.Ended)
	}
	out := []porcupine.Operation{{Input: theEnd{}, Call: last + 1, Return: last + 1}}
	clients, winners, writes := map[string]int{}, winnersOf(calls), map[string]*made{}
	for _, call := range calls {
		if _, known := clients[call.Client]; !known {
			clients[call.Client] = len(clients) + 1
		}
		operation := porcupine.Operation{ClientId: clients[call.Client], Input: call, Call: call.Began, Return: call.Ended}
		switch {
		case call.Answer == Nothing || (call.Read && call.Answer != Acknowledged):
			continue
		case call.Read || call.Answer == Refused || call.Answer == Invalid:
		case call.Answer == Acknowledged:
			writes[call.Name] = writes[call.Name].with(call, call.Ended)
			operation.Input = told{call}
		default:
			winner, over := winners[call.Base]
			if !over || call.Base < 0 || winner == call.Name {
				writes[call.Name] = writes[call.Name].with(call, last+2)
			}
			continue
		}
		out = append(out, operation)
	}
	out = fewer(out, writes)
	owners := ownersOf(calls)
	for _, name := range slices.Sorted(maps.Keys(writes)) {
		one := writes[name]
		one.owners = &owners
		out = append(out, porcupine.Operation{ClientId: len(clients) + 1, Input: *one, Call: one.Began, Return: one.Ended})
	}
	return out
}

// fewer leaves, of all calls that only saw a version in place, the one that was
// sent last and the one that was answered first: a version stands for one while,
// so if these two were answered within it, all were.
func fewer(operations []porcupine.Operation, writes map[string]*made) []porcupine.Operation {
	type seen struct {
		version int64
		found   string
	}
	sawOnly := func(o porcupine.Operation) (seen, bool) {
		call, is := o.Input.(Call)
		refused := is && call.Answer == Refused && call.Base >= 0 && call.Base < call.Version && writes[call.Name] == nil
		return seen{call.Version, call.Found}, is && (call.Read || refused)
	}
	last, first := map[seen]int{}, map[seen]int{}
	for at, one := range operations {
		if what, only := sawOnly(one); only {
			if old, known := last[what]; !known || one.Call > operations[old].Call {
				last[what] = at
			}
			if old, known := first[what]; !known || one.Return < operations[old].Return {
				first[what] = at
			}
		}
	}
	var out []porcupine.Operation
	for at, one := range operations {
		if what, only := sawOnly(one); !only || last[what] == at || first[what] == at {
			out = append(out, one)
		}
	}
	return out
}

// theEnd comes after all that was answered.
type theEnd struct{}

// told is an acknowledgement: the write was made before.
type told struct{ Call }

// made is all sendings of a write that may have made it.
type made struct {
	Call
	owners *map[int64]string
}

// with adds a sending; ends is when the write was made by, as far as it tells.
func (m *made) with(call Call, ends int64) *made {
	if m == nil {
		call.Ended = ends
		return &made{Call: call}
	}
	if call.Answer == Acknowledged {
		m.Answer, m.Version = Acknowledged, call.Version
	}
	m.Began, m.Ended = min(m.Began, call.Began), min(m.Ended, ends)
	return m
}

// ownersOf names the write that made each version, as far as answers tell: no
// other need be tried for it.
func ownersOf(calls []Call) map[int64]string {
	owners := map[int64]string{}
	for _, call := range calls {
		switch {
		case call.Read && call.Answer == Acknowledged || call.Answer == Refused && call.Found != "":
			owners[call.Version] = call.Found
		case call.Answer == Acknowledged:
			owners[call.Version] = call.Name
		}
	}
	return owners
}

// winnersOf names the write that was acknowledged on each version: what else
// built on it and got no clear answer came to nothing, and need not be tried.
func winnersOf(calls []Call) map[int64]string {
	winners := map[int64]string{}
	for _, call := range calls {
		if !call.Read && call.Answer == Acknowledged {
			winners[call.Base] = call.Name
		}
	}
	return winners
}

// explain tells how far a history can be explained, and what comes next then.
func explain(operations []porcupine.Operation, within time.Duration) string {
	_, info := porcupine.CheckOperationsVerbose(model, operations, within)
	var longest []porcupine.Operation
	for _, partition := range info.PartialLinearizationsOperations() {
		for _, some := range partition {
			if len(some) > len(longest) {
				longest = some
			}
		}
	}
	at := model.Init()
	for _, one := range longest {
		_, at = model.Step(at, one.Input, one.Output)
	}
	first := int64(-1)
	var rest []porcupine.Operation
	for _, one := range operations {
		if !slices.ContainsFunc(longest, func(o porcupine.Operation) bool { return o.Input == one.Input && o.Call == one.Call }) {
			rest = append(rest, one)
			if first < 0 || one.Return < first {
				first = one.Return
			}
		}
	}
	text := fmt.Sprintf("no order of the calls explains their answers: after %d of %d, %s, none of these can be the next", len(longest), len(operations), model.DescribeState(at))
	for _, one := range rest {
		if call, is := one.Input.(fmt.Stringer); is && one.Call <= first {
			text += "\n  " + call.String()
		}
	}
	return text
}
