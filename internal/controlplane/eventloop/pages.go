package eventloop

import (
	"sync/atomic"
	"time"

	"applequay/internal/controlplane/controller"
)

// A page is made when somebody asks for one and the last is older than that; the
// thread that owns the machine is given so long to make it.
const (
	pageAge  = 100 * time.Millisecond
	pageWait = 100 * time.Millisecond
)

// Pages holds the newest page for readers on other threads.
type Pages struct {
	kept atomic.Pointer[kept]
	asks chan chan struct{}
}

type kept struct {
	page controller.Page
	at   time.Time
}

// NewPages makes an empty holder.
//
//	pages := eventloop.NewPages()
func NewPages() *Pages { return &Pages{asks: make(chan chan struct{})} }

// Store puts a new page.
//
//	pages.Store(core.Page(now))
func (p *Pages) Store(page controller.Page) { p.kept.Store(&kept{page: page, at: time.Now()}) }

// Load returns a page that is new enough, or the last there was while the
// machine is busy; nil before the first.
//
//	page := pages.Load()
func (p *Pages) Load() *controller.Page {
	last := p.kept.Load()
	if last == nil || time.Since(last.at) > pageAge {
		p.ask()
		last = p.kept.Load()
	}
	if last == nil {
		return nil
	}
	return &last.page
}

func (p *Pages) ask() {
	made, ends := make(chan struct{}), time.NewTimer(pageWait)
	defer ends.Stop()
	select {
	case p.asks <- made:
		select {
		case <-made:
		case <-ends.C:
		}
	case <-ends.C:
	}
}
