package routing

import "sync/atomic"

// Times of a budget, in seconds: over the long one a service's retries stay
// within their share, and over the short one too, but for a single retry, which
// services of little traffic live on.
const (
	longSeconds  = 60
	shortSeconds = 10
)

// Budget is what a service's retries may spend: a share of its normal traffic
// of the last seconds. What was not spent then is gone: a share saved up would
// all be spent at once, on the day that everything breaks.
type Budget struct {
	// Each slot packs the second it counts, its normal attempts and its retries.
	slots           [longSeconds]atomic.Uint64
	Normal, Retries atomic.Int64
}

const (
	countBits = 20
	countMask = 1<<countBits - 1
	oneNormal = 1 << countBits
	oneRetry  = 1
)

// add counts in the slot of a second, which may still hold an older one.
func (b *Budget) add(second uint64, what uint64) {
	slot := &b.slots[second%longSeconds]
	for {
		old := slot.Load()
		next := old
		if old>>(2*countBits) != second {
			next = second << (2 * countBits)
		}
		if slot.CompareAndSwap(old, next+what) {
			return
		}
	}
}

// past sums up the last seconds.
func (b *Budget) past(second, seconds uint64) (normal, retries int64) {
	for at := range b.slots {
		kept := b.slots[at].Load()
		if of := kept >> (2 * countBits); kept > 0 && of <= second && of+seconds > second {
			normal += int64(kept >> countBits & countMask)
			retries += int64(kept & countMask)
		}
	}
	return normal, retries
}

// Earn counts a request that is not a retry.
//
//	budget.Earn(nowMs)
func (b *Budget) Earn(nowMs int64) {
	b.Normal.Add(1)
	b.add(uint64(nowMs/1000), oneNormal)
}

// Spend takes one retry, if the service's share of so many in a hundred has one
// left. Slack is how many more are allowed over the short time, whatever came;
// with it the share is kept to three quarters, since windows slide.
//
//	if !budget.Spend(nowMs, 20, 0) { return giveUp }
func (b *Budget) Spend(nowMs, percent, slack int64) bool {
	second := uint64(nowMs / 1000)
	b.add(second, oneRetry)
	if b.over(second, percent, slack, 0) {
		b.add(second, ^uint64(0)) // takes the one back
		return false
	}
	b.Retries.Add(1)
	return true
}

// Left tells whether one retry is left, and takes none.
//
//	if !budget.Left(nowMs, 20, 0) { return wait }
func (b *Budget) Left(nowMs, percent, slack int64) bool {
	return !b.over(uint64(nowMs/1000), percent, slack, 1)
}

func (b *Budget) over(second uint64, percent, slack, more int64) bool {
	normal, retries := b.past(second, longSeconds)
	lately, again := b.past(second, shortSeconds)
	if slack > 0 {
		return again+more > slack+lately*percent*3/400
	}
	return (retries+more)*100 > normal*percent || again+more > max(1, lately*percent/100)
}
