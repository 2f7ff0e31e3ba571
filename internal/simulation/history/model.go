package history

import (
	"fmt"
	"hash/maphash"
	"slices"
	"strings"

	"github.com/anishathalye/porcupine"
)

// version is one that was in place, with those before it.
type version struct {
	number int64
	name   string
	before *version
	sum    uint64
}

// state is the register as it may be at a moment: the versions that were in
// place, the writes that were refused and may never come, and whether all that
// was answered is over.
type state struct {
	top     *version
	refused string
	over    bool
}

var seed = maphash.MakeSeed()

// model is a compare-and-set register with named writes.
var model = porcupine.Model{
	Init: func() any { return state{top: &version{}} },
	Step: func(now, input, _ any) (bool, any) { return step(now.(state), input) },
	Equal: func(one, other any) bool {
		a, b := one.(state), other.(state)
		return a.top.sum == b.top.sum && a.top.number == b.top.number && a.top.name == b.top.name && a.refused == b.refused && a.over == b.over
	},
	Hash: func(one any) uint64 { return one.(state).top.sum },
	DescribeOperation: func(input, _ any) string {
		if call, is := input.(fmt.Stringer); is {
			return call.String()
		}
		return "the end"
	},
	DescribeState: func(now any) string {
		top := now.(state).top
		return fmt.Sprintf("version %d of %q in place", top.number, top.name)
	},
}

func step(now state, input any) (bool, any) {
	switch call := input.(type) {
	case made:
		if now.over {
			return call.Answer == Unclear, now
		}
		return now.take(call)
	case told:
		found := now.top.find(call.Call)
		return found != nil && found.number == call.Version, now
	case Call:
		return now.answers(call)
	}
	now.over = true
	return true, now
}

// answers tells whether a read or a refusal could be answered so.
func (s state) answers(call Call) (bool, any) {
	switch {
	case call.Read:
		return s.shows(call), s
	case s.top.find(call) != nil:
		return false, s
	case call.Answer == Invalid:
		return call.Faulty, s.refuse(call)
	}
	// A refusal is for good: the write is neither in force nor ever will be.
	return !s.fits(call) && s.shows(call), s.refuse(call)
}

// shows tells whether what an answer told is what is in place.
func (s state) shows(call Call) bool {
	return (call.Version == 0 && !call.Read || call.Version == s.top.number) && (call.Found == "" || call.Found == s.top.name)
}

// fits tells whether a write could be taken now.
func (s state) fits(call Call) bool {
	return !call.Faulty && (call.Base < 0 || call.Base == s.top.number) && (call.Next == 0 || call.Next > s.top.number)
}

// take puts a write in force, if it may be, as the version that was told, if any
// was.
func (s state) take(call made) (bool, any) {
	next := call.Next
	if next == 0 {
		next = s.top.number + 1
	}
	owner, told := (*call.owners)[next]
	if !s.fits(call.Call) || (told && owner != call.Name) || (call.Version > 0 && call.Version != next) || slices.Contains(strings.Fields(s.refused), call.Name) {
		return false, s
	}
	sum := maphash.Comparable(seed, struct {
		before uint64
		number int64
		name   string
	}{s.top.sum, next, call.Name})
	s.top = &version{number: next, name: call.Name, before: s.top, sum: sum}
	return true, s
}

// refuse notes a write that may never come. One whose base is passed cannot.
func (s state) refuse(call Call) state {
	if call.Base >= 0 && call.Base < s.top.number {
		return s
	}
	names := strings.Fields(s.refused)
	if at, known := slices.BinarySearch(names, call.Name); !known {
		s.refused = strings.Join(slices.Insert(names, at, call.Name), " ")
	}
	return s
}

// find is the version that a write made, nil if none.
func (v *version) find(call Call) *version {
	for ; v != nil && v.number > max(call.Base, 0); v = v.before {
		if v.name == call.Name {
			return v
		}
	}
	return nil
}
