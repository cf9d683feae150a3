package dispatch

import (
	"time"
)

// bucket is an edge's token bucket for a service. It starts empty, and again after each change of the share.
type bucket struct {
	share  rateShare
	tokens float64
	filled time.Duration
}

func newBucket(share rateShare, now time.Duration) *bucket { return &bucket{share: share, filled: now} }

// fill adds the tokens that came since the last call.
func (b *bucket) fill(now time.Duration) {
	b.tokens = min(b.share.Burst, b.tokens+b.share.Rate*(now-b.filled).Seconds())
	b.filled = now
}

// oneToken is how much of a token suffices: sums of fractions may miss one by a little.
const oneToken = 1 - 1e-9

// take takes a token, and reports whether there was one.
func (b *bucket) take(now time.Duration) bool {
	b.fill(now)
	if b.tokens < oneToken {
		return false
	}
	b.tokens--
	return true
}

// next returns when there is a token.
func (b *bucket) next(now time.Duration) time.Duration {
	b.fill(now)
	if b.tokens >= oneToken {
		return now
	}
	if b.share.Rate <= 0 {
		return now + forever
	}
	return now + time.Duration((1-b.tokens)/b.share.Rate*float64(time.Second)) + time.Microsecond
}

// refund returns a token that was not used.
func (b *bucket) refund() { b.tokens = min(b.share.Burst, b.tokens+1) }
