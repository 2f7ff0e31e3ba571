package settings

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// Drain is the timetable of an orderly stop, counted from SIGTERM.
type Drain struct {
	// Notice is for how long new connections are taken, until all have noticed that
	// this process is unready.
	Notice time.Duration
	// Cutoff is when requests that are still in work are ended, each with an answer.
	// What is taken and what is waited for have to fit: requests are handed on until
	// Notice and have from then to Cutoff to end.
	Cutoff time.Duration
	// End is when the connections that are left are closed.
	End time.Duration
}

// answerPart is the part of a drain, its last, that is kept for answers to those
// whose requests could not be ended.
const answerPart = 16

// Drain is the timetable that the settings lead to.
//
//	drain := boot.Drain()
func (b *Boot) Drain() Drain {
	end := Ms(b.DrainMs)
	return Drain{Notice: end * time.Duration(b.NoticePercent) / 100, Cutoff: end - end/answerPart, End: end}
}

// Clients serves clients, and lets them go in order: from the end of its
// context it goes on taking new ones for a notice, with answers that say that the
// connection closes; then it takes no more and ends when no request is in work,
// or at the end of the drain. With the notice Leave is called: a request that was not
// handed on by then, or that comes later on a connection that was busy, has no time
// to end here. Shortly before the end the contexts of all requests end, so that what
// is still in work gets an answer and no connection is just closed.
type Clients struct {
	Addr       string
	Handler    http.Handler
	Head, Idle time.Duration
	HeadBytes  int
	// Most is how many connections there may be at a time; nought for any number.
	Most int64
	// IdleTold is how long a connection may be idle by the policy in force; Idle
	// where it is nought or nil.
	IdleTold func() time.Duration
	Drain    Drain
	Leave    func()
	// Log hears of each step of a drain, with the connections that are open then.
	Log     *zap.Logger
	conns   conns
	leaving atomic.Bool
}

// clientsFiles is the part of a process's descriptors that clients may take:
// requests in work take one more each, and connections to servers wait idle.
const clientsFiles = 2

// ClientsSide is the clients' side as the settings have it.
//
//	clients := settings.ClientsSide(board)
func (b *Boot) ClientsSide(handler http.Handler) *Clients {
	return &Clients{Addr: b.Clients, Handler: handler, Head: Ms(b.HeadMs), Idle: Ms(b.IdleMs), HeadBytes: int(b.HeadKb) << 10, Most: b.Files / clientsFiles, Drain: b.Drain()}
}

// lookAgain is how often a drain looks at what is still in work.
const lookAgain = 20 * time.Millisecond

// Run serves until the context ends and the drain is over.
//
//	err := clients.Run(ctx)
func (s *Clients) Run(ctx context.Context) error {
	plain, err := (&net.ListenConfig{KeepAlive: -1}).Listen(ctx, "tcp", s.Addr)
	if err != nil {
		return err
	}
	return s.serve(ctx, plain)
}

func (s *Clients) serve(ctx context.Context, plain net.Listener) error {
	s.conns.most, s.conns.idle = s.Most, s.idle
	listener := &listener{Listener: plain, conns: &s.conns}
	asked, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	server := &http.Server{Handler: http.HandlerFunc(s.handle), BaseContext: func(net.Listener) context.Context { return asked }, ReadHeaderTimeout: s.Head, IdleTimeout: -1, MaxHeaderBytes: s.HeadBytes, ConnState: s.conns.state}
	broke := make(chan error, 1)
	go func() { broke <- server.Serve(listener) }()
	select {
	case err := <-broke:
		return err
	case <-ctx.Done():
	}
	s.leaving.Store(true)
	s.note("the drain begins")
	ends := time.NewTimer(s.Drain.End)
	defer ends.Stop()
	defer time.AfterFunc(s.Drain.Cutoff, func() {
		s.note("requests that are left are ended")
		end()
	}).Stop()
	// What is closed with the listener is not heard of again: Serve has ended.
	notice := time.NewTimer(s.Drain.Notice)
	defer notice.Stop()
	<-notice.C
	s.goes()
	_ = plain.Close()
	s.note("no request is taken any more")
	<-broke
	look := time.NewTicker(lookAgain)
	defer look.Stop()
	for s.conns.quiet(time.Now()) > 0 {
		select {
		case <-ends.C:
			s.note("connections that are left are closed")
			return server.Close()
		case <-look.C:
		}
	}
	return nil
}

// idle is how long a connection may rest.
func (s *Clients) idle() time.Duration {
	if s.IdleTold != nil {
		if told := s.IdleTold(); told > 0 {
			return told
		}
	}
	return s.Idle
}

// note logs a step of a drain.
func (s *Clients) note(step string) {
	if s.Log != nil {
		s.Log.Info(step, zap.Int64("connections", s.conns.count.Load()))
	}
}

func (s *Clients) goes() {
	if s.Leave != nil {
		s.Leave()
	}
}

func (s *Clients) handle(w http.ResponseWriter, r *http.Request) {
	if s.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	s.Handler.ServeHTTP(w, r)
}
