package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"ravendale/cluster/wire"
)

// The shares of a rate limit. A bound on what comes in any window allows so many arrivals besides the rate.
const (
	budgetSlack       = 5    // arrivals that the bound allows in a window besides the rate
	reservedArrivals  = 2    // of them kept for sends that are delayed and arrive together
	rateFraction      = 0.93 // of the rest, for clocks and links that are not even
	burstFraction     = 0.5  // of the window's budget that bursts may take
	largeBurst        = 2    // where edges are few
	minSenders        = 2
	minSenderRate     = 4 // tokens a second: no more edges send than can have so many each
	largeBurstDivisor = 8 // edges are few while their large bursts are under this fraction of the budget
)

// rateLimit bounds what all edges together send to a service in any window (ratePerS of a service).
type rateLimit struct {
	RatePerS  float64
	Window    time.Duration
	Overshoot float64 // factor on rate x window
}

// rateShare is one edge's share of a rate limit: a token bucket. A zero Share sends nothing.
type rateShare struct {
	Rate  float64 // tokens a second
	Burst float64
}

// budget returns how many arrivals the bound allows in a window.
func (c rateLimit) budget() float64 {
	return c.RatePerS*c.Window.Seconds()*c.Overshoot + budgetSlack
}

// senders returns how many of a number of edges may send. Few with a quick supply of tokens keep messages waiting less than many
// with a slow one each, but no zone should be without, and one that leaves should not be the only one.
func (c rateLimit) senders(edges, zones int) int {
	maxSenders := int((c.budget() - reservedArrivals) * burstFraction)
	target := max(int(math.Ceil(c.RatePerS*c.Overshoot/minSenderRate)), zones, minSenders)
	return max(1, min(edges, target, maxSenders))
}

// divide returns an edge's share among edges for a service. Edges that list the same others get shares that sum up to
// less than the bound; where not all may send, the first of each zone by hash of service and edge do, then the second.
func (c rateLimit) divide(service, edge string, edges []wire.Edge) rateShare {
	count := c.senders(len(edges), countZones(edges))
	if !slices.Contains(selectSenders(service, edges, count), edge) {
		return rateShare{}
	}
	burst := 1.0
	if largeBurst*float64(count) <= c.budget()/largeBurstDivisor {
		burst = largeBurst
	}
	spare := c.budget() - float64(count)*burst - reservedArrivals
	rate := rateFraction * spare / (c.Window.Seconds() * float64(count))
	return rateShare{Rate: max(0, min(rate, c.RatePerS)), Burst: burst}
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
	rank int // among the edges of its zone
}

// selectSenders returns the IDs of count of the edges.
func selectSenders(service string, edges []wire.Edge, count int) []string {
	ranked := make([]candidate, len(edges))
	for i := range edges {
		ranked[i] = candidate{id: edges[i].ID, zone: edges[i].Zone, hash: xxhash.Sum64String(service + "\x00" + edges[i].ID)}
	}
	slices.SortFunc(ranked, byHash)
	counts := make(map[string]int)
	for i := range ranked {
		ranked[i].rank = counts[ranked[i].zone]
		counts[ranked[i].zone]++
	}
	slices.SortStableFunc(ranked, func(a, b candidate) int { return cmp.Compare(a.rank, b.rank) })
	var ids []string
	for i := range min(count, len(ranked)) {
		ids = append(ids, ranked[i].id)
	}
	return ids
}

func byHash(a, b candidate) int { return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.id, b.id)) }
