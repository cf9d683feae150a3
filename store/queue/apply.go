package queue

import (
	"time"

	"ravendale/cluster/wire"
	"ravendale/store/journal"
)

// Recover applies one record of the journal. It must be called for each record, in order, before Start. It fails if the
// record can't be decoded.
func (c *Core) Recover(now Time, at journal.Location, payload []byte) error {
	c.now = now
	r, err := decodeRecord(payload)
	if err != nil {
		return err
	}
	c.apply(r, at, true)
	if r.Leaseholder != "" { // a list that is received from now on is newer than this lease
		c.edges.listed[r.Leaseholder] = true
	}
	return nil
}

// wouldChange reports whether a record from the primary would change the state of this store.
func (c *Core) wouldChange(r *Record) bool {
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

// apply applies a record, which is at a location of the journal, to the tables. If old is set, the message was put
// earlier, and its times are computed from the time of day.
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
			p.update(e, func() { e.failed = r.Failed })
		}
	case RecordLeaseholder:
		if e, _ := p.find(r.ID); e != nil && e.pending() {
			p.update(e, func() { e.delivery.lastLeaseholder = c.intern(r.Leaseholder) })
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
	var previous *delivery
	if e != nil {
		previous = e.delivery
		c.removeEntry(p, e)
	}
	e = c.insert(p, r, at, old)
	if previous != nil && e.delivery != nil { // the times of the replaced entry are exact, since they come from the steady clock
		e.delivery.due, e.delivery.expires = previous.due, previous.expires
	}
}

// insert adds a message that the store doesn't have yet.
func (c *Core) insert(p *partition, r *Record, at journal.Location, old bool) *entry {
	e := &entry{id: r.ID, sequence: r.Sequence, state: r.State, failed: r.Failed}
	if e.pending() {
		e.delivery = &delivery{acceptSequence: r.Sequence, lastLeaseholder: c.intern(r.Leaseholder)}
		c.setTimes(e, &r.Message, old)
		if r.Message.Ordered && r.Message.Key != "" {
			p.addToKeyQueue(e, r.Message.Key)
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

// maxSpanMs limits delays and retentions, in milliseconds, so that their sum with the steady clock doesn't overflow to
// a time that is already past.
const maxSpanMs = 1 << 31

// setTimes computes when a message is due and when its retention is over. For an old message only the time of day is
// available. It may be wrong, so it must neither prolong a delay beyond its full length nor shorten a retention.
func (c *Core) setTimes(e *entry, m *wire.Message, old bool) {
	delay, retention := int64(m.DelayMs), int64(m.RetentionMs)
	if old {
		age := max(c.now.UnixMs-m.SentUnixMs, 0)
		delay = max(delay-age, 0)
		retention = max(retention-age, 0) + int64(c.config.ClockSlack/time.Millisecond)
	}
	e.delivery.due = c.millis() + uint32(min(delay, maxSpanMs))
	e.delivery.expires = c.millis() + uint32(min(retention, maxSpanMs))
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

// replaceFinish replaces the outcome of a finished message. If the message was dead and stays dead, the entry keeps the
// location of the body.
func (c *Core) replaceFinish(p *partition, e *entry, r *Record, at journal.Location) {
	dead := r.State == wire.StateDead
	keepsBody := dead && e.state == wire.StateDead
	p.removeFinished(e)
	p.update(e, func() {
		e.state, e.sequence = r.State, r.Sequence
		e.noBody = dead && (e.noBody || !keepsBody)
	})
	p.insertFinished(e)
	if !keepsBody {
		c.setLocation(e, at)
	}
}

// markFinished records an outcome in memory. The message keeps its position in its key queue until all members have the
// outcome. The entry of a dead message keeps the location of the body.
func (c *Core) markFinished(p *partition, e *entry, r *Record, at journal.Location) {
	p.update(e, func() { e.state, e.sequence = r.State, r.Sequence })
	e.finishedAt = c.seconds()
	if e.state != wire.StateDead {
		c.setLocation(e, at)
	}
}

// dropDelivery frees the delivery state of a message. It returns the new head of the message's key queue as
// removeFromKeyQueue does.
func (c *Core) dropDelivery(p *partition, e *entry) *entry {
	if e.delivery == nil {
		return nil
	}
	next := p.removeFromKeyQueue(e)
	c.releaseLease(e)
	e.delivery = nil
	return next
}

// removeEntry removes a message from memory, and refuses the requests that wait for its operations.
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

// intern returns an equal string that is shared by all messages of an edge, to save memory.
func (c *Core) intern(id string) string {
	if e := c.edges.byID[id]; e != nil {
		return e.id
	}
	return id
}
