package queue

import (
	"sort"
	"time"

	"ravendale/cluster/wire"
	"ravendale/store/journal"
)

// maintain forgets what has been known for long enough, gives disk space back, and compares one partition.
func (c *Core) maintain() {
	if c.now.Steady >= c.nextWork {
		c.nextWork = c.now.Steady + maintenanceEvery
		c.wipeReleased()
		c.forgetOld()
		c.reclaim()
	}
	if c.now.Steady >= c.nextScrub {
		c.nextScrub = c.now.Steady + scrubEvery
		c.scrub()
	}
}

// forgetOld forgets ends that are at all members and old enough, in their order.
func (c *Core) forgetOld() {
	for _, p := range c.partitions {
		if p == nil || !p.primary || !p.ready {
			continue
		}
		n := 0
		for n < len(p.ended) && p.ended[n].live == nil && c.isOld(p.ended[n]) {
			n++
		}
		if n > 0 {
			c.forgetUpTo(p, p.ended[n-1].sequence)
		}
	}
}

func (c *Core) isOld(e *entry) bool {
	return c.seconds() > e.learned+uint32(c.config.Remember.Seconds())
}

// forgetUpTo forgets all ends up to a sequence.
func (c *Core) forgetUpTo(p *partition, horizon uint64) {
	if horizon <= p.horizon {
		return
	}
	p.horizon = horizon
	n := sort.Search(len(p.ended), func(i int) bool { return p.ended[i].sequence > horizon })
	old := p.ended[:n]
	p.ended = append([]*entry(nil), p.ended[n:]...)
	for _, e := range old {
		c.forget(p, e)
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
	for range (len(led) + scrubRound - 1) / scrubRound {
		c.scrubbed = (c.scrubbed + 1) % len(led)
		c.expireHeld(led[c.scrubbed])
		c.compareAll(led[c.scrubbed])
	}
}

// expireHeld ends messages whose holder should have reported their end long ago: it does not hold them any more.
func (c *Core) expireHeld(p *partition) {
	slack := uint32(c.config.ClockSlack / time.Millisecond)
	late := func(_ uint64, e *entry) bool {
		return e.pending() && !e.live.putting && e.live.holder != nil && e.live.expires+slack < c.millis()
	}
	for _, e := range p.sorted(late) {
		c.end(p, e, wire.StateDead, "", nil)
	}
}

func (c *Core) compareAll(p *partition) {
	for _, to := range p.members {
		if !p.isSyncing(to) {
			c.compare(p, to)
		}
	}
}

func (p *partition) isSyncing(to *peer) bool {
	for _, f := range p.syncs {
		if f.to == to {
			return true
		}
	}
	return false
}

// reclaim removes the oldest segments that hold nothing that is needed, and rewrites old ones if the disk fills up.
func (c *Core) reclaim() {
	oldest, newest := c.journal.Segments()
	for ; oldest < newest && c.segments[oldest] == 0; oldest++ {
		if c.epochAt <= oldest {
			c.writeEpoch()
		}
		c.journal.Remove(oldest)
	}
	if oldest < newest && c.crowded() {
		c.rewrite(oldest)
		c.nextWork = min(c.nextWork, c.now.Steady+maintenanceEvery/20)
	}
}

// rewrite appends records of a segment anew, so that it can go.
func (c *Core) rewrite(segment uint32) {
	size := 0
	for _, p := range c.partitions {
		if p == nil {
			continue
		}
		for _, e := range p.sorted(func(_ uint64, e *entry) bool { return e.at.Segment == segment }) {
			if size >= rewriteBytes {
				return
			}
			payload := c.wholeBytes(p, e)
			if payload == nil {
				return
			}
			var at journal.Location
			at, _ = c.append(payload)
			c.place(e, at)
			size += len(payload)
		}
	}
}
