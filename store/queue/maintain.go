package queue

import (
	"sort"
	"time"

	"ravendale/cluster/wire"
	"ravendale/store/journal"
)

// maintain does the periodic work that is due: it removes finished messages after their retention, reclaims disk space,
// and compares some partitions with their members.
func (c *Core) maintain() {
	if c.now.Steady >= c.schedule.maintenance {
		c.schedule.maintenance = c.now.Steady + maintenanceInterval
		if waiting := len(c.awaitingConfig); waiting > 0 {
			c.config.Log.Warn("messages wait for an edge with a newer configuration", "messages", waiting)
			c.retryAwaitingConfig() // their retention may be over
		}
		c.wipeDue()
		c.expireFinished()
		c.reclaimSegments()
	}
	if c.now.Steady >= c.schedule.scrub {
		c.schedule.scrub = c.now.Steady + scrubInterval
		c.scrub()
	}
}

// expireFinished removes messages that are finished at all members and whose retention is over, in the order of their
// outcomes.
func (c *Core) expireFinished() {
	for _, p := range c.partitions {
		if p == nil || !p.primary || !p.ready {
			continue
		}
		n := 0
		for n < len(p.finished) && p.finished[n].delivery == nil && c.isExpired(p.finished[n]) {
			n++
		}
		if n > 0 {
			c.trimFinished(p, p.finished[n-1].sequence)
		}
	}
}

func (c *Core) isExpired(e *entry) bool {
	return c.seconds() > e.finishedAt+uint32(c.config.FinishedRetention.Seconds())
}

// trimFinished removes all finished messages up to a sequence number.
func (c *Core) trimFinished(p *partition, horizon uint64) {
	if horizon <= p.horizon {
		return
	}
	p.horizon = horizon
	n := sort.Search(len(p.finished), func(i int) bool { return p.finished[i].sequence > horizon })
	expired := p.finished[:n]
	p.finished = append([]*entry(nil), p.finished[n:]...)
	for _, e := range expired {
		c.removeEntry(p, e)
	}
}

// scrub compares the next partitions that this store is the primary of with their members. After scrubCycle calls all
// have been compared.
func (c *Core) scrub() {
	var ready []*partition
	for _, p := range c.partitions {
		if p != nil && p.primary && p.ready {
			ready = append(ready, p)
		}
	}
	for range (len(ready) + scrubCycle - 1) / scrubCycle {
		c.schedule.scrubPosition = (c.schedule.scrubPosition + 1) % len(ready)
		c.expireLeased(ready[c.schedule.scrubPosition])
		c.compareAll(ready[c.schedule.scrubPosition])
	}
}

// expireLeased finishes leased messages as dead whose retention has been over for longer than the clock slack. Their
// leaseholder should have reported an outcome by then, so it doesn't have them any more.
func (c *Core) expireLeased(p *partition) {
	slack := uint32(c.config.ClockSlack / time.Millisecond)
	isOverdue := func(_ uint64, e *entry) bool {
		return e.pending() && !e.delivery.accepting && e.delivery.leaseholder != nil && e.delivery.expires+slack < c.millis()
	}
	for _, e := range p.sortedEntries(isOverdue) {
		c.finishMessage(p, e, wire.StateDead, "", nil)
	}
}

func (c *Core) compareAll(p *partition) {
	for _, to := range p.members {
		if !p.isComparing(to) {
			c.compare(p, to)
		}
	}
}

// reclaimSegments removes the oldest segments if they have no references, and compacts the oldest remaining one if the
// disk fills up.
func (c *Core) reclaimSegments() {
	oldest, newest := c.disk.journal.Segments()
	for ; oldest < newest && c.disk.references[oldest] == 0; oldest++ {
		if c.disk.epochSegment <= oldest {
			c.writeEpoch()
		}
		c.disk.journal.Remove(oldest)
	}
	if oldest < newest && c.needsCompaction() {
		c.compact(oldest)
		c.schedule.maintenance = min(c.schedule.maintenance, c.now.Steady+maintenanceInterval/20)
	}
}

// compact appends records that are still needed from a segment again, so that the segment can be removed. It stops
// after compactionBytes.
func (c *Core) compact(segment uint32) {
	size := 0
	for _, p := range c.partitions {
		if p == nil {
			continue
		}
		for _, e := range p.sortedEntries(func(_ uint64, e *entry) bool { return e.location.Segment == segment }) {
			if size >= compactionBytes {
				return
			}
			payload := c.messagePayload(p, e)
			if payload == nil {
				return
			}
			var at journal.Location
			at, _ = c.appendPayload(payload)
			c.setLocation(e, at)
			size += len(payload)
		}
	}
}

// scheduleWipe schedules the wipe of a partition that this store isn't a member of, if the other stores have it
// complete. The wipe is delayed, because a store that was unavailable for a short time is likely to join the partition
// again, and then needs only the changes.
func (c *Core) scheduleWipe(p *partition, complete bool) {
	switch {
	case p.replica || p.joining || !complete || len(p.entries) == 0:
		p.wipeAt = 0
	case p.wipeAt == 0:
		p.wipeAt = c.now.Steady + wipeDelay
	}
}

// wipeDue wipes the partitions whose wipe is due, or all scheduled ones if the store is half full.
func (c *Core) wipeDue() {
	for _, p := range c.partitions {
		if p == nil || p.wipeAt == 0 || c.now.Steady < p.wipeAt && !c.isHalfFull() {
			continue
		}
		c.appendRecord(&Record{Kind: RecordWipe, Partition: p.number})
		c.wipeTable(p)
		p.wipeAt = 0
	}
}

// isHalfFull reports whether the store has more than half of its maximum number of messages, or needs compaction.
func (c *Core) isHalfFull() bool {
	return c.needsCompaction() || c.config.MaxMessages > 0 && c.messageCount*2 > c.config.MaxMessages
}

// needsCompaction reports whether the journal uses so much of the disk that old segments are compacted.
func (c *Core) needsCompaction() bool {
	return c.config.DiskBytes > 0 && c.disk.journal.Used()*100 > c.config.DiskBytes*compactionPercent
}
