package queue

// startLease leases a message to an edge: that one alone may deliver it, as long as it stays connected or comes back in time.
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

// recordLeaseholder replicates who leases a message: after a takeover that one is asked first.
func (c *Core) recordLeaseholder(p *partition, e *entry, by *edge) {
	if e.delivery.lastLeaseholder == by.id {
		return
	}
	p.change(e, func() { e.delivery.lastLeaseholder = by.id })
	payload, _, position := c.appendRecord(&Record{Kind: RecordLeaseholder, Partition: p.number, ID: e.id, Leaseholder: by.id})
	c.beginOp(p, e, position, payload).put = e.delivery.accepting
}

// isDeliverable says whether a message may be delivered as far as its acceptance and its key order go; its delay is another matter.
func (c *Core) isDeliverable(p *partition, e *entry) bool {
	if !p.primary || !p.ready || !e.pending() || e.delivery.accepting {
		return false
	}
	return e.delivery.key == nil || e.delivery.key.head() == e
}

// grantOrRequeue grants a message to its leaseholder if it may be delivered now, or has it assigned if no edge leases it. Quiet: the leaseholder
// hears of it by a reply.
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
