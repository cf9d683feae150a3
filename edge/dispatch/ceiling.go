package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"ravendale/cluster/wire"
)

// The parts of a ceiling. A bound on what comes in any window allows so many arrivals besides the rate.
const (
	boundExtra    = 5    // arrivals that the bound allows in a window besides the rate
	spared        = 2    // of them left for sends that are held up and come together
	usedPart      = 0.93 // of the rest, for clocks and links that are not even
	burstPart     = 0.5  // of the window's budget that bursts may take
	largeBurst    = 2    // where edges are few
	fewestSenders = 2
	quickRate     = 4 // tokens a second: no more edges send than can have so many each
	fewParts      = 8 // edges are few while their large bursts are under this part of the budget
)

// Ceiling bounds what all edges together send to a service in any window.
type Ceiling struct {
	RatePerS  float64
	Window    time.Duration
	Overshoot float64 // factor on rate x window
}

// Share is one edge's part of a ceiling: a token bucket. A zero Share sends nothing.
type Share struct {
	Rate  float64 // tokens a second
	Burst float64
}

// budget is how many arrivals the bound allows in a window.
func (c Ceiling) budget() float64 {
	return c.RatePerS*c.Window.Seconds()*c.Overshoot + boundExtra
}

// senders is how many of a number of edges may send. Few with a quick supply of tokens keep messages waiting less than many
// with a slow one each, but no zone should be without, and one that goes away should not be the only one.
func (c Ceiling) senders(edges, zones int) int {
	room := int((c.budget() - spared) * burstPart)
	wanted := max(int(math.Ceil(c.RatePerS*c.Overshoot/quickRate)), zones, fewestSenders)
	return max(1, min(edges, wanted, room))
}

// Divide returns an edge's share among edges for a service. Edges that list the same others get shares that sum up to
// less than the bound; where not all may send, the first of each zone by hash of service and edge do, then the second.
func (c Ceiling) Divide(service, edge string, edges []wire.Edge) Share {
	count := c.senders(len(edges), countZones(edges))
	if !slices.Contains(chosen(service, edges, count), edge) {
		return Share{}
	}
	burst := 1.0
	if largeBurst*float64(count) <= c.budget()/fewParts {
		burst = largeBurst
	}
	spare := c.budget() - float64(count)*burst - spared
	rate := usedPart * spare / (c.Window.Seconds() * float64(count))
	return Share{Rate: max(0, min(rate, c.RatePerS)), Burst: burst}
}

func countZones(edges []wire.Edge) int {
	zones := make(map[string]bool)
	for i := range edges {
		zones[edges[i].Zone] = true
	}
	return len(zones)
}

type candidate struct {
	id   string
	zone string
	hash uint64
	turn int // its place in its zone
}

// chosen returns the IDs of count of the edges.
func chosen(service string, edges []wire.Edge, count int) []string {
	ranked := make([]candidate, len(edges))
	for i := range edges {
		ranked[i] = candidate{id: edges[i].ID, zone: edges[i].Zone, hash: xxhash.Sum64String(service + "\x00" + edges[i].ID)}
	}
	slices.SortFunc(ranked, byHash)
	turns := make(map[string]int)
	for i := range ranked {
		ranked[i].turn = turns[ranked[i].zone]
		turns[ranked[i].zone]++
	}
	slices.SortStableFunc(ranked, func(a, b candidate) int { return cmp.Compare(a.turn, b.turn) })
	var ids []string
	for i := range min(count, len(ranked)) {
		ids = append(ids, ranked[i].id)
	}
	return ids
}

func byHash(a, b candidate) int { return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.id, b.id)) }

// bucket holds an edge's tokens for a service. It begins empty, and after each change of the share.
type bucket struct {
	share  Share
	tokens float64
	filled time.Duration
}

func newBucket(share Share, now time.Duration) *bucket { return &bucket{share: share, filled: now} }

func (b *bucket) fill(now time.Duration) {
	b.tokens = min(b.share.Burst, b.tokens+b.share.Rate*(now-b.filled).Seconds())
	b.filled = now
}

// full is how much of a token is enough: sums of fractions may miss one by a little.
const full = 1 - 1e-9

// take takes a token if there is one.
func (b *bucket) take(now time.Duration) bool {
	b.fill(now)
	if b.tokens < full {
		return false
	}
	b.tokens--
	return true
}

// next is when there is a token.
func (b *bucket) next(now time.Duration) time.Duration {
	b.fill(now)
	if b.tokens >= full {
		return now
	}
	if b.share.Rate <= 0 {
		return now + forever
	}
	return now + time.Duration((1-b.tokens)/b.share.Rate*float64(time.Second)) + time.Microsecond
}

// refund gives a token back that was not used.
func (b *bucket) refund() { b.tokens = min(b.share.Burst, b.tokens+1) }
