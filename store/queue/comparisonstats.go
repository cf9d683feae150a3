package queue

import "time"

// comparisonStats counts the results of the comparisons with one peer.
type comparisonStats struct {
	since      time.Duration // start of the first comparison
	partitions int
	listed     int // messages in the peer's lists
	sent       int // messages sent to the peer because it lacked them
	fetched    int // messages fetched because only the peer had them
	bytes      int // size of all sent and fetched records
}

// countComparison counts a finished comparison. Once all comparisons with the peer are finished, it logs the totals,
// unless no message was transferred.
func (c *Core) countComparison(to *peer) {
	to.stats.partitions++
	if c.isComparing(to) {
		return
	}
	stats := to.stats
	to.stats = comparisonStats{}
	if stats.sent == 0 && stats.fetched == 0 {
		return
	}
	c.config.Log.Info("finished comparing partitions with a member", "disk", to.disk, "epoch", c.epoch(), "partitions", stats.partitions, "listed", stats.listed,
		"sent", stats.sent, "fetched", stats.fetched, "bytes", stats.bytes, "took", c.now.Steady-stats.since)
}
