package fleet

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/samber/oops"

	"applequay/internal/controlplane/register"
	"applequay/internal/simulation"
)

// raced is one operator's calls, as this operator saw them.
type raced struct {
	ops []*simulation.Op
	err error
}

// race has two operators write with the versions they expect, each at nodes of its
// own, while core machines are killed; their histories are one register's.
func race(w *World) error {
	begin, _ := w.readPolicy("l1")
	if begin == nil {
		return oops.Errorf("the policy cannot be read")
	}
	// What is there was written by somebody before.
	begin.Kind, begin.Name, begin.Expected, begin.Began = "set", begin.Found, -1, 0
	ends := time.Now().Add(18 * time.Second)
	done := make(chan raced)
	for operator := range 2 {
		go func() { done <- w.operate(operator, ends) }()
	}
	for _, name := range w.Cores[:2] {
		w.Pass(3 * time.Second)
		w.Kill(name)
		w.Pass(3 * time.Second)
		if err := w.Start(name); err != nil {
			return err
		}
	}
	ops := []*simulation.Op{begin}
	for range 2 {
		one := <-done
		if one.err != nil {
			return one.err
		}
		ops = append(ops, one.ops...)
	}
	wrote := 0
	for _, op := range ops {
		if op.Kind == "set" && op.Answered && op.Fate == register.FateDone {
			wrote++
		}
	}
	w.note("raced", "", int64(wrote), strings.Join(simulation.CheckRegister(ops), "; "))
	return nil
}

// operate reads and writes in turn, always with the version read before.
func (w *World) operate(operator int, ends time.Time) raced {
	var out raced
	for turn := 0; time.Now().Before(ends); turn++ {
		node := fmt.Sprintf("l%d", 1+(2*turn+operator)%w.Shape.Fronts)
		read, version := w.readPolicy(node)
		if read == nil {
			w.Pass(100 * time.Millisecond)
			continue
		}
		out.ops = append(out.ops, read)
		w.raceWrite(&out, node, version)
	}
	return out
}

// readPolicy reads the policy at a node as an operator does; nil if it cannot.
func (w *World) readPolicy(node string) (*simulation.Op, int64) {
	read := &simulation.Op{Kind: "get", Began: time.Now().UnixMilli()}
	var found struct {
		Mark   int64
		Policy struct{ Routes []struct{ Path string } }
	}
	if w.Ask(node, "/v1/policy", &found) != nil {
		return nil, 0
	}
	read.Answered, read.Ended, read.Fate, read.Version = true, time.Now().UnixMilli(), register.FateDone, found.Mark
	for _, route := range found.Policy.Routes {
		if name, since := strings.CutPrefix(route.Path, "/v1/since/"); since {
			read.Found = "turn " + name
		}
	}
	return read, found.Mark
}

func (w *World) raceWrite(out *raced, node string, expected int64) {
	turn := w.turns.Add(1)
	write := &simulation.Op{Kind: "set", Name: fmt.Sprintf("turn %d", turn), Expected: expected, Began: time.Now().UnixMilli()}
	out.ops = append(out.ops, write)
	version, status, err := w.SetPolicy(node, w.Shape.Policy(w.withTurns(nil, turn)), expected)
	if err != nil {
		return
	}
	write.Answered, write.Ended, write.Version = true, time.Now().UnixMilli(), version
	switch status {
	case http.StatusOK:
		write.Fate, write.Found = register.FateDone, write.Name
		w.note("acknowledged", node, turn, fmt.Sprint(version))
		raise(&w.acked, turn)
	case http.StatusConflict:
		write.Fate = register.FateStale
	default:
		write.Fate = register.FateUnknown
	}
}
