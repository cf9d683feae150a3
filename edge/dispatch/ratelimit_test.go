package dispatch

import (
	"fmt"
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"ravendale/cluster/catalog"
	"ravendale/cluster/wire"
	"ravendale/edge/worker"
)

// edgesIn returns edges, distributed evenly over zones.
func edgesIn(zones, count int) []wire.Edge {
	edges := make([]wire.Edge, count)
	for i := range edges {
		edges[i] = wire.Edge{ID: fmt.Sprintf("edge-%d", i), Zone: fmt.Sprintf("z%d", i%zones)}
	}
	return edges
}

// shareOf returns an edge's share of a limit that a list of edges divides.
func (limit rateLimit) shareOf(name, edge string, edges []wire.Edge) rateShare {
	core := NewCore(Config{Topology: Topology{Edge: edge, Edges: edges}, Window: limit.Window, Overshoot: limit.Overshoot})
	order := newSenderOrder(name, edge)
	order.update(core.edges.additions())
	return core.rateShare(&service{config: catalog.Service{RatePerS: limit.RatePerS}, senders: order})
}

// In any window, all edges together send no more than the limit allows, whatever the times of their messages.
func TestRateLimitHoldsInEachWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rateLimit{
			RatePerS:  rapid.Float64Range(0.5, 200).Draw(t, "rate"),
			Window:    time.Duration(rapid.Float64Range(1, 10).Draw(t, "window") * float64(time.Second)),
			Overshoot: rapid.Float64Range(1, 1.5).Draw(t, "overshoot"),
		}
		edges := edgesIn(rapid.IntRange(1, 5).Draw(t, "zones"), rapid.IntRange(1, 60).Draw(t, "edges"))
		var sends []time.Duration
		for _, edge := range edges {
			sends = append(sends, sendGreedily(t, limit, edge.ID, edges)...)
		}
		sort.Slice(sends, func(i, j int) bool { return sends[i] < sends[j] })
		start := 0
		for i, at := range sends {
			for sends[start] <= at-limit.Window {
				start++
			}
			if count := i - start + 1; float64(count) > limit.budget() {
				t.Fatalf("%d sends in the window that ends at %v, limit %.1f", count, at, limit.budget())
			}
		}
	})
}

// sendGreedily sends whenever there is a token, from a random time on, and returns the times of the sends.
func sendGreedily(t *rapid.T, limit rateLimit, edge string, edges []wire.Edge) (sends []time.Duration) {
	share := limit.shareOf("s", edge, edges)
	if share.Burst == 0 {
		return nil
	}
	b := newBucket(share, 0)
	now := time.Duration(rapid.IntRange(0, 5000).Draw(t, "start")) * ms
	for end := now + 3*limit.Window; now < end; {
		if b.take(now) {
			sends = append(sends, now)
			continue
		}
		if next := b.nextToken(now); next > now {
			now = next
		} else {
			now += ms
		}
	}
	return sends
}

func TestRateSharesUseMostOfLimit(t *testing.T) {
	limit := rateLimit{RatePerS: 39, Window: 5 * time.Second, Overshoot: 1.1}
	for _, count := range []int{1, 4, 12, 58} {
		edges := edgesIn(4, count)
		sum := 0.0
		for _, edge := range edges {
			sum += limit.shareOf("s", edge.ID, edges).Rate
		}
		assert.Greater(t, sum, 0.7*limit.RatePerS, "%d edges", count)
	}
}

func TestSmallRateLimitHasFewSenders(t *testing.T) {
	limit := rateLimit{RatePerS: 1, Window: 5 * time.Second, Overshoot: 1.1}
	edges := edgesIn(3, 50)
	senders := 0
	for _, edge := range edges {
		if limit.shareOf("s", edge.ID, edges).Burst > 0 {
			senders++
		}
	}
	assert.Equal(t, limit.senderCount(50, 3), senders)
	assert.Less(t, senders, 8)
	assert.Zero(t, limit.shareOf("s", "unlisted", edges))
}

func TestBucketStartsEmptyAfterChange(t *testing.T) {
	h := newHarness(t)
	h.advance(10 * time.Second)
	h.record(h.core.SetEdges(h.now, edgesOf("e1", "e2")))
	h.accept("/l/", "1")
	h.requireNoDelivery()
	h.advance(2 * time.Second)
	h.takeDelivery()
}

// In a Core, each attempt takes a token, also the retries after an attempt that was rejected or broken.
func TestEachAttemptTakesAToken(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		h := newHarness(t)
		limit := rateLimit{RatePerS: 4, Window: 5 * time.Second, Overshoot: 1.1}
		var sends []time.Duration
		next := 0
		outcomes := []worker.Outcome{worker.Done, worker.AtCapacity, worker.Broken, worker.Failed, worker.TimedOut, worker.Duplicate, worker.Unreachable, worker.NoConnection}
		for end := h.now + 15*time.Second; h.now < end; {
			for range rapid.IntRange(0, 4).Draw(r, "arrivals") {
				next++
				h.accept("/l/", fmt.Sprint(next))
			}
			for len(h.deliveries) > 0 {
				d := h.deliveries[0]
				h.deliveries = h.deliveries[1:]
				outcome := rapid.SampledFrom(outcomes).Draw(r, "outcome")
				if outcome != worker.Unreachable && outcome != worker.NoConnection { // these attempts did not reach the worker
					sends = append(sends, h.now)
				}
				h.finishAttempt(d, outcome)
			}
			h.advance(time.Duration(rapid.IntRange(1, 400).Draw(r, "pause")) * ms)
		}
		for i, at := range sends {
			count := 0
			for _, earlier := range sends[:i+1] {
				if earlier > at-limit.Window {
					count++
				}
			}
			if float64(count) > limit.budget() {
				r.Fatalf("%d sends in a window, limit %.1f", count, limit.budget())
			}
		}
		assert.NotEmpty(t, sends)
	})
}

// The module by itself retries a worker that is unreachable, once. The retry needs a token of its own.
func TestRetryAfterFailedConnectTakesAToken(t *testing.T) {
	h := newHarness(t)
	h.advance(10 * time.Second)
	h.accept("/l/", "1")
	first := h.takeDelivery()
	bucket := h.core.services["limited"].tokens
	bucket.tokens, bucket.asOf = -1, h.now // with the refunded token the bucket is empty
	h.finishAttempt(first, worker.Unreachable)
	h.advance(ms)
	assert.Empty(t, h.deliveries)
	h.advance(2 * time.Second)
	h.takeDelivery()
}

// Jobs whose attempts find no free connection wait with the module. Their tokens must expire, or the jobs would spend
// them in addition to the tokens that the bucket receives meanwhile.
func TestWaitingTokensExpire(t *testing.T) {
	h := newHarness(t)
	h.advance(10 * time.Second)
	limit := rateLimit{RatePerS: 4, Window: 5 * time.Second, Overshoot: 1.1}
	for i := range 200 {
		h.accept("/l/", fmt.Sprint(i))
	}
	for end := h.now + 8*time.Second; h.now < end; h.advance(20 * ms) {
		for len(h.deliveries) > 0 {
			d := h.deliveries[0]
			h.deliveries = h.deliveries[1:]
			h.finishAttempt(d, worker.NoConnection)
		}
	}
	sent := 0
	for end := h.now + limit.Window; h.now < end; h.advance(20 * ms) {
		for len(h.deliveries) > 0 {
			d := h.deliveries[0]
			h.deliveries = h.deliveries[1:]
			sent++
			h.finishAttempt(d, worker.Done)
		}
	}
	assert.LessOrEqual(t, float64(sent), limit.budget())
	assert.Greater(t, float64(sent), limit.budget()/2)
}

func TestTokenIsRefundedIfNothingWasSent(t *testing.T) {
	h := newHarness(t)
	h.advance(10 * time.Second)
	h.accept("/l/", "1")
	d := h.takeDelivery()
	s := h.core.services["limited"]
	before := s.tokens.tokens
	h.finishAttempt(d, worker.NoConnection)
	assert.Greater(t, s.tokens.tokens, before)
}

func TestRateLimitedMessagesKeepOrder(t *testing.T) {
	h := newHarness(t)
	for i := range 6 {
		h.accept("/l/", fmt.Sprint(i))
	}
	h.advance(4 * time.Second)
	for i, d := range h.deliveries {
		assert.Equal(t, fmt.Sprint(i), d.Delivery.RequestID)
	}
	assert.NotEmpty(t, h.deliveries)
}

func TestRemovedRateLimitSendsWaitingMessages(t *testing.T) {
	h := newHarness(t)
	for i := range 6 {
		h.accept("/l/", fmt.Sprint(i))
	}
	h.config.Services[2].RatePerS = 0
	h.configure()
	h.advance(100 * ms)
	assert.Len(t, h.deliveries, 6)
}

func TestEachZoneHasASender(t *testing.T) {
	for _, rate := range []float64{3, 39} {
		limit := rateLimit{RatePerS: rate, Window: 5 * time.Second, Overshoot: 1.1}
		edges := edgesIn(4, 58)
		zones := make(map[string]int)
		for _, edge := range edges {
			if share := limit.shareOf("s", edge.ID, edges); share.Burst > 0 {
				zones[edge.Zone]++
			}
		}
		assert.Len(t, zones, 4)
	}
}

// The limit is divided among fewer edges than there are, so that each sender has a token rate that keeps waits short.
func TestSendersHaveHighTokenRate(t *testing.T) {
	limit := rateLimit{RatePerS: 39, Window: 5 * time.Second, Overshoot: 1.1}
	edges := edgesIn(4, 58)
	for _, edge := range edges {
		if share := limit.shareOf("s", edge.ID, edges); share.Burst > 0 {
			assert.Greater(t, share.Rate, 3.0)
		}
	}
}

func TestAcceptsDependsOnTokenWait(t *testing.T) {
	h := newHarness(t)
	h.advance(10 * time.Second)
	assert.True(t, h.core.Accepts(h.now, "limited", 10))
	for i := range 6 {
		h.accept("/l/", fmt.Sprint(i))
	}
	assert.False(t, h.core.Accepts(h.now, "limited", 10))
	assert.True(t, h.core.Accepts(h.now, "s", 10))
	h.advance(10 * time.Second)
	assert.True(t, h.core.Accepts(h.now, "limited", 10))
	h.record(h.core.SetEdges(h.now, edgesOf("other")))
	assert.False(t, h.core.Accepts(h.now, "limited", 10), "the edge is not a sender")
	h.record(h.core.Stop(h.now))
	assert.False(t, h.core.Accepts(h.now, "s", 10))
}

// After an endpoint rejected one message for want of capacity, the edge sent nothing to it for 150 ms times the number
// of edges: for ten seconds with 69 edges.
func TestEndpointAtCapacityIsRetriedSoon(t *testing.T) {
	h := newHarness(t)
	var ids []string
	for i := range 69 {
		ids = append(ids, fmt.Sprintf("e%d", i))
	}
	h.config.Services[2].RatePerS = 300 // all edges may send
	h.configure()
	h.record(h.core.SetEdges(h.now, edgesOf(ids...)))
	h.advance(5 * time.Second)
	h.accept("/l/", "1")
	h.finishAttempt(h.takeDelivery(), worker.AtCapacity)
	h.advance(3 * time.Second)
	assert.NotEmpty(t, h.deliveries)
}
