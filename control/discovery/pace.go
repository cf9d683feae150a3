package discovery

import (
	"time"

	"ravendale/cluster/wire"
)

const (
	maxInterval        = 1200 * time.Millisecond
	readsPerDrainBound = 3 // of the drain bound passes between two reads
	rateDivisor        = 2 // one part in so many of the platform's rate is used
	minRetryPause      = 250 * time.Millisecond
	maxRetryPause      = 2 * time.Second
)

// Pace decides when the list is read. It is pure.
type Pace struct {
	interval time.Duration // between the starts of reads
	gap      time.Duration // between the starts of calls
	failures int
	outages  outages
}

// NewPace follows from the bound on drains, and from how many calls a second the platform allows.
func NewPace(drain time.Duration, ratePerSecond float64) *Pace {
	p := &Pace{interval: min(maxInterval, drain/readsPerDrainBound)}
	if ratePerSecond > 0 {
		p.gap = time.Duration(float64(rateDivisor*time.Second) / ratePerSecond)
	}
	return p
}

// Gap is the time between the starts of two calls.
func (p *Pace) Gap() time.Duration { return p.gap }

// Done says when to read next after a read that began at a time and brought a list in so many pages.
func (p *Pace) Done(started time.Duration, list *wire.Workers, pages int) time.Duration {
	p.failures = 0
	interval := p.interval
	if p.outages.saw(list, started) {
		interval = min(interval, outageInterval)
	}
	return started + max(interval, time.Duration(pages)*p.gap)
}

// Failed says when to try again after a read that failed at a time.
func (p *Pace) Failed(now time.Duration) time.Duration {
	pause := min(minRetryPause<<min(p.failures, 8), maxRetryPause)
	p.failures++
	return now + max(pause, p.gap)
}
