package queue

import (
	"sort"
	"time"

	"ravendale/cluster/wire"
	"ravendale/store/journal"
)

// maintain removes finished messages after their retention, reclaims disk space, and compares some partitions with their members.
func (c *Core) maintain() {
	if c.now.Steady >= c.schedule.maintenance {
		c.schedule.maintenance = c.now.Steady + maintenanceInterval
		c.wipeDue()
		c.expireFinished()
		c.reclaimSegments()
	}
	if c.now.Steady >= c.schedule.scrub {
		c.schedule.scrub = c.now.Steady + scrubInterval
		c.scrub()
	}
}

// expireFinished removes finished messages that are so at all members and old enough, in the order of their outcomes.
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

// trimFinished removes all finished messages up to a sequence.
func (c *Core) trimFinished(p *partition, horizon uint64) {
	if horizon <= p.horizon {
		return
	}
	p.horizon = horizon
	n := sort.Search(len(p.finished), func(i int) bool { return p.finished[i].sequence > horizon })
	old := p.finished[:n]
	p.finished = append([]*entry(nil), p.finished[n:]...)
	for _, e := range old {
		c.removeEntry(p, e)
	}
}

// scrub compares the next partitions that this store is the primary of with their members.
func (c *Core) scrub() {
	var led []*partition
	for _, p := range c.partitions {
		if p != nil && p.primary && p.ready {
			led = append(led, p)
		}
	}
	for range (len(led) + scrubCycle - 1) / scrubCycle {
		c.schedule.scrubPosition = (c.schedule.scrubPosition + 1) % len(led)
		c.expireLeased(led[c.schedule.scrubPosition])
		c.compareAll(led[c.schedule.scrubPosition])
	}
}

// expireLeased finishes messages whose leaseholder should have reported an outcome long ago: it does not have them any more.
func (c *Core) expireLeased(p *partition) {
	slack := uint32(c.config.ClockSlack / time.Millisecond)
	late := func(_ uint64, e *entry) bool {
		return e.pending() && !e.delivery.accepting && e.delivery.leaseholder != nil && e.delivery.expires+slack < c.millis()
	}
	for _, e := range p.sorted(late) {
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

// reclaimSegments removes the oldest segments that have no references, and compacts old ones if the disk fills up.
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

// compact appends records of a segment anew, so that it can go.
func (c *Core) compact(segment uint32) {
	size := 0
	for _, p := range c.partitions {
		if p == nil {
			continue
		}
		for _, e := range p.sorted(func(_ uint64, e *entry) bool { return e.location.Segment == segment }) {
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

// scheduleWipe has a partition wiped that others have complete: not at once, for a store that was away for a moment is likely to join it
// again, and then needs only what has changed.
func (c *Core) scheduleWipe(p *partition, complete bool) {
	switch {
	case p.replica || p.joining || !complete || len(p.entries) == 0:
		p.wipeAt = 0
	case p.wipeAt == 0:
		p.wipeAt = c.now.Steady + wipeDelay
	}
}

// wipeDue wipes partitions whose time has come, and all that are scheduled if there is little capacity left.
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

// isHalfFull says whether the store has half as many messages, or bytes, as it can have.
func (c *Core) isHalfFull() bool {
	return c.needsCompaction() || c.config.MaxMessages > 0 && c.messageCount*2 > c.config.MaxMessages
}

// needsCompaction says whether the disk has so much that old segments are rewritten.
func (c *Core) needsCompaction() bool {
	return c.config.DiskBytes > 0 && c.disk.journal.Used()*100 > c.config.DiskBytes*compactionPercent
}
