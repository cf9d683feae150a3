package dispatch

import (
	"time"
)

// bucket is an edge's token bucket for a service. It starts empty, and a changed share gets a new bucket.
type bucket struct {
	share  rateShare
	tokens float64
	asOf   time.Duration // when tokens was last updated
}

func newBucket(share rateShare, now time.Duration) *bucket { return &bucket{share: share, asOf: now} }

// fill adds the tokens that have accrued since the last call.
func (b *bucket) fill(now time.Duration) {
	b.tokens = min(b.share.Burst, b.tokens+b.share.Rate*(now-b.asOf).Seconds())
	b.asOf = now
}

// oneToken is the amount that counts as a whole token: rounding may leave a sum of fractions slightly below 1.
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

// nextToken returns when a token will be available.
func (b *bucket) nextToken(now time.Duration) time.Duration {
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
