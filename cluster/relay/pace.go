package relay

import "time"

// Limits on the use of the network link by long updates: heartbeats and lease renewals use the same link and must not
// queue behind them.
const (
	minPacedSize = 4 << 10                // bytes; shorter updates are not paced
	linkFraction = 0.4                    // share of the link's bandwidth
	maxLag       = 100 * time.Millisecond // backlog of sent updates, at the paced rate, above which further ones are deferred
)

// pacer limits the rate of long updates, so that they leave bandwidth on the link. The zero pacer allows every update.
type pacer struct {
	bytesPerSecond float64
	busyUntil      time.Duration
}

func newPacer(linkBytesPerSecond float64) pacer {
	return pacer{bytesPerSecond: linkFraction * linkBytesPerSecond}
}

// allow reports whether an update may be sent now, and if so accounts for it.
func (p *pacer) allow(now time.Duration, size int) bool {
	if p.bytesPerSecond == 0 || size < minPacedSize {
		return true
	}
	if p.busyUntil > now+maxLag {
		return false
	}
	p.busyUntil = max(p.busyUntil, now) + time.Duration(float64(size)/p.bytesPerSecond*float64(time.Second))
	return true
}

// next returns when a deferred update may be sent.
func (p *pacer) next() time.Duration { return p.busyUntil - maxLag }
