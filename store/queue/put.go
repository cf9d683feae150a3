package queue

import (
	"fmt"

	"ravendale/cluster/wire"
)

// checkPrimary returns a partition if this store is its primary under an epoch, and otherwise the code with which to
// refuse the request.
func (c *Core) checkPrimary(number uint16, epoch uint64) (p *partition, code wire.PutCode) {
	if c.view == nil || epoch != c.view.Epoch || c.newestEpoch > c.view.Epoch {
		return nil, wire.PutStale
	}
	p = c.lookUpPartition(number)
	if p == nil || !p.primary {
		return nil, wire.PutNotPrimary
	}
	return p, wire.PutAccepted
}

// PutMessage handles the put of a message. The reply is sent once the message is on the disks of all members of its
// partition. A repeated put of the same message gets the same answer.
func (c *Core) PutMessage(now Time, from Remote, m *wire.Put, reply Replier) {
	c.now = now
	number, ok := wire.PartitionOf(m.Message.ID)
	if !ok || number != m.Partition {
		reply.Fail(fmt.Errorf("queue: message %q does not lie in partition %d", m.Message.ID, m.Partition))
		return
	}
	p, code := c.checkPrimary(m.Partition, m.Epoch)
	if code != wire.PutAccepted {
		reply.Send(&wire.PutReply{Code: code, Epoch: c.newestEpoch})
		return
	}
	sender := c.edges.on(from)
	e, collides := p.find(m.Message.ID)
	switch {
	case e != nil:
		c.acceptRepeat(p, e, m, sender, reply)
	case m.Dispatch && sender == nil || c.edges.isOutdated(from) || collides || len(p.members)+1 < c.requiredCopies() || c.refusesPuts():
		reply.Send(&wire.PutReply{Code: wire.PutRejected, Epoch: c.epoch()})
	default:
		c.acceptNew(p, m, sender, reply)
	}
	c.assignDue()
	c.flushPeers()
}

// requiredCopies returns the number of disks on which a message must be before it is accepted.
func (c *Core) requiredCopies() int { return max(c.config.Copies, int(c.view.Copies)) }

// refusesPuts reports whether the store must refuse new messages, because its disk is stalled or nearly full, or it has
// the maximum number of messages.
func (c *Core) refusesPuts() bool {
	if c.disk.stalled {
		return true
	}
	if c.config.DiskBytes > 0 && c.disk.journal.Used()*100 > c.config.DiskBytes*refusePercent {
		return true
	}
	return c.config.MaxMessages > 0 && c.messageCount >= c.config.MaxMessages
}

// acceptNew starts the operation that accepts a message.
func (c *Core) acceptNew(p *partition, m *wire.Put, sender *edge, reply Replier) {
	r := &Record{Kind: RecordMessage, Partition: p.number, ID: m.Message.ID, Sequence: c.nextSequence(), Message: m.Message}
	r.Message.ID = ""
	if m.Dispatch && sender != nil {
		r.Leaseholder = sender.id
	}
	payload, at, position := c.appendRecord(r)
	e := c.insert(p, r, at, false)
	e.delivery.accepting = true
	if m.Dispatch && sender != nil {
		c.startLease(e, sender)
	}
	o := c.beginOp(p, e, position, payload)
	o.put = true
	o.waiters = append(o.waiters, putWaiter(reply, sender))
}

// acceptRepeat answers a put of a message that the store already has, either at once or when the operation in progress
// completes.
func (c *Core) acceptRepeat(p *partition, e *entry, m *wire.Put, from *edge, reply Replier) {
	if e.delivery != nil && e.pending() && e.delivery.leaseholder == nil && m.Dispatch && from != nil {
		c.startLease(e, from)
		c.recordLeaseholder(p, e, from)
		c.grantOrRequeue(p, e, true)
	}
	if e.delivery != nil && e.delivery.lastChange != nil && (e.delivery.accepting || e.delivery.lastChange.put) {
		e.delivery.lastChange.waiters = append(e.delivery.lastChange.waiters, putWaiter(reply, from))
		return
	}
	if e.pending() && !c.isFullyReplicated(p) {
		c.replicateAgain(p, e, putWaiter(reply, from))
		return
	}
	reply.Send(c.putReply(e, from))
}

// isFullyReplicated reports whether all members, and enough of them, have everything that this primary has. A message
// whose put was incomplete when an earlier primary failed may be at some of the members only.
func (c *Core) isFullyReplicated(p *partition) bool {
	return !p.isMergePending() && len(p.joiners) == 0 && len(p.members)+1 >= c.requiredCopies()
}

// replicateAgain sends a message to all members again, and answers once they have acknowledged it.
func (c *Core) replicateAgain(p *partition, e *entry, w waiter) {
	payload := c.messagePayload(p, e)
	if payload == nil {
		return
	}
	position := c.disk.journal.Position()
	o := c.beginOp(p, e, position, payload)
	o.put = true
	o.waiters = append(o.waiters, w)
	if c.disk.syncedPosition >= position {
		o.synced = true
		c.complete(o)
	}
}

// putWaiter returns the waiter for the reply to a put.
func putWaiter(reply Replier, from *edge) waiter {
	w := waiter{reply: reply, put: true, edge: from}
	if from != nil {
		w.session = from.session
	}
	return w
}

// putReply returns the reply to the put of a message that is on disk at all members.
func (c *Core) putReply(e *entry, from *edge) *wire.PutReply {
	granted := e.delivery != nil && e.delivery.granted && e.delivery.leaseholder == from && from != nil
	return &wire.PutReply{Code: wire.PutAccepted, Epoch: c.epoch(), Granted: granted}
}
