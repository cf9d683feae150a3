package queue

import (
	"ravendale/cluster/wire"
	"ravendale/store/journal"
)

// appendRecord appends a record to the journal and returns its encoding, its location, and the journal position that
// must be synced for it to be durable.
func (c *Core) appendRecord(r *Record) (payload []byte, at journal.Location, position uint64) {
	payload = r.encode()
	at, position = c.appendPayload(payload)
	return payload, at, position
}

// messageRecord returns a record of a message's full state. It fails if the journal can't be read.
func (c *Core) messageRecord(p *partition, e *entry) (*Record, error) {
	payload, err := c.disk.journal.Read(e.location)
	if err != nil {
		return nil, err
	}
	r, err := decodeRecord(payload)
	if err != nil {
		return nil, err
	}
	r.Kind, r.Partition, r.ID = RecordMessage, p.number, e.id
	r.Sequence, r.State, r.Failed, r.NoBody = e.sequence, e.state, e.failed, e.noBody
	r.Leaseholder = e.lastLeaseholder()
	return r, nil
}

// messagePayload returns the encoding of messageRecord. If the journal can't be read, it reports the error to the host,
// which ends the store, and returns nil.
func (c *Core) messagePayload(p *partition, e *entry) []byte {
	r, err := c.messageRecord(p, e)
	if err != nil {
		c.host.Fail(err)
		return nil
	}
	return r.encode()
}

// readMessage reads a message with its body from the journal.
func (c *Core) readMessage(p *partition, e *entry) (*wire.Message, error) {
	r, err := c.messageRecord(p, e)
	if err != nil {
		return nil, err
	}
	r.Message.ID = e.id
	return &r.Message, nil
}

// setLocation sets the location of an entry's record in the journal.
func (c *Core) setLocation(e *entry, at journal.Location) {
	c.clearLocation(e)
	e.location = at
	c.disk.addReference(at.Segment)
}

func (c *Core) clearLocation(e *entry) {
	if e.location.Segment == 0 {
		return
	}
	c.disk.dropReference(e.location.Segment)
	e.location = journal.Location{}
}
