package dispatch

import (
	"math"
	"time"
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

// share returns the share of the edge at a position in the order of senders (see senderOrder) of a number of edges in so many zones.
// Edges that list the same others get shares that sum up to less than the bound.
func (c rateLimit) share(position, edges, zones int) rateShare {
	count := c.senders(edges, zones)
	if position >= count {
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
