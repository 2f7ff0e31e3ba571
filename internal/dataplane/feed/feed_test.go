package feed

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"applequay/internal/configuration"
	"applequay/internal/controlplane/idempotency"
	"applequay/internal/transport"
	"applequay/internal/transport/wire"
)

// The wishes of two lives of a proxy have other numbers, so that the agent's word
// on one of the first is none on one of the second.
func TestWishesOfTwoLives(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	seen := map[int64]bool{}
	for range 4 {
		p := New("127.0.0.1:1", transport.New(ctx, "p1", "127.0.0.1:2", "127.0.0.1:2", time.Second, transport.FrontDepth), configuration.Native)
		p.book.Hear(1, &wire.Contact{KeyMs: 60000, AnswerMs: 800, GraceMs: 6400})
		out := p.book.Take(1, 1, idempotency.Call{Key: "k", Choice: "b1@10.0.0.1:1", Open: func(string) bool { return true }})
		c.Assert(out.Sends, qt.HasLen, 1)
		op := out.Sends[0].Body.(*wire.TicketWish).Op
		c.Check(seen[op], qt.IsFalse)
		seen[op] = true
	}
}
