package explorer

import (
	"fmt"
	"slices"

	"applequay/internal/transport/wire"
)

// logKey names one log of a partition: each fence has one of its own.
type logKey struct{ partition, fence int64 }

// logs is what was seen of partitions' logs and of the orders that came of them.
type logs struct {
	// writers are who wrote each log, sealed are those that were ended for a
	// hand-over, newest is the highest fence of each partition with a turn.
	writers map[logKey]string
	sealed  map[logKey]bool
	newest  map[int64]int64
	// taken are the positions that durable logs hold, of each sender and its fence.
	taken map[logKey]map[sender]int64
	// orders are the operations that went to workers under each number, last is who
	// ordered a worker last and when.
	orders map[orderKey]string
	last   map[string]lastOrder
	// loads are the moments at which loads that began end.
	loads []int64
	// Breaches found, empty if none.
	owner, messages, orderNumbers, turnsApart, permits string
}

type sender struct {
	name  string
	fence int64
}

type orderKey struct {
	worker     string
	fence, seq int64
}

type lastOrder struct {
	fence, at int64
	by        string
}

func newLogs() logs {
	return logs{writers: map[logKey]string{}, sealed: map[logKey]bool{}, newest: map[int64]int64{}, taken: map[logKey]map[sender]int64{}, orders: map[orderKey]string{}, last: map[string]lastOrder{}}
}

// say keeps the first breach of an invariant.
func say(breach *string, format string, args ...any) {
	if *breach == "" {
		*breach = fmt.Sprintf(format, args...)
	}
}

// wrote looks at a record as it is written, before it lasts.
func (l *logs) wrote(m *machine, write wire.Write) {
	body, err := wire.Decode(write.Kind, write.Body)
	if err != nil {
		return
	}
	switch record := body.(type) {
	case *wire.AdoptRecord:
		l.turn(m, logKey{record.Partition, record.Fence})
		// Who goes on from a sealed state has it from a log that is over.
		l.sealed[logKey{record.Partition, record.From}] = true
	case *wire.Event:
		key := logKey{record.Partition, record.Fence}
		l.turn(m, key)
		l.newest[record.Partition] = max(l.newest[record.Partition], record.Fence)
		l.sent(m, key, record)
	}
}

// turn notes that a machine writes a log.
func (l *logs) turn(m *machine, key logKey) {
	switch by, known := l.writers[key]; {
	case known && by != m.id:
		say(&l.owner, "%s and %s both write partition %d under fence %d", by, m.id, key.partition, key.fence)
	case l.sealed[key]:
		say(&l.owner, "%s writes partition %d under fence %d, which is sealed", m.id, key.partition, key.fence)
	case key.fence < l.newest[key.partition]:
		say(&l.owner, "%s writes partition %d under fence %d after turns under %d", m.id, key.partition, key.fence, l.newest[key.partition])
	}
	l.writers[key] = m.id
}

// sent looks at an event by which a partition forgets messages that it sent: they
// must last in the receiver's log.
func (l *logs) sent(m *machine, key logKey, record *wire.Event) {
	event, err := wire.Decode(wire.Kind(record.Kind), record.Body)
	told, ok := event.(*wire.MessagesSent)
	if err != nil || !ok {
		return
	}
	var to int64
	if _, err := fmt.Sscanf(told.Outbox, "p%d", &to); err != nil {
		return
	}
	from := sender{fmt.Sprintf("p%d", key.partition), key.fence}
	if last := l.taken[logKey{to, told.Fence}][from]; last < told.Pos {
		say(&l.messages, "%s forgets message %d of partition %d to %d, whose log under fence %d holds %d", m.id, told.Pos, key.partition, to, told.Fence, last)
	}
}

// lasts looks at a record as it lasts: a log takes the messages of a sender one
// after the other, and each once.
func (l *logs) lasts(m *machine, write wire.Write) {
	if write.Kind == wire.KindSealRecord {
		var seal wire.SealRecord
		if seal.Unmarshal(write.Body) == nil {
			l.sealed[logKey{seal.Partition, seal.Fence}] = true
		}
	}
	var record wire.Event
	if write.Kind != wire.KindEvent || record.Unmarshal(write.Body) != nil {
		return
	}
	event, err := wire.Decode(wire.Kind(record.Kind), record.Body)
	told, ok := event.(*wire.MessagesReceived)
	if err != nil || !ok || told.Pos == 0 {
		return
	}
	key, from := logKey{record.Partition, record.Fence}, sender{told.Sender, told.Fence}
	if l.taken[key] == nil {
		l.taken[key] = map[sender]int64{}
	}
	if last := l.taken[key][from]; told.Pos != last+1 {
		say(&l.messages, "%s takes message %d of %s under fence %d into partition %d after %d", m.id, told.Pos, told.Sender, told.Fence, record.Partition, last)
	}
	l.taken[key][from] = told.Pos
}

// ordered looks at an order as it comes to a worker that heeds its fence.
func (f *facts) ordered(w *World, sent sentOrder) {
	l, order := &f.logs, sent.body
	key, what := orderKey{order.Worker, order.Fence, order.Seq}, order.Op+" "+order.Item
	if old, known := l.orders[key]; known && old != what {
		say(&l.orderNumbers, "order %d of fence %d to %s is %s and %s", order.Seq, order.Fence, order.Worker, old, what)
	}
	l.orders[key] = what
	last := l.last[order.Worker]
	if last.by != "" && last.fence != order.Fence && w.now-last.at < w.model.leaseMs()-tickMs {
		say(&l.turnsApart, "%s is ordered by %s under fence %d only %d ms after %s under %d", order.Worker, sent.from.id, order.Fence, w.now-last.at, last.by, last.fence)
	}
	l.last[order.Worker] = lastOrder{fence: order.Fence, at: w.now, by: sent.from.id}
}

// loadBegins looks at a load as it begins: it has a turn of the store until it ends.
func (f *facts) loadBegins(now, ends int64) {
	l := &f.logs
	l.loads = append(slices.DeleteFunc(l.loads, func(end int64) bool { return end <= now }), ends)
	if len(l.loads) > storeTurns {
		say(&l.permits, "%d loads at %d with %d turns", len(l.loads), now, storeTurns)
	}
}

// oneLogPerPartition: each log of a partition has one writer, who writes it
// neither after it was sealed nor after turns under a higher fence.
func oneLogPerPartition(w *World) string { return w.facts.logs.owner }

// messagesAreTakenOnce: a log takes a sender's messages one after the other, and
// who sent them forgets them only when they last there.
func messagesAreTakenOnce(w *World) string { return w.facts.logs.messages }

// anOrderNumberNamesOneOrder: under one fence a worker's orders have a number each.
func anOrderNumberNamesOneOrder(w *World) string { return w.facts.logs.orderNumbers }

// turnsAreALeaseApart: a worker is ordered by two owners no closer than a lease.
func turnsAreALeaseApart(w *World) string { return w.facts.logs.turnsApart }

// permitsAreNotExceeded: no more loads run at a time than the store has turns.
func permitsAreNotExceeded(w *World) string { return w.facts.logs.permits }
