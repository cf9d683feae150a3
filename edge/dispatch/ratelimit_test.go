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

// edgesIn lists edges, spread over zones.
func edgesIn(zones, count int) []wire.Edge {
	edges := make([]wire.Edge, count)
	for i := range edges {
		edges[i] = wire.Edge{ID: fmt.Sprintf("edge-%d", i), Zone: fmt.Sprintf("z%d", i%zones)}
	}
	return edges
}

// divide returns an edge's share of a limit among edges.
func (c rateLimit) divide(name, edge string, edges []wire.Edge) rateShare {
	core := NewCore(Config{Topology: Topology{Edge: edge, Edges: edges}, Window: c.Window, Overshoot: c.Overshoot})
	order := newSenderOrder(name, edge)
	order.update(core.edges.all())
	return core.rateShare(&service{config: catalog.Service{RatePerS: c.RatePerS}, senders: order})
}

// Whatever the edges are sent and whenever, no window sees more than the bound.
func TestRateLimitHoldsInEachWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := rateLimit{
			RatePerS:  rapid.Float64Range(0.5, 200).Draw(t, "rate"),
			Window:    time.Duration(rapid.Float64Range(1, 10).Draw(t, "window") * float64(time.Second)),
			Overshoot: rapid.Float64Range(1, 1.5).Draw(t, "overshoot"),
		}
		edges := edgesIn(rapid.IntRange(1, 5).Draw(t, "zones"), rapid.IntRange(1, 60).Draw(t, "edges"))
		var sends []time.Duration
		for _, edge := range edges {
			sends = append(sends, greedy(t, c, edge.ID, edges)...)
		}
		sort.Slice(sends, func(i, j int) bool { return sends[i] < sends[j] })
		first := 0
		for i, at := range sends {
			for sends[first] <= at-c.Window {
				first++
			}
			if count := i - first + 1; float64(count) > c.budget() {
				t.Fatalf("%d sends in the window that ends at %v, of %.1f", count, at, c.budget())
			}
		}
	})
}

// greedy sends whenever there is a token, from a drawn time on, with pauses.
func greedy(t *rapid.T, c rateLimit, edge string, edges []wire.Edge) (sends []time.Duration) {
	share := c.divide("s", edge, edges)
	if share.Burst == 0 {
		return nil
	}
	b := newBucket(share, 0)
	now := time.Duration(rapid.IntRange(0, 5000).Draw(t, "start")) * ms
	for end := now + 3*c.Window; now < end; {
		if b.take(now) {
			sends = append(sends, now)
			continue
		}
		if next := b.next(now); next > now {
			now = next
		} else {
			now += ms
		}
	}
	return sends
}

func TestRateLimitIsUsed(t *testing.T) {
	c := rateLimit{RatePerS: 39, Window: 5 * time.Second, Overshoot: 1.1}
	for _, count := range []int{1, 4, 12, 58} {
		edges := edgesIn(4, count)
		sum := 0.0
		for _, edge := range edges {
			sum += c.divide("s", edge.ID, edges).Rate
		}
		assert.Greater(t, sum, 0.7*c.RatePerS, "%d edges", count)
	}
}

func TestSmallRateLimitGoesToAFewEdges(t *testing.T) {
	c := rateLimit{RatePerS: 1, Window: 5 * time.Second, Overshoot: 1.1}
	edges := edgesIn(3, 50)
	senders := 0
	for _, edge := range edges {
		if c.divide("s", edge.ID, edges).Burst > 0 {
			senders++
		}
	}
	assert.Equal(t, c.senders(50, 3), senders)
	assert.Less(t, senders, 8)
	assert.Zero(t, c.divide("s", "stranger", edges))
}

func TestBucketBeginsEmptyAfterAChange(t *testing.T) {
	w := newWorld(t)
	w.pass(10 * time.Second)
	w.apply(w.core.SetEdges(w.now, edgesOf("e1", "e2")))
	w.accept("/l/", "1")
	w.sentNothing()
	w.pass(2 * time.Second)
	w.sent()
}

// Through the core: each attempt takes a token, those that follow one that was rejected or broken as well.
func TestEachAttemptTakesAToken(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		w := newWorld(t)
		limit := rateLimit{RatePerS: 4, Window: 5 * time.Second, Overshoot: 1.1}
		var sends []time.Duration
		next := 0
		outcomes := []worker.Outcome{worker.Done, worker.AtCapacity, worker.Broken, worker.Failed, worker.TimedOut, worker.Duplicate, worker.Unreachable, worker.NoConnection}
		for end := w.now + 15*time.Second; w.now < end; {
			for range rapid.IntRange(0, 4).Draw(r, "arrivals") {
				next++
				w.accept("/l/", fmt.Sprint(next))
			}
			for len(w.deliveries) > 0 {
				d := w.deliveries[0]
				w.deliveries = w.deliveries[1:]
				outcome := rapid.SampledFrom(outcomes).Draw(r, "outcome")
				if outcome != worker.Unreachable && outcome != worker.NoConnection { // those never came to the worker
					sends = append(sends, w.now)
				}
				w.end(d, outcome)
			}
			w.pass(time.Duration(rapid.IntRange(1, 400).Draw(r, "pause")) * ms)
		}
		for i, at := range sends {
			count := 0
			for _, earlier := range sends[:i+1] {
				if earlier > at-limit.Window {
					count++
				}
			}
			if float64(count) > limit.budget() {
				r.Fatalf("%d sends in a window, of %.1f", count, limit.budget())
			}
		}
		assert.NotEmpty(t, sends)
	})
}

// The module retries a worker that can't be reached once by itself: that takes a token of its own.
func TestWhatFollowsAFailedConnectTakesAToken(t *testing.T) {
	w := newWorld(t)
	w.pass(10 * time.Second)
	w.accept("/l/", "1")
	first := w.sent()
	bucket := w.core.services["limited"].tokens
	bucket.tokens, bucket.filled = -1, w.now // the one that is refunded is the last for now
	w.end(first, worker.Unreachable)
	w.pass(ms)
	assert.Empty(t, w.deliveries)
	w.pass(2 * time.Second)
	w.sent()
}

// Jobs whose attempts find no connection wait with the module: their tokens must not pile up there beside those that come.
func TestTokensThatWaitAreNotSpentTogether(t *testing.T) {
	w := newWorld(t)
	w.pass(10 * time.Second)
	limit := rateLimit{RatePerS: 4, Window: 5 * time.Second, Overshoot: 1.1}
	for i := range 200 {
		w.accept("/l/", fmt.Sprint(i))
	}
	for end := w.now + 8*time.Second; w.now < end; w.pass(20 * ms) {
		for len(w.deliveries) > 0 {
			d := w.deliveries[0]
			w.deliveries = w.deliveries[1:]
			w.end(d, worker.NoConnection)
		}
	}
	sent := 0
	for end := w.now + limit.Window; w.now < end; w.pass(20 * ms) {
		for len(w.deliveries) > 0 {
			d := w.deliveries[0]
			w.deliveries = w.deliveries[1:]
			sent++
			w.end(d, worker.Done)
		}
	}
	assert.LessOrEqual(t, float64(sent), limit.budget())
	assert.Greater(t, float64(sent), limit.budget()/2)
}

func TestTokenIsKeptWhereNothingWasSent(t *testing.T) {
	w := newWorld(t)
	w.pass(10 * time.Second)
	w.accept("/l/", "1")
	d := w.sent()
	s := w.core.services["limited"]
	before := s.tokens.tokens
	w.end(d, worker.NoConnection)
	assert.Greater(t, s.tokens.tokens, before)
}

func TestMessagesWaitInOrderForTokens(t *testing.T) {
	w := newWorld(t)
	for i := range 6 {
		w.accept("/l/", fmt.Sprint(i))
	}
	w.pass(4 * time.Second)
	for i, d := range w.deliveries {
		assert.Equal(t, fmt.Sprint(i), d.Delivery.RequestID)
	}
	assert.NotEmpty(t, w.deliveries)
}

func TestRateLimitThatIsLiftedLetsAllGo(t *testing.T) {
	w := newWorld(t)
	for i := range 6 {
		w.accept("/l/", fmt.Sprint(i))
	}
	w.config.Services[2].RatePerS = 0
	w.configure()
	w.pass(100 * ms)
	assert.Len(t, w.deliveries, 6)
}

func TestEachZoneHasASender(t *testing.T) {
	for _, rate := range []float64{3, 39} {
		c := rateLimit{RatePerS: rate, Window: 5 * time.Second, Overshoot: 1.1}
		edges := edgesIn(4, 58)
		zones := make(map[string]int)
		for _, edge := range edges {
			if share := c.divide("s", edge.ID, edges); share.Burst > 0 {
				zones[edge.Zone]++
			}
		}
		assert.Len(t, zones, 4)
	}
}

// Where many edges could have a trickle each, fewer have a supply that keeps nobody waiting for long.
func TestSendersHaveAQuickSupply(t *testing.T) {
	c := rateLimit{RatePerS: 39, Window: 5 * time.Second, Overshoot: 1.1}
	edges := edgesIn(4, 58)
	for _, edge := range edges {
		if share := c.divide("s", edge.ID, edges); share.Burst > 0 {
			assert.Greater(t, share.Rate, 3.0)
		}
	}
}

func TestLongTokenWaitsSendNewMessagesToOthers(t *testing.T) {
	w := newWorld(t)
	w.pass(10 * time.Second)
	assert.True(t, w.core.Accepts(w.now, "limited", 10))
	for i := range 6 {
		w.accept("/l/", fmt.Sprint(i))
	}
	assert.False(t, w.core.Accepts(w.now, "limited", 10))
	assert.True(t, w.core.Accepts(w.now, "s", 10))
	w.pass(10 * time.Second)
	assert.True(t, w.core.Accepts(w.now, "limited", 10))
	w.apply(w.core.SetEdges(w.now, edgesOf("other")))
	assert.False(t, w.core.Accepts(w.now, "limited", 10), "not a sender")
	w.apply(w.core.Stop(w.now))
	assert.False(t, w.core.Accepts(w.now, "s", 10))
}

// An endpoint that refused one message was left alone by the edge for as long as all edges together took 150 ms each: ten seconds with 69.
func TestAnEndpointThatWasBusyIsSentToAgainSoon(t *testing.T) {
	w := newWorld(t)
	var edges []string
	for i := range 69 {
		edges = append(edges, fmt.Sprintf("e%d", i))
	}
	w.config.Services[2].RatePerS = 300 // all edges may send
	w.configure()
	w.apply(w.core.SetEdges(w.now, edgesOf(edges...)))
	w.pass(5 * time.Second)
	w.accept("/l/", "1")
	w.end(w.sent(), worker.AtCapacity)
	w.pass(3 * time.Second)
	assert.NotEmpty(t, w.deliveries)
}
