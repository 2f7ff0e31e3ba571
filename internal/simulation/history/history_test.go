package history

import (
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func write(name string, base, next, began, ended int64, answer Answer, version int64) Call {
	return Call{Client: "c" + name, Name: name, Base: base, Next: next, Began: began, Ended: ended, Answer: answer, Version: version}
}

func read(found string, version, began, ended int64) Call {
	return Call{Client: "r", Read: true, Found: found, Version: version, Began: began, Ended: ended, Answer: Acknowledged}
}

// Histories that a register can give, and ones that show a flaw each.
func TestHistories(t *testing.T) {
	c := qt.New(t)
	first := write("a", 0, 5, 1, 2, Acknowledged, 5)
	cases := []struct {
		name  string
		sound bool
		calls []Call
	}{
		{"nothing", true, nil},
		{"one after the other", true, []Call{first, write("b", 5, 7, 3, 4, Acknowledged, 7), read("b", 7, 5, 6)}},
		{"a race", true, []Call{first, write("b", 5, 7, 3, 6, Acknowledged, 7), write("c", 5, 7, 4, 5, Refused, 7), read("b", 7, 7, 8)}},
		{"two writes on one version", false, []Call{first, write("b", 5, 7, 3, 6, Acknowledged, 7), write("c", 5, 8, 4, 5, Acknowledged, 8)}},
		{"one number twice", false, []Call{first, write("b", 5, 7, 3, 6, Acknowledged, 7), write("c", 5, 7, 4, 5, Acknowledged, 7)}},
		{"neither won", false, []Call{first, write("b", 5, 7, 3, 6, Refused, 5), write("c", 5, 8, 4, 5, Refused, 5)}},
		{"refused on the newest", false, []Call{first, write("b", 5, 7, 3, 4, Refused, 0)}},
		{"refused on the newest, which an unclear one may have been", true, []Call{first, write("x", 5, 6, 3, 4, Unclear, 0), write("b", 5, 7, 5, 6, Refused, 0)}},
		{"a read from an old copy", false, []Call{first, write("b", 5, 7, 3, 4, Acknowledged, 7), read("a", 5, 5, 6)}},
		{"a read beside a write", true, []Call{first, write("b", 5, 7, 3, 6, Acknowledged, 7), read("a", 5, 4, 5)}},
		{"reads that go back", false, []Call{first, write("b", 5, 7, 3, 9, Acknowledged, 7), read("b", 7, 4, 5), read("a", 5, 6, 7)}},
		{"a read of another's under the number", false, []Call{first, read("z", 5, 5, 6)}},
		{"lost", false, []Call{first, read("", 0, 3, 4)}},
		{"unclear, and in force much later", true, []Call{first, write("b", 5, 7, 3, 4, Unclear, 0), read("a", 5, 5, 6), read("b", 7, 7, 8)}},
		{"unclear, and never in force", true, []Call{first, write("b", 5, 7, 3, 4, Unclear, 0), read("a", 5, 5, 6)}},
		{"unclear, and passed over", true, []Call{first, write("b", 5, 7, 3, 4, Unclear, 0), write("c", 5, 8, 5, 6, Acknowledged, 8)}},
		{"unclear, passed over, and in force", false, []Call{first, write("b", 5, 7, 3, 4, Unclear, 0), write("c", 5, 8, 5, 6, Acknowledged, 8), read("b", 7, 7, 8)}},
		{"sent again after others", true, []Call{first, write("b", 5, 7, 3, 4, Unclear, 0), write("c", 7, 8, 5, 6, Acknowledged, 8), write("b", 5, 7, 7, 8, Acknowledged, 7), read("c", 8, 9, 10)}},
		{"sent again and done again", false, []Call{first, write("b", 5, 0, 3, 4, Acknowledged, 6), write("b", 5, 0, 5, 6, Acknowledged, 7)}},
		{"sent again and refused", false, []Call{first, write("b", 5, 7, 3, 4, Acknowledged, 7), write("b", 5, 7, 5, 6, Refused, 7)}},
		{"sent again, refused, and in force by a later call", false, []Call{first, write("b", 5, 7, 3, 4, Unclear, 0), write("c", 7, 8, 5, 6, Acknowledged, 8), write("b", 5, 7, 7, 8, Refused, 8)}},
		{"sent again, and unclear", true, []Call{first, write("b", 5, 7, 3, 4, Acknowledged, 7), write("b", 5, 7, 5, 6, Unclear, 0), write("c", 7, 8, 7, 8, Acknowledged, 8)}},
		{"refused, and in force once its base came", false, []Call{first, write("d", 7, 9, 3, 4, Unclear, 0), write("d", 7, 9, 5, 6, Refused, 5), write("b", 5, 7, 7, 8, Acknowledged, 7), read("d", 9, 9, 10)}},
		{"left open, and in force once its base came", true, []Call{first, write("d", 7, 9, 3, 4, Unclear, 0), write("d", 7, 9, 5, 6, Unclear, 0), write("b", 5, 7, 7, 8, Acknowledged, 7), read("d", 9, 9, 10)}},
		{"nothing was done, and it is in force", false, []Call{first, write("b", 5, 7, 3, 4, Nothing, 0), read("b", 7, 5, 6)}},
		{"nothing was done, and it was sent again", true, []Call{first, write("b", 5, 7, 3, 4, Nothing, 0), write("b", 5, 7, 5, 6, Acknowledged, 7)}},
		{"any version", true, []Call{first, write("b", -1, 0, 3, 6, Acknowledged, 7), write("c", -1, 0, 4, 5, Acknowledged, 6), read("b", 7, 7, 8)}},
		{"a hole", false, []Call{first, write("b", -1, 0, 3, 6, Acknowledged, 7)}},
		{"a hole that an unclear one may fill", true, []Call{first, write("x", -1, 0, 3, 4, Unclear, 0), write("b", -1, 0, 5, 6, Acknowledged, 7)}},
		{"an invalid one is refused", true, []Call{first, faulty(write("b", 5, 7, 3, 4, Invalid, 0))}},
		{"an invalid one lost its race", true, []Call{first, faulty(write("b", 3, 7, 3, 4, Refused, 5))}},
		{"an invalid one is taken", false, []Call{first, faulty(write("b", 5, 7, 3, 4, Acknowledged, 7))}},
		{"an invalid one is in force", false, []Call{first, faulty(write("b", 5, 7, 3, 4, Unclear, 0)), read("b", 7, 5, 6)}},
		{"a valid one is called invalid", false, []Call{first, write("b", 5, 7, 3, 4, Invalid, 0)}},
	}
	for _, one := range cases {
		breaches := Check(one.calls, time.Minute)
		c.Check(len(breaches) == 0, qt.Equals, one.sound, qt.Commentf("%s: %v", one.name, breaches))
	}
}

func faulty(call Call) Call {
	call.Faulty = true
	return call
}

// A long day of eight clients, many answers lost, is judged in little time; with
// one answer made false it is objected to, and said where.
func TestLongHistory(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewSource(3))
	var calls []Call
	number, name, clock := int64(0), "", int64(0)
	for at := range 500 {
		began := clock + 1
		clock++
		base, next := number, number+1+random.Int63n(4)
		winner := random.Intn(8)
		for client := range 8 {
			mine := fmt.Sprintf("w%d-%d", at, client)
			answer, version := Refused, next
			if client == winner {
				answer = Acknowledged
			}
			if random.Intn(4) == 0 {
				answer, version = Unclear, 0
			}
			clock++
			calls = append(calls, Call{Client: fmt.Sprint("c", client), Name: mine, Base: base, Next: next, Began: began, Ended: clock, Answer: answer, Version: version})
		}
		number, name = next, fmt.Sprintf("w%d-%d", at, winner)
		clock += 2
		calls = append(calls, read(name, number, clock-1, clock))
	}
	c.Assert(Check(calls, time.Minute), qt.HasLen, 0)
	wrong := 2000
	for calls[wrong].Read || calls[wrong].Answer != Acknowledged {
		wrong++
	}
	calls[wrong].Version--
	breaches := Check(calls, time.Minute)
	c.Assert(breaches, qt.HasLen, 1)
	c.Check(strings.Contains(breaches[0], calls[wrong].String()), qt.IsTrue, qt.Commentf("%s", breaches[0]))
	path := filepath.Join(t.TempDir(), "history.html")
	c.Assert(Picture(calls[:90], path), qt.IsNil)
	info, err := os.Stat(path)
	c.Assert(err, qt.IsNil)
	c.Check(info.Size() > 1000, qt.IsTrue)
}
