package queue

// startLease leases a message to an edge: only this edge may deliver it, as long as it stays connected or reconnects in
// time.
func (c *Core) startLease(e *entry, to *edge) {
	c.releaseLease(e)
	e.delivery.leaseholder = to
	e.delivery.session = to.session
}

// releaseLease ends a message's lease, if there is one.
func (c *Core) releaseLease(e *entry) {
	if e.delivery == nil || e.delivery.leaseholder == nil {
		return
	}
	c.unassign(e.delivery)
	e.delivery.leaseholder = nil
	e.delivery.granted = false
	e.delivery.grantPending = false
}

// recordLeaseholder replicates which edge leases a message, because a new primary offers the message to that edge
// first.
func (c *Core) recordLeaseholder(p *partition, e *entry, by *edge) {
	if e.delivery.lastLeaseholder == by.id {
		return
	}
	p.update(e, func() { e.delivery.lastLeaseholder = by.id })
	payload, _, position := c.appendRecord(&Record{Kind: RecordLeaseholder, Partition: p.number, ID: e.id, Leaseholder: by.id})
	c.beginOp(p, e, position, payload).put = e.delivery.accepting
}

// isDeliverable reports whether the store may grant a message: the store is a ready primary, and the message is
// accepted and at the head of its key queue. It ignores the message's delay.
func (c *Core) isDeliverable(p *partition, e *entry) bool {
	if !p.primary || !p.ready || !e.pending() || e.delivery.accepting {
		return false
	}
	return e.delivery.key == nil || e.delivery.key.head() == e
}

// grantOrRequeue grants a deliverable message to its leaseholder, or requeues it if no edge leases it. If quiet is set,
// it sends no notification, because the reply to a request of the leaseholder carries the grant.
func (c *Core) grantOrRequeue(p *partition, e *entry, quiet bool) {
	if !e.pending() || !c.isDeliverable(p, e) {
		return
	}
	if e.delivery.leaseholder == nil {
		c.requeueMessage(p, e)
		return
	}
	if e.delivery.key == nil || e.delivery.granted {
		return
	}
	e.delivery.granted = true
	if !quiet {
		e.delivery.leaseholder.grant(c.epoch(), p, e)
	}
}
