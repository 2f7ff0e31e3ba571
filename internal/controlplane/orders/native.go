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

	"applequay/internal/transport/socket"
	"applequay/internal/transport/wire"
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

// native speaks the product's own form, HTTP/1.1 and JSON.
type native struct {
	looks, once *http.Client
	directory   string
}

// Clients make calls to workers and to the platform that follow nothing to another
// address: once those that must leave at most once, see socket.Once, looks all
// others.
//
//	looks, once := orders.Clients(&http.Transport{DialContext: dialer.DialContext})
func Clients(transport *http.Transport) (looks, once *http.Client) {
	return socket.Client(transport), socket.Once(transport)
}

// Native speaks to the product's own workers and directory.
//
//	workers := orders.Native("127.0.0.1:7900")
func Native(directory string) Workers {
	transport := &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 10 * time.Second, DisableCompression: true}
	looks, once := Clients(transport)
	return &native{looks: looks, once: once, directory: directory}
}

// post makes one call to a worker.
func (n *native) post(ctx context.Context, client *http.Client, url string, body []byte) (*http.Response, error) {
	asked, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	asked.Header.Set("Content-Type", "application/json")
	return client.Do(asked)
}

// Order posts an order to a worker.
//
//	seen, err := adminapi.Order(ctx, &wire.Order{Addr: "10.0.0.9:7800", Fence: 4, Op: "look"})
func (n *native) Order(ctx context.Context, order *wire.Order) (*wire.Seen, error) {
	body, err := json.Marshal(Asked{Fence: order.Fence, Seq: order.Seq, Op: order.Op, Item: order.Item, Base: order.Base, SizeMb: order.SizeMb, MbPerS: order.MbPerS})
	if err != nil {
		return nil, err
	}
	client := n.once
	if order.Op == "look" {
		client = n.looks
	}
	answer, err := n.post(ctx, client, "http://"+order.Addr+"/orders", body)
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

// List reads the list at the directory.
//
//	list, err := adminapi.List(ctx)
func (n *native) List(ctx context.Context) (Listing, error) {
	asked, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.directory+"/workers", nil)
	if err != nil {
		return Listing{}, err
	}
	answer, err := n.once.Do(asked)
	if err != nil {
		return Listing{}, err
	}
	defer func() { _ = answer.Body.Close() }()
	var listed struct {
		Workers *[]Listed `json:"workers"`
		Version int64     `json:"mark"`
	}
	if err := read(answer, &listed); err != nil {
		return Listing{}, err
	}
	if listed.Workers == nil {
		return Listing{}, oops.Errorf("there are no workers in it")
	}
	list, names := &wire.WorkerList{Platform: listed.Version}, map[string]bool{}
	for _, one := range *listed.Workers {
		if err := CheckListed(one.Name, one.Addr); err != nil {
			return Listing{}, err
		}
		if names[one.Name] {
			return Listing{}, oops.Errorf("worker %q is listed twice", one.Name)
		}
		names[one.Name] = true
		list.Workers = append(list.Workers, wire.Worker{Name: one.Name, Addr: one.Addr, Zone: one.Zone, Pool: one.Pool, RoomMb: one.RoomMb, Leaving: one.Leaving})
	}
	slices.SortFunc(list.Workers, func(a, b wire.Worker) int { return strings.Compare(a.Name, b.Name) })
	return Listing{Workers: list, Calls: 1}, nil
}

// CheckListed tells what is wrong with the name or the address of a listed worker.
//
//	err := orders.CheckListed("w3", "10.0.0.9:7800")
func CheckListed(name, addr string) error {
	if _, err := netip.ParseAddrPort(addr); err != nil || name == "" || strings.ContainsAny(name, "@:~/ ") {
		return oops.Errorf("worker %q at %q: a name without @ : ~ / and blanks, and IP:port, must be given", name, addr)
	}
	return nil
}
