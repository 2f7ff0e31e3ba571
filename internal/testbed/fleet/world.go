package fleet

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/samber/oops"

	"applequay/internal/controlplane/orders"
)

// World is one deployment, running.
type World struct {
	Shape     Shape
	Dir, Bin  string
	ctx       context.Context
	cancel    context.CancelFunc
	links     *links
	procs     map[string]*process
	names     []string
	seeds     []string
	listed    []orders.Listed
	Cores     []string
	Fronts    []string
	client    *http.Client
	notes     chan Note
	noted     chan []Note
	directory string
	subs      int
	// turns counts the policies written, acked is the newest acknowledged.
	turns, acked atomic.Int64
	// Seed draws the scenario random; appArgs go to applications added later.
	Seed    int64
	appArgs []string
}

// Note is something the desk did or saw, for the checkers.
type Note struct {
	TimeMs  int64  `json:"t"`
	Event   string `json:"event"`
	Name    string `json:"name,omitempty"`
	Version int64  `json:"mark,omitempty"`
	Why     string `json:"why,omitempty"`
}

func (w *World) note(event, name string, version int64, why string) {
	w.notes <- Note{TimeMs: time.Now().UnixMilli(), Event: event, Name: name, Version: version, Why: why}
}

// keepNotes owns the notes: several may note at once.
func (w *World) keepNotes() {
	var kept []Note
	for {
		select {
		case <-w.ctx.Done():
			return
		case note := <-w.notes:
			kept = append(kept, note)
		case w.noted <- slices.Clone(kept):
		}
	}
}

func (w *World) addr(group, number, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", w.Shape.Net, group, number, port)
}

// Groups of machine addresses; public ones lead through the links.
const (
	groupCore = iota + 1
	groupFront
	groupWorker
	groupApp
	groupPublicCore
	groupPublicFront
	groupPlatform
)

// New lays a deployment out in a folder; nothing runs yet.
//
//	world := fleet.New(fleet.Small(), dir, bin)
func New(shape Shape, dir, bin string) (*World, error) {
	ctx, cancel := context.WithCancel(context.Background())
	w := &World{Shape: shape, Dir: dir, Bin: bin, ctx: ctx, cancel: cancel, links: newLinks(shape.LinkKbPerS), notes: make(chan Note), noted: make(chan []Note), procs: map[string]*process{}, client: &http.Client{Timeout: 8 * time.Second}}
	go w.keepNotes()
	w.directory = w.addr(groupPlatform, 1, 7900)
	w.add("directory", "fakeregistry", "-listen", w.directory)
	for i := range shape.Cores {
		w.seeds = append(w.seeds, w.addr(groupPublicCore, i+1, 7100))
	}
	core := strings.Join(w.seeds, ",")
	for i := range shape.Cores {
		if err := w.AddCore(fmt.Sprintf("c%d", i+1), i+1, core); err != nil {
			return nil, err
		}
	}
	for i := range shape.Fronts {
		if err := w.AddFront(i+1, w.seeds[:min(3, len(w.seeds))]); err != nil {
			return nil, err
		}
	}
	for i := range shape.Workers {
		w.AddWorker(i+1, false)
	}
	for i := range shape.Apps {
		w.AddWorker(i+1, true)
	}
	return w, nil
}

// AddFront lays out a front that knows some seeds.
//
//	err := world.AddFront(10, []string{"127.20.5.9:7100"})
func (w *World) AddFront(number int, seeds []string) error {
	i, shape := number-1, w.Shape
	agent, public := w.addr(groupFront, number, 7200), w.addr(groupPublicFront, number, 7200)
	if err := w.links.relay(w.ctx, public, agent); err != nil {
		return err
	}
	plugs := w.addr(groupFront, number, 7300)
	w.add(fmt.Sprintf("l%d", number), "agent", "-name", fmt.Sprintf("l%d", number), "-zone", fmt.Sprintf("z%d", i%shape.Zones), "-listen", agent, "-advertise", public, "-proxy", plugs, "-seeds", strings.Join(seeds, ","), "-lease-ms", fmt.Sprint(shape.LeaseMs))
	w.add(fmt.Sprintf("s%d", number), "proxy", "-name", fmt.Sprintf("s%d", number), "-listen", plugs, "-callers", w.addr(groupFront, number, 7400), "-agent", agent)
	w.Fronts = append(w.Fronts, w.addr(groupFront, number, 7400))
	return nil
}

// AddCore lays out a core machine; its number gives its address.
//
//	err := world.AddCore("c9", 9, "")
func (w *World) AddCore(name string, number int, core string) error {
	private, public := w.addr(groupCore, number, 7100), w.addr(groupPublicCore, number, 7100)
	if err := w.links.relay(w.ctx, public, private); err != nil {
		return err
	}
	args := []string{"-name", name, "-zone", fmt.Sprintf("z%d", number%w.Shape.Zones), "-listen", private, "-advertise", public, "-seeds", strings.Join(w.seeds[:min(3, len(w.seeds))], ","),
		"-core", core, "-data", filepath.Join(w.Dir, "data-"+name), "-directory", w.directory, "-sync-floor-ms", fmt.Sprint(w.Shape.SyncMs), "-lease-ms", fmt.Sprint(w.Shape.LeaseMs)}
	w.add(name, "controller", args...)
	w.Cores = append(w.Cores, name)
	return nil
}

func (w *World) add(name, program string, args ...string) {
	w.procs[name] = &process{name: name, program: program, args: args, log: filepath.Join(w.Dir, name+".log")}
	w.names = append(w.names, name)
}

// Start starts processes; with no names, all that are not running.
//
//	err := world.Start("c1", "c2")
func (w *World) Start(names ...string) error {
	if len(names) == 0 {
		names = w.names
	}
	for _, name := range names {
		if p := w.procs[name]; !p.up() {
			if err := p.start(w.Bin); err != nil {
				return oops.Wrapf(err, "starting %s", name)
			}
			w.note("start", name, 0, "")
		}
	}
	return nil
}

// Kill ends processes at once.
//
//	world.Kill("c1")
func (w *World) Kill(names ...string) {
	for _, name := range names {
		w.note("kill", name, 0, "")
		w.procs[name].kill()
	}
}

// Close ends everything the world started.
//
//	defer world.Close()
func (w *World) Close() {
	for _, name := range slices.Backward(w.names) {
		w.procs[name].kill()
	}
	w.cancel()
}

func (w *World) call(method, url string, body []byte) (int, []byte, error) {
	request, err := http.NewRequestWithContext(w.ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	answer, err := w.client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = answer.Body.Close() }()
	told, err := io.ReadAll(answer.Body)
	return answer.StatusCode, told, err
}

// ReadLog returns a process's log, for failures' messages.
//
//	text := world.ReadLog("c1")
func (w *World) ReadLog(name string) string {
	body, err := os.ReadFile(w.procs[name].log)
	if err != nil {
		return err.Error()
	}
	return string(body)
}
