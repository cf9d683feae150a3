package discovery

import (
	"time"

	"ravendale/cluster/wire"
)

const (
	maxInterval        = 1200 * time.Millisecond
	readsPerDrainBound = 3 // reads within one drain bound
	rateDivisor        = 2 // only 1/rateDivisor of the call rate that the platform allows is used
	minRetryPause      = 250 * time.Millisecond
	maxRetryPause      = 2 * time.Second
)

// Pace decides when the list is read next. It has no side effects and reads no clock: callers pass the time in.
type Pace struct {
	interval time.Duration // between the starts of reads
	gap      time.Duration // between the starts of calls
	failures int
	outages  outages
}

// NewPace derives the intervals from the drain bound and from the number of calls per second that the platform allows.
func NewPace(drainBound time.Duration, ratePerSecond float64) *Pace {
	p := &Pace{interval: min(maxInterval, drainBound/readsPerDrainBound)}
	if ratePerSecond > 0 {
		p.gap = time.Duration(float64(rateDivisor*time.Second) / ratePerSecond)
	}
	return p
}

// Gap returns the minimum time between the starts of two calls.
func (p *Pace) Gap() time.Duration { return p.gap }

// Done returns when to read next, after a successful read that began at started and returned list in the given number
// of pages.
func (p *Pace) Done(started time.Duration, list *wire.Workers, pages int) time.Duration {
	p.failures = 0
	interval := p.interval
	if p.outages.observe(list, started) {
		interval = min(interval, outageInterval)
	}
	return started + max(interval, time.Duration(pages)*p.gap)
}

// Failed returns when to retry after a read that failed at the given time.
func (p *Pace) Failed(now time.Duration) time.Duration {
	pause := min(minRetryPause<<min(p.failures, 8), maxRetryPause)
	p.failures++
	return now + max(pause, p.gap)
}
