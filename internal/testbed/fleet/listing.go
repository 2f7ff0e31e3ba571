package fleet

import (
	"encoding/json"
	"fmt"
	"net/http"
	"path/filepath"
	"slices"

	"github.com/samber/oops"

	"applequay/internal/controlplane/orders"
)

// AddWorker lays out a worker and puts it in the platform's list.
//
//	world.AddWorker(4, false)
func (w *World) AddWorker(number int, app bool) {
	name, pool, role, group := fmt.Sprintf("w%d", number), "llm", "model", groupWorker
	if app {
		name, pool, role, group = fmt.Sprintf("b%d", number), "app", "app", groupApp
	}
	addr := w.addr(group, number, 7800)
	w.add(name, "fakeworker", "-name", name, "-listen", addr, "-role", role, "-room-mb", fmt.Sprint(w.Shape.RoomMb), "-piece-ms", fmt.Sprint(w.Shape.PieceMs), "-record", filepath.Join(w.Dir, name+".rec"))
	if p := w.procs[name]; app {
		p.args = append(p.args, w.appArgs...)
	}
	w.listed = append(w.listed, orders.Listed{Name: name, Addr: addr, Zone: fmt.Sprintf("z%d", number%w.Shape.Zones), Pool: pool, RoomMb: w.Shape.RoomMb})
}

// List gives the platform's list to the directory.
//
//	err := world.List()
func (w *World) List() error {
	body, err := json.Marshal(map[string]any{"workers": w.listed})
	if err != nil {
		return err
	}
	status, told, err := w.call(http.MethodPut, "http://"+w.directory+"/workers", body)
	if err != nil || status != http.StatusOK {
		return oops.Wrapf(err, "the directory answered %d %s", status, told)
	}
	return nil
}

// Leave marks a worker as leaving, or no longer.
//
//	err := world.Leave("w3", true)
func (w *World) Leave(name string, leaving bool) error {
	w.relist(name, func(one *orders.Listed) bool {
		one.Leaving = leaving
		return true
	})
	err := w.List()
	w.note("leaving", name, map[bool]int64{true: 1}[leaving], "")
	return err
}

// relist changes or drops one entry of the platform's list, which is given to
// the directory by List.
func (w *World) relist(name string, change func(one *orders.Listed) bool) {
	w.listed = slices.DeleteFunc(slices.Clone(w.listed), func(one orders.Listed) bool { return one.Name == name && !change(&one) })
	for at := range w.listed {
		if w.listed[at].Name == name {
			change(&w.listed[at])
		}
	}
}

// Unlist takes a worker off the platform's list.
//
//	err := world.Unlist("b2")
func (w *World) Unlist(name string) error {
	w.relist(name, func(*orders.Listed) bool { return false })
	w.note("unlisted", name, 0, "")
	return w.List()
}

// Move gives a worker that is not running another address, and lists it there.
//
//	err := world.Move("b3", 13)
func (w *World) Move(name string, number int) error {
	group := groupWorker
	if name[0] == 'b' {
		group = groupApp
	}
	addr := w.addr(group, number, 7800)
	w.SetArg(name, "-listen", addr)
	w.relist(name, func(one *orders.Listed) bool {
		one.Addr = addr
		return true
	})
	w.note("moved", name, 0, addr)
	return w.List()
}

// SetArg gives a process another setting, from its next start on.
//
//	world.SetArg("b3", "-cut-percent", "30")
func (w *World) SetArg(name, flag, value string) {
	p := w.procs[name]
	p.args = slices.Clone(p.args)
	if at := slices.Index(p.args, flag); at >= 0 {
		p.args[at+1] = value
		return
	}
	p.args = append(p.args, flag, value)
}
