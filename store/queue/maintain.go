package queue

import (
	"sort"
	"time"

	"ravendale/cluster/wire"
	"ravendale/store/journal"
)

// maintain forgets what has been known for long enough, gives disk space back, and compares one partition.
func (c *Core) maintain() {
	if c.now.Steady >= c.nextMaintenance {
		c.nextMaintenance = c.now.Steady + maintenanceInterval
		c.wipeDue()
		c.expireFinished()
		c.reclaimSegments()
	}
	if c.now.Steady >= c.nextScrub {
		c.nextScrub = c.now.Steady + scrubInterval
		c.scrub()
	}
}

// expireFinished forgets ends that are at all members and old enough, in their order.
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

// trimFinished forgets all ends up to a sequence.
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
		c.scrubPosition = (c.scrubPosition + 1) % len(led)
		c.expireLeased(led[c.scrubPosition])
		c.compareAll(led[c.scrubPosition])
	}
}

// expireLeased ends messages whose holder should have reported their end long ago: it does not hold them any more.
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

func (p *partition) isComparing(to *peer) bool {
	for _, f := range p.comparisons {
		if f.to == to {
			return true
		}
	}
	return false
}

// reclaimSegments removes the oldest segments that hold nothing that is needed, and rewrites old ones if the disk fills up.
func (c *Core) reclaimSegments() {
	oldest, newest := c.journal.Segments()
	for ; oldest < newest && c.segments[oldest] == 0; oldest++ {
		if c.epochSegment <= oldest {
			c.writeEpoch()
		}
		c.journal.Remove(oldest)
	}
	if oldest < newest && c.needsCompaction() {
		c.compact(oldest)
		c.nextMaintenance = min(c.nextMaintenance, c.now.Steady+maintenanceInterval/20)
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
