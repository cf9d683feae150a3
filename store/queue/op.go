package queue

import (
	"slices"
	"time"

	"ravendale/cluster/wire"
)

// op is an operation in progress: a change that isn't on disk at all members of its partition yet, or a barrier that
// they haven't all acknowledged.
type op struct {
	p         *partition
	e         *entry        // nil for a barrier
	startedAt time.Duration // when it began
	put       bool          // its completion accepts the message
	finish    bool          // it sets the message's outcome
	synced    bool          // it is on this store's disk
	unacked   uint64        // bit i is set until members[i] has acknowledged the operation
	waiters   []waiter
	index     int // in partition.ops; -1 once the operation has ended
}

// waiter is a request that is answered once an operation is complete.
type waiter struct {
	reply   Replier
	put     bool
	edge    *edge
	session uint16 // session of the edge in which it sent the request
}

// beginOp starts the operation of a change. The change's record was appended to the journal up to a position; beginOp
// sends it to all members.
func (c *Core) beginOp(p *partition, e *entry, position uint64, payload []byte) *op {
	o := &op{p: p, e: e, startedAt: c.now.Steady, index: len(p.ops)}
	p.ops = append(p.ops, o)
	if e.delivery != nil {
		e.delivery.lastChange = o
	}
	c.disk.awaitingSync = append(c.disk.awaitingSync, syncWait{position: position, op: o})
	for i, member := range p.members {
		o.unacked |= 1 << i
		if member.remote != nil {
			number := c.enqueueRecord(member, payload, false)
			member.awaitingAck = append(member.awaitingAck, peerWait{number: number, op: o, member: i})
		}
	}
	return o
}

// resend sends the current state of an operation's message to one member, or the barrier if the operation is one.
func (c *Core) resend(o *op, member int) {
	to := o.p.members[member]
	if to.remote == nil {
		return
	}
	if o.e == nil {
		c.sendBarrier(o, member)
		return
	}
	payload := c.messagePayload(o.p, o.e)
	if payload == nil {
		return
	}
	number := c.enqueueRecord(to, payload, true)
	to.awaitingAck = append(to.awaitingAck, peerWait{number: number, op: o, member: member})
}

// complete ends an operation if it is on disk at all members: it answers the requests that wait for it, and grants the
// messages that may be delivered now.
func (c *Core) complete(o *op) {
	if !o.synced || o.unacked != 0 || o.index < 0 || o.put && len(o.p.members)+1 < c.requiredCopies() {
		return // with too few members a message can't be accepted yet: the operation continues under the next placement
	}
	o.p.removeOp(o)
	o.p.confirmedAt = max(o.p.confirmedAt, o.startedAt)
	if o.e == nil {
		c.endBarrier(o.p)
		return
	}
	e := o.e
	if e.delivery != nil && e.delivery.lastChange == o {
		e.delivery.lastChange = nil
	}
	if o.put && e.delivery != nil {
		e.delivery.accepting = false
	}
	var next *entry
	if o.finish {
		next = c.dropDelivery(o.p, e)
	}
	if o.put && e.pending() {
		c.grantOrRequeue(o.p, e, o.notifiesByReply(e.delivery.leaseholder))
	}
	if e.delivery != nil && e.delivery.lastChange == nil && e.delivery.grantPending {
		c.grantWithBody(o.p, e)
	}
	for _, w := range o.waiters {
		c.replyTo(o, w)
	}
	if next != nil {
		c.grantOrRequeue(o.p, next, false)
	}
}

// notifiesByReply reports whether the leaseholder will be notified by the reply to a put on its current connection, so
// that no grant is needed.
func (o *op) notifiesByReply(leaseholder *edge) bool {
	return slices.ContainsFunc(o.waiters, func(w waiter) bool {
		return w.put && leaseholder != nil && w.edge == leaseholder && w.session == leaseholder.session && leaseholder.remote != nil
	})
}

// replyTo answers a request whose operation is complete.
func (c *Core) replyTo(o *op, w waiter) {
	if !w.put {
		w.reply.Send(&wire.ReportReply{Code: wire.PutAccepted, Epoch: c.epoch()})
		return
	}
	w.reply.Send(c.putReply(o.e, w.edge))
}

func (p *partition) removeOp(o *op) {
	last := len(p.ops) - 1
	p.ops[o.index] = p.ops[last]
	p.ops[o.index].index = o.index
	p.ops[last] = nil
	p.ops = p.ops[:last]
	o.index = -1
}

// supersede ends the operations of a message that is about to be replaced or removed, and returns the requests that
// wait for them.
func (p *partition) supersede(e *entry) []waiter {
	var waiters []waiter
	for _, o := range slices.Clone(p.ops) {
		if o.e == e {
			waiters = append(waiters, o.waiters...)
			p.removeOp(o)
		}
	}
	return waiters
}

// refuse answers a request that may not have taken effect.
func (w waiter) refuse(code wire.PutCode, epoch uint64) {
	if w.put {
		w.reply.Send(&wire.PutReply{Code: code, Epoch: epoch})
		return
	}
	w.reply.Send(&wire.ReportReply{Code: code, Epoch: epoch})
}
