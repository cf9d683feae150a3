package relay

import "time"

// Bounds of what full topics may take of a link: heartbeats and leases use the same one, and must not wait behind them.
const (
	minPacedSize = 4 << 10 // bytes; shorter updates pass at once
	linkFraction = 0.4     // of the link
	maxLag       = 100 * time.Millisecond
)

// pace spreads long updates over time, so that they leave room on the link. The zero pace lets all pass.
type pace struct {
	bytesPerSecond float64
	busyUntil      time.Duration
}

func newPace(linkBytesPerSecond float64) pace {
	return pace{bytesPerSecond: linkFraction * linkBytesPerSecond}
}

// take says whether an update may be sent now, and counts it if so.
func (p *pace) take(now time.Duration, size int) bool {
	if p.bytesPerSecond == 0 || size < minPacedSize {
		return true
	}
	if p.busyUntil > now+maxLag {
		return false
	}
	p.busyUntil = max(p.busyUntil, now) + time.Duration(float64(size)/p.bytesPerSecond*float64(time.Second))
	return true
}

// next is when a deferred update may be sent.
func (p *pace) next() time.Duration { return p.busyUntil - maxLag }
