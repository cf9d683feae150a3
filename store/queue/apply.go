package queue

import (
	"time"

	"ravendale/cluster/wire"
	"ravendale/store/journal"
)

// Recover applies a record of the journal: each of them, in order, before Start. It fails for a record that can't be decoded.
func (c *Core) Recover(now Time, at journal.Location, payload []byte) error {
	c.now = now
	r, err := decodeRecord(payload)
	if err != nil {
		return err
	}
	c.apply(r, at, true)
	return nil
}

// changes says whether a record from the primary would change anything here.
func (c *Core) changes(r *Record) bool {
	p := c.partition(r.Partition)
	e, _ := p.find(r.ID)
	switch r.Kind {
	case RecordMessage:
		return e == nil || e.sequence != r.Sequence || e.state != r.State || e.failed != r.Failed || e.noBody && !r.NoBody ||
			e.pending() && e.lastLeaseholder() != r.Leaseholder
	case RecordFinish:
		return e == nil || e.sequence != r.Sequence || e.state != r.State
	case RecordFailed:
		return e != nil && e.failed != r.Failed
	case RecordLeaseholder:
		return e != nil && e.pending() && e.lastLeaseholder() != r.Leaseholder
	case RecordDrop:
		return e != nil
	}
	return true
}

// apply brings the tables up to a record that lies at a location of the journal. Old: the message is not new, so its times are worked out by
// the time of day.
func (c *Core) apply(r *Record, at journal.Location, old bool) {
	if r.Kind == RecordEpoch {
		c.newestEpoch = max(c.newestEpoch, r.Sequence)
		c.disk.epochSegment = at.Segment
		return
	}
	p := c.partition(r.Partition)
	c.sequence = max(c.sequence, r.Sequence)
	switch r.Kind {
	case RecordMessage:
		c.applyMessage(p, r, at, old)
	case RecordFinish:
		c.applyFinish(p, r, at)
	case RecordFailed:
		if e, _ := p.find(r.ID); e != nil {
			p.change(e, func() { e.failed = r.Failed })
		}
	case RecordLeaseholder:
		if e, _ := p.find(r.ID); e != nil && e.pending() {
			p.change(e, func() { e.delivery.lastLeaseholder = c.intern(r.Leaseholder) })
		}
	case RecordDrop:
		if e, _ := p.find(r.ID); e != nil {
			c.removeEntry(p, e)
		}
	case RecordWipe:
		c.wipeTable(p)
	}
}

func (c *Core) applyMessage(p *partition, r *Record, at journal.Location, old bool) {
	e, collides := p.find(r.ID)
	if collides {
		return
	}
	if e != nil && e.state == wire.StateDead && r.NoBody {
		c.replaceFinish(p, e, r, at)
		return
	}
	var known *delivery
	if e != nil {
		known = e.delivery
		c.removeEntry(p, e)
	}
	e = c.insert(p, r, at, old)
	if known != nil && e.delivery != nil { // the steady clock has counted since
		e.delivery.due, e.delivery.expires = known.due, known.expires
	}
}

// insert adds a message that is not known yet.
func (c *Core) insert(p *partition, r *Record, at journal.Location, old bool) *entry {
	e := &entry{id: r.ID, sequence: r.Sequence, state: r.State, failed: r.Failed}
	if e.pending() {
		e.delivery = &delivery{acceptSequence: r.Sequence, lastLeaseholder: c.intern(r.Leaseholder)}
		c.setTimes(e, &r.Message, old)
		if r.Message.Ordered && r.Message.Key != "" {
			p.join(e, r.Message.Key)
		}
	} else {
		e.finishedAt = c.seconds()
		e.noBody = e.state == wire.StateDead && (r.NoBody || r.Kind == RecordFinish)
	}
	p.insert(e)
	c.messageCount++
	c.setLocation(e, at)
	return e
}

// longestSpan is what delays and retentions are cut to, in milliseconds: added to the steady clock they must not come round to now.
const longestSpan = 1 << 31

// setTimes works out when a message is due and when its retention is over. For one that is not new the time of day is all there is: it may
// be wrong, so it must neither prolong a delay beyond its full length nor shorten a retention.
func (c *Core) setTimes(e *entry, m *wire.Message, old bool) {
	delay, retention := int64(m.DelayMs), int64(m.RetentionMs)
	if old {
		age := max(c.now.UnixMs-m.SentUnixMs, 0)
		delay = max(delay-age, 0)
		retention = max(retention-age, 0) + int64(c.config.ClockSlack/time.Millisecond)
	}
	e.delivery.due = c.millis() + uint32(min(delay, longestSpan))
	e.delivery.expires = c.millis() + uint32(min(retention, longestSpan))
}

func (c *Core) applyFinish(p *partition, r *Record, at journal.Location) {
	e, collides := p.find(r.ID)
	if e == nil {
		if !collides {
			c.insert(p, r, at, true)
		}
		return
	}
	if e.pending() {
		c.markFinished(p, e, r, at)
		c.dropDelivery(p, e)
		return
	}
	c.replaceFinish(p, e, r, at)
}

// replaceFinish gives a finished message another outcome. The body of a dead one stays where it lies.
func (c *Core) replaceFinish(p *partition, e *entry, r *Record, at journal.Location) {
	dead := r.State == wire.StateDead
	keeps := dead && e.state == wire.StateDead
	p.removeFinished(e)
	p.change(e, func() {
		e.state, e.sequence = r.State, r.Sequence
		e.noBody = dead && (e.noBody || !keeps)
	})
	p.insertFinished(e)
	if !keeps {
		c.setLocation(e, at)
	}
}

// markFinished records an outcome in memory; the message keeps its position in its key order until all members have the outcome. The location
// of a dead one stays that of its body.
func (c *Core) markFinished(p *partition, e *entry, r *Record, at journal.Location) {
	p.change(e, func() { e.state, e.sequence = r.State, r.Sequence })
	e.finishedAt = c.seconds()
	if e.state != wire.StateDead {
		c.setLocation(e, at)
	}
}

// dropDelivery frees the delivery state of a message, and returns the new head of its key order, if there is one.
func (c *Core) dropDelivery(p *partition, e *entry) *entry {
	if e.delivery == nil {
		return nil
	}
	next := p.leave(e)
	c.releaseLease(e)
	e.delivery = nil
	return next
}

// removeEntry removes a message from memory, and refuses those who wait for its operations.
func (c *Core) removeEntry(p *partition, e *entry) {
	if e.delivery != nil {
		for _, w := range p.supersede(e) {
			w.refuse(wire.PutUnknown, c.epoch())
		}
	}
	p.remove(e)
	c.dropDelivery(p, e)
	c.clearLocation(e)
	c.messageCount--
}

// intern saves the memory of a name that very many messages have.
func (c *Core) intern(id string) string {
	if e := c.edges.byID[id]; e != nil {
		return e.id
	}
	return id
}
