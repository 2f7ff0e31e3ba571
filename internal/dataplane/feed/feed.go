// Package feed is the proxy's control: it takes the news that its
// agent feeds it, makes tables of them, and reports what is held and used.
package feed

import (
	"context"
	"math/rand"
	"strings"
	"time"

	"applequay/internal/configuration"
	"applequay/internal/controlplane/distribution"
	"applequay/internal/controlplane/idempotency"
	"applequay/internal/dataplane/pipeline"
	"applequay/internal/routing"
	"applequay/internal/transport"
	"applequay/internal/transport/wire"
)

// Feed owns all that changes beside the traffic; it has one thread.
type Feed struct {
	agent    string
	messages *transport.Transport
	board    *distribution.Board
	inbox    chan transport.Arrived
	holds    chan held
	works    chan work
	comes    chan coming
	takes    chan taken
	told     routing.News
	holding  map[string]*wire.Want
	coming   map[string]coming
	demand   map[string]*demand
	toldTo   map[string]bool
	book     *idempotency.Book
	waiting  map[int64]chan idempotency.Decision
	nextID   int64
	epoch    time.Time
	policy   *configuration.Table
	form     configuration.Form
	zone     string
	counts   *pipeline.Counts
	now      func() int64
	put      func(*routing.Table)
	chain    *pipeline.Proxy
	current  func() *routing.Table
	// aliveAt is when the agent heard of this process last, talliedAt of its demand,
	// wantedAt of all that waits.
	aliveAt, talliedAt, wantedAt time.Time
}

// New makes a feed for the agent at an address.
//
//	plugs := feed.New("127.0.0.1:7201", messages, configuration.Native)
func New(agent string, messages *transport.Transport, form configuration.Form) *Feed {
	return &Feed{
		form:  form,
		agent: agent, messages: messages, board: distribution.NewBoard(),
		inbox: make(chan transport.Arrived, 1024), holds: make(chan held, 4096), works: make(chan work, 4096), demand: map[string]*demand{}, toldTo: map[string]bool{}, comes: make(chan coming, 4096), coming: map[string]coming{}, takes: make(chan taken, 256),
		told:    routing.News{Policy: configuration.Empty(), Rooms: map[string]wire.WorkerNews{}, Refused: map[string]int64{}},
		holding: map[string]*wire.Want{},
		book:    idempotency.New(1, agent, rand.Int63n(1<<40)), waiting: map[int64]chan idempotency.Decision{}, epoch: time.Now(),
	}
}

// Serve ties the feed to the chain whose tables it makes.
//
//	feed.Serve(proxy)
func (p *Feed) Serve(proxy *pipeline.Proxy) {
	p.now, p.put, p.current, p.counts = proxy.Now, proxy.Put, proxy.Table, &proxy.Counts
	p.chain = proxy
}

// Deliver puts a message from the agent in front of the thread.
//
//	router.Handle("/trunk", messages.Handler(plugs.Deliver))
func (p *Feed) Deliver(message transport.Arrived) bool {
	select {
	case p.inbox <- message:
		return true
	default:
		return false
	}
}

// contactAnswers is for how many times that others may take to answer a word of
// contact holds.
const contactAnswers = 2

// Run is the thread.
//
//	err := plugs.Run(ctx)
func (p *Feed) Run(ctx context.Context) error {
	timer := time.NewTimer(reportEvery)
	defer timer.Stop()
	for resting := false; ; {
		select {
		case <-ctx.Done():
			return nil
		case message := <-p.inbox:
			p.hear(message)
			if _, is := message.Body.(*wire.Contact); is && resting {
				// What is due goes with the answer, and this process need not wake for it.
				p.round()
				timer.Reset(restEvery + reportEvery)
			}
			message.Heard()
		case hold := <-p.holds:
			p.held(hold)
		case one := <-p.works:
			p.worked(one)
		case one := <-p.comes:
			p.coming[one.item] = one
		case ask := <-p.takes:
			p.nextID++
			p.waiting[p.nextID] = ask.back
			p.perform(p.book.Take(p.clock(), p.nextID, ask.call))
		case <-timer.C:
			p.round()
			if resting = !p.waits(); resting {
				timer.Reset(restEvery + reportEvery)
			} else {
				timer.Reset(reportEvery)
			}
		}
		if resting && p.waits() {
			resting = false
			timer.Reset(reportEvery)
		}
	}
}

// round does what is due.
func (p *Feed) round() {
	p.perform(p.book.Tick(p.clock()))
	p.report()
}

func (p *Feed) hear(message transport.Arrived) {
	switch told := message.Body.(type) {
	case *wire.Contact:
		p.chain.Contact(contactAnswers * told.AnswerMs)
		p.perform(p.book.Hear(p.clock(), message.Body))
	case *wire.TicketAsk, *wire.TicketDone:
		p.perform(p.book.Hear(p.clock(), message.Body))
	case *wire.News:
		changed := false
		for _, topic := range told.Topics {
			if p.board.Put(topic) {
				changed = p.learn(topic) || changed
			}
		}
		p.board.Fresh()
		if changed {
			p.renew()
		}
	case *wire.Subscribe:
		if kind, body := p.board.Answers(told); told.Tell {
			p.messages.Send(p.agent, kind, body)
		}
	case *wire.Waits:
		p.told.Waits, p.told.WaitsTo = map[string]int64{}, p.now()+told.ValidMs
		for _, wait := range told.Waits {
			p.told.Waits[routing.WaitKey(wait.Worker, wait.Item)] = p.now() - told.AgeMs + wait.ReadyMs
		}
		p.renew()
	case *wire.Fleet:
		p.chain.Fleet(told.Fronts)
	case *wire.HomeTold:
		p.told.Refused[told.Item] = p.now() + told.RetryMs
		p.renew()
	}
}

func (p *Feed) learn(topic wire.Topic) bool {
	body, err := wire.Unpack(topic)
	if err != nil {
		return false
	}
	switch {
	case topic.Name == "policy":
		next, faults, _ := p.form.Parse(body, topic.Step)
		if next == nil || len(faults) > 0 {
			return false
		}
		p.policy = next
		return true
	case topic.Name == "zone":
		p.zone = string(body)
		p.chain.Zone(p.zone)
		return true
	case topic.Name == "directory":
		var list wire.WorkerList
		if list.Unmarshal(body) != nil {
			return false
		}
		p.told.Workers, p.told.Rosters = list.Workers, list.Rosters
		return true
	case strings.HasPrefix(topic.Name, "homes/"):
		var room wire.WorkerNews
		if room.Unmarshal(body) != nil {
			return false
		}
		p.told.Rooms[room.Worker] = room
		return true
	}
	return false
}

// renew makes the next table. What tables keep of what they are made of is
// copied, so that no table ever changes.
func (p *Feed) renew() {
	if p.policy != nil {
		p.told.Policy = p.policy.For(p.zone)
	}
	told := routing.News{Waits: p.told.Waits, WaitsTo: p.told.WaitsTo, Policy: p.told.Policy, Workers: p.told.Workers, Rosters: p.told.Rosters, Rooms: p.told.Rooms, Refused: map[string]int64{}}
	for item, until := range p.told.Refused {
		if until > p.now() {
			told.Refused[item] = until
		} else {
			delete(p.told.Refused, item)
		}
	}
	p.put(p.current().After(told))
}
