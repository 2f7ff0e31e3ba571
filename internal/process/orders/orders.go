// Package orders hands a partition's orders to workers, and reads the
// platform's worker list, over HTTP/1.1 and JSON.
package orders

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/samber/oops"

	"applequay/internal/connection/wire"
)

// Asked is what is posted to a worker at /orders. Op look asks for nothing but
// raises the fence.
type Asked struct {
	Fence  int64  `json:"fence"`
	Seq    int64  `json:"seq,omitempty"`
	Op     string `json:"op"`
	Item   string `json:"item,omitempty"`
	Base   string `json:"base,omitempty"`
	SizeMb int64  `json:"size_mb,omitempty"`
	MbPerS int64  `json:"mb_per_s,omitempty"`
}

// Held is one thing in a worker's loaded set.
type Held struct {
	Item   string `json:"item"`
	Ready  bool   `json:"ready"`
	SizeMb int64  `json:"size_mb"`
}

// Told is a worker's answer.
type Told struct {
	Ok     bool   `json:"ok"`
	Why    string `json:"why,omitempty"`
	Fence  int64  `json:"fence"`
	Seq    int64  `json:"seq"`
	Born   string `json:"born"`
	RoomMb int64  `json:"room_mb"`
	UsedMb int64  `json:"used_mb"`
	Loaded []Held `json:"loaded"`
	// QuietMs is for how long, at least, no order of a lower fence came; nought
	// where the worker does not say.
	QuietMs int64 `json:"quiet_ms,omitempty"`
}

// Listed is one worker in the platform's list.
type Listed struct {
	Name    string `json:"name"`
	Addr    string `json:"addr"`
	Zone    string `json:"zone"`
	Pool    string `json:"pool"`
	RoomMb  int64  `json:"room_mb"`
	Leaving bool   `json:"leaving"`
}

// Clerk sends for the control thread: one line per worker, so that orders to
// one worker keep their order.
type Clerk struct {
	ctx       context.Context
	client    *http.Client
	directory string
	lines     map[string]chan Job
	// Saw takes what workers showed, List what the platform listed.
	Saw  func(seen *wire.Seen)
	List func(mark int64, list *wire.WorkerList)
	// Failed hears why the platform's list could not be read.
	Failed func(err error)
}

// Job is an order with the moment after which it must not leave.
type Job struct {
	Order wire.Order
	Until time.Time
}

// New makes a clerk; wait is how long a worker or the platform may take.
//
//	clerk := orders.New(ctx, "127.0.0.1:7900", time.Second)
func New(ctx context.Context, directory string, wait time.Duration) *Clerk {
	return &Clerk{ctx: ctx, directory: directory, client: &http.Client{Timeout: wait}, lines: map[string]chan Job{}}
}

// Send puts an order on its worker's line; a full line loses it.
//
//	clerk.Send(orders.Job{Order: *order, Until: until})
func (c *Clerk) Send(job Job) {
	name := job.Order.Worker
	line, ok := c.lines[name]
	if !ok {
		line = make(chan Job, 8)
		c.lines[name] = line
		go c.run(line)
	}
	select {
	case line <- job:
	default:
	}
}

func (c *Clerk) run(line chan Job) {
	for {
		select {
		case <-c.ctx.Done():
			return
		case job := <-line:
			if job.Order.Op == "list" {
				if list, err := c.list(); err == nil {
					c.List(job.Order.Seq, list)
				} else {
					c.Failed(err)
				}
				continue
			}
			// The grant may have run out while the order waited here.
			if time.Now().Before(job.Until) {
				if seen, err := c.order(job); err == nil {
					c.Saw(seen)
				}
			}
		}
	}
}

func (c *Clerk) order(job Job) (*wire.Seen, error) {
	order := &job.Order
	body, err := json.Marshal(Asked{Fence: order.Fence, Seq: order.Seq, Op: order.Op, Item: order.Item, Base: order.Base, SizeMb: order.SizeMb, MbPerS: order.MbPerS})
	if err != nil {
		return nil, err
	}
	answer, err := c.client.Post("http://"+order.Addr+"/orders", "application/json", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	defer func() { _ = answer.Body.Close() }()
	var told Told
	if err := read(answer, &told); err != nil {
		return nil, err
	}
	seen := &wire.Seen{Partition: order.Partition, Worker: order.Worker, Fence: told.Fence, RoomMb: told.RoomMb, UsedMb: told.UsedMb, Born: told.Born, OrderSeq: told.Seq, OrderOk: told.Ok, QuietMs: told.QuietMs}
	if !told.Ok {
		seen.OrderSeq = order.Seq
	}
	for _, held := range told.Loaded {
		seen.Loaded = append(seen.Loaded, wire.Loaded{Item: held.Item, Ready: held.Ready, SizeMb: held.SizeMb})
	}
	return seen, nil
}

func read(answer *http.Response, into any) error {
	if answer.StatusCode != http.StatusOK && answer.StatusCode != http.StatusConflict {
		return oops.Errorf("answered %d", answer.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, 8<<20))
	if err != nil {
		return err
	}
	return json.Unmarshal(body, into)
}

func (c *Clerk) list() (*wire.WorkerList, error) {
	answer, err := c.client.Get("http://" + c.directory + "/workers")
	if err != nil {
		return nil, err
	}
	defer func() { _ = answer.Body.Close() }()
	var listed struct {
		Workers *[]Listed `json:"workers"`
		Mark    int64     `json:"mark"`
	}
	if err := read(answer, &listed); err != nil {
		return nil, err
	}
	if listed.Workers == nil {
		return nil, oops.Errorf("there are no workers in it")
	}
	list, names := &wire.WorkerList{Platform: listed.Mark}, map[string]bool{}
	for _, one := range *listed.Workers {
		if _, err := netip.ParseAddrPort(one.Addr); err != nil || one.Name == "" || strings.ContainsAny(one.Name, "@:~/ ") {
			return nil, oops.Errorf("worker %q at %q: a name without @ : ~ / and blanks, and IP:port, must be given", one.Name, one.Addr)
		}
		if names[one.Name] {
			return nil, oops.Errorf("worker %q is listed twice", one.Name)
		}
		names[one.Name] = true
		list.Workers = append(list.Workers, wire.Worker{Name: one.Name, Addr: one.Addr, Zone: one.Zone, Pool: one.Pool, RoomMb: one.RoomMb, Leaving: one.Leaving})
	}
	slices.SortFunc(list.Workers, func(a, b wire.Worker) int { return strings.Compare(a.Name, b.Name) })
	return list, nil
}
