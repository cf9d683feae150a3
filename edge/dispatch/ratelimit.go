package dispatch

import (
	"math"
	"time"
)

// Parameters of a rate limit. The limit bounds the arrivals at a service in any window: by the rate, plus budgetSlack.
const (
	budgetSlack       = 5    // arrivals that the limit allows in a window in addition to the rate
	reservedArrivals  = 2    // arrivals of the budget reserved for sends that are delayed and arrive together
	rateFraction      = 0.93 // part of the remaining budget that is used, as clocks and network delays vary
	burstFraction     = 0.5  // part of a window's budget that bursts may use
	largeBurst        = 2    // tokens in the burst of each sender, if there are few senders
	minSenders        = 2    // if there are that many edges, and the budget allows it
	minSenderRate     = 4    // target of tokens a second for each sender; limits the senders beyond minSenders and one for each zone
	largeBurstDivisor = 8    // senders are few if their large bursts sum to at most one part in so many of the budget
)

// rateLimit bounds how many attempts all edges together send to a service in any window (ratePerS of a service).
type rateLimit struct {
	RatePerS  float64
	Window    time.Duration
	Overshoot float64 // factor on rate x window
}

// rateShare is one edge's share of a rate limit: the parameters of its token bucket. An edge with a zero rateShare sends
// nothing.
type rateShare struct {
	Rate  float64 // tokens a second
	Burst float64 // tokens that the bucket holds at most
}

// budget returns how many arrivals the limit allows in a window.
func (l rateLimit) budget() float64 {
	return l.RatePerS*l.Window.Seconds()*l.Overshoot + budgetSlack
}

// senderCount returns how many of a number of edges may send. Messages wait less at a few edges with a high token rate
// than at many edges with a low one. But each zone should have a sender, and a sender that leaves should not be the
// only one.
func (l rateLimit) senderCount(edges, zones int) int {
	maxSenders := int((l.budget() - reservedArrivals) * burstFraction)
	target := max(int(math.Ceil(l.RatePerS*l.Overshoot/minSenderRate)), zones, minSenders)
	return max(1, min(edges, target, maxSenders))
}

// share returns the share of the edge at a position in the order of senders (see senderOrder), for a number of edges and
// zones. The shares of edges that have the same edge list sum to less than the limit.
func (l rateLimit) share(position, edges, zones int) rateShare {
	senders := l.senderCount(edges, zones)
	if position >= senders {
		return rateShare{}
	}
	burst := 1.0
	if largeBurst*float64(senders) <= l.budget()/largeBurstDivisor {
		burst = largeBurst
	}
	refillBudget := l.budget() - float64(senders)*burst - reservedArrivals
	rate := rateFraction * refillBudget / (l.Window.Seconds() * float64(senders))
	return rateShare{Rate: max(0, min(rate, l.RatePerS)), Burst: burst}
}
