package queue

import "time"

// comparisonStats counts what the comparisons with one peer have come to.
type comparisonStats struct {
	since      time.Duration
	partitions int
	listed     int // messages that the peer named
	sent       int // messages that it lacked
	fetched    int // messages that only it had
	bytes      int // of those
}

// countComparison counts a comparison that has ended, and logs the sums once all with the peer have, unless nothing differed.
func (c *Core) countComparison(to *peer) {
	to.stats.partitions++
	if c.isComparing(to) {
		return
	}
	t := to.stats
	to.stats = comparisonStats{}
	if t.sent == 0 && t.fetched == 0 {
		return
	}
	c.config.Log.Info("partitions compared with a member", "disk", to.disk, "epoch", c.epoch(), "partitions", t.partitions, "listed", t.listed,
		"sent", t.sent, "fetched", t.fetched, "bytes", t.bytes, "took", c.now.Steady-t.since)
}
