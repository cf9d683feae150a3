package queue

import (
	"time"

	"ravendale/cluster/wire"
	"ravendale/store/journal"
)

// Recover is told of each record of the journal, in order, before Start.
func (c *Core) Recover(now Time, at journal.Location, payload []byte) error {
	c.now = now
	r, err := decodeRecord(payload)
	if err != nil {
		return err
	}
	c.apply(r, at, true)
	return nil
}

// changes says whether a record from the primary tells anything new.
func (c *Core) changes(r *Record) bool {
	p := c.at(r.Partition)
	e, _ := p.find(r.ID)
	switch r.Kind {
	case RecordWhole:
		return e == nil || e.sequence != r.Sequence || e.state != r.State || e.failed != r.Failed || e.bare && !r.Bare ||
			e.pending() && e.owner() != r.Holder
	case RecordEnd:
		return e == nil || e.sequence != r.Sequence || e.state != r.State
	case RecordFailed:
		return e != nil && e.failed != r.Failed
	case RecordHolder:
		return e != nil && e.pending() && e.owner() != r.Holder
	case RecordDrop:
		return e != nil
	}
	return true
}

// apply brings the tables up to a record that lies at a place in the journal. Old says that the message is not new.
func (c *Core) apply(r *Record, at journal.Location, old bool) {
	if r.Kind == RecordEpoch {
		c.fence = max(c.fence, r.Sequence)
		c.epochAt = at.Segment
		return
	}
	p := c.at(r.Partition)
	c.sequence = max(c.sequence, r.Sequence)
	switch r.Kind {
	case RecordWhole:
		c.applyWhole(p, r, at, old)
	case RecordEnd:
		c.applyEnd(p, r, at)
	case RecordFailed:
		if e, _ := p.find(r.ID); e != nil {
			p.change(e, func() { e.failed = r.Failed })
		}
	case RecordHolder:
		if e, _ := p.find(r.ID); e != nil && e.pending() {
			p.change(e, func() { e.live.owner = c.intern(r.Holder) })
		}
	case RecordDrop:
		if e, _ := p.find(r.ID); e != nil {
			c.forget(p, e)
		}
	case RecordWipe:
		c.wipeTable(p)
	}
}

func (c *Core) applyWhole(p *partition, r *Record, at journal.Location, old bool) {
	e, taken := p.find(r.ID)
	if taken {
		return
	}
	if e != nil && e.state == wire.StateDead && r.Bare {
		c.endAnew(p, e, r, at)
		return
	}
	var known *live
	if e != nil {
		known = e.live
		c.forget(p, e)
	}
	e = c.insert(p, r, at, old)
	if known != nil && e.live != nil { // the steady clock has counted since
		e.live.due, e.live.expires = known.due, known.expires
	}
}

// insert adds a message that is not known yet.
func (c *Core) insert(p *partition, r *Record, at journal.Location, old bool) *entry {
	e := &entry{id: r.ID, sequence: r.Sequence, state: r.State, failed: r.Failed}
	if e.pending() {
		e.live = &live{accepted: r.Sequence, owner: c.intern(r.Holder)}
		c.setTimes(e, &r.Message, old)
		if r.Message.Ordered && r.Message.Key != "" {
			p.join(e, r.Message.Key)
		}
	} else {
		e.learned = c.seconds()
		e.bare = e.state == wire.StateDead && (r.Bare || r.Kind == RecordEnd)
	}
	p.insert(e)
	c.messages++
	c.place(e, at)
	return e
}

// longestSpan is what delays and retentions are cut to, in milliseconds: added to the steady clock they must not come round to now.
const longestSpan = 1 << 31

// setTimes works out when a message is due and when it ends unrun. For one that is not new the time of day is all there is: it may
// be wrong, and is not let move a delay past its full length, nor an end before its time.
func (c *Core) setTimes(e *entry, m *wire.Message, old bool) {
	delay, retention := int64(m.DelayMs), int64(m.RetentionMs)
	if old {
		age := max(c.now.UnixMs-m.SentUnixMs, 0)
		delay = max(delay-age, 0)
		retention = max(retention-age, 0) + int64(c.config.ClockSlack/time.Millisecond)
	}
	e.live.due = c.millis() + uint32(min(delay, longestSpan))
	e.live.expires = c.millis() + uint32(min(retention, longestSpan))
}

func (c *Core) applyEnd(p *partition, r *Record, at journal.Location) {
	e, taken := p.find(r.ID)
	if e == nil {
		if !taken {
			c.insert(p, r, at, true)
		}
		return
	}
	if e.pending() {
		c.markEnded(p, e, r, at)
		c.settle(p, e)
		return
	}
	c.endAnew(p, e, r, at)
}

// endAnew gives an ended message another end. The body that is kept of a dead one lies where it did.
func (c *Core) endAnew(p *partition, e *entry, r *Record, at journal.Location) {
	dead := r.State == wire.StateDead
	keeps := dead && e.state == wire.StateDead
	p.removeEnded(e)
	p.change(e, func() {
		e.state, e.sequence = r.State, r.Sequence
		e.bare = dead && (e.bare || !keeps)
	})
	p.insertEnded(e)
	if !keeps {
		c.place(e, at)
	}
}

// markEnded records an end in memory; the message keeps its place in the order of its key. The body of a dead one is kept.
func (c *Core) markEnded(p *partition, e *entry, r *Record, at journal.Location) {
	p.change(e, func() { e.state, e.sequence = r.State, r.Sequence })
	e.learned = c.seconds()
	if e.state != wire.StateDead {
		c.place(e, at)
	}
}

// settle lets go of what only a pending message needs, and returns the message of its key whose turn it is now, if any.
func (c *Core) settle(p *partition, e *entry) *entry {
	if e.live == nil {
		return nil
	}
	next := p.leave(e)
	c.unlease(e)
	e.live = nil
	return next
}

func (c *Core) seconds() uint32 { return uint32(c.now.Steady / time.Second) }

// place notes where an entry's record lies.
func (c *Core) place(e *entry, at journal.Location) {
	c.unplace(e)
	e.at = at
	c.segments[at.Segment]++
}

func (c *Core) unplace(e *entry) {
	if e.at.Segment == 0 {
		return
	}
	if c.segments[e.at.Segment]--; c.segments[e.at.Segment] == 0 {
		delete(c.segments, e.at.Segment)
	}
	e.at = journal.Location{}
}

// forget takes an entry out of memory.
func (c *Core) forget(p *partition, e *entry) {
	if e.live != nil {
		for _, w := range p.supersede(e) {
			w.refuse(wire.PutUnknown, c.epoch())
		}
	}
	p.remove(e)
	c.settle(p, e)
	c.unplace(e)
	c.messages--
}

// intern saves the memory of a name that very many messages have.
func (c *Core) intern(id string) string {
	if e := c.edges[id]; e != nil {
		return e.id
	}
	return id
}

func (c *Core) wipeTable(p *partition) {
	for _, e := range p.entries {
		c.unlease(e)
		c.unplace(e)
		c.messages--
	}
	horizon := p.horizon
	p.table = newTable()
	p.horizon = horizon
}

// write appends a record and returns its bytes, place and position.
func (c *Core) write(r *Record) (payload []byte, at journal.Location, position uint64) {
	payload = r.encode()
	at, position = c.append(payload)
	return payload, at, position
}

// whole makes a record of all that is known of an entry. It fails if the disk does.
func (c *Core) whole(p *partition, e *entry) (*Record, error) {
	payload, err := c.journal.Read(e.at)
	if err != nil {
		return nil, err
	}
	r, err := decodeRecord(payload)
	if err != nil {
		return nil, err
	}
	r.Kind, r.Partition, r.ID = RecordWhole, p.number, e.id
	r.Sequence, r.State, r.Failed, r.Bare = e.sequence, e.state, e.failed, e.bare
	r.Holder = e.owner()
	return r, nil
}

// wholeBytes is the encoding of whole; nil if the disk fails.
func (c *Core) wholeBytes(p *partition, e *entry) []byte {
	r, err := c.whole(p, e)
	if err != nil {
		c.host.Fail(err)
		return nil
	}
	return r.encode()
}

// message reads a message with its body.
func (c *Core) message(p *partition, e *entry) (*wire.Message, error) {
	r, err := c.whole(p, e)
	if err != nil {
		return nil, err
	}
	r.Message.ID = e.id
	return &r.Message, nil
}
