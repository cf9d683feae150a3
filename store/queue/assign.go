package queue

import (
	"container/heap"

	"ravendale/cluster/wire"
)

// assignDue assigns unowned messages that are due to edges, and finishes messages whose retention is over as dead.
func (c *Core) assignDue() {
	for len(c.unowned) > 0 && c.unowned[0].due <= c.millis() {
		top := c.unowned[0]
		if !c.isUnowned(top) {
			c.popUnowned()
			continue
		}
		if top.e.delivery.expires <= c.millis() {
			c.popUnowned()
			c.finishMessage(top.p, top.e, wire.StateDead, "", nil)
			continue
		}
		to, leaseholder := c.selectEdge(top.e)
		if leaseholder != nil {
			heap.Pop(&c.unowned)
			leaseholder.reserved = append(leaseholder.reserved, top)
			continue
		}
		if to == nil && c.awaitsConfig(top.e) {
			heap.Pop(&c.unowned)
			c.awaitingConfig = append(c.awaitingConfig, top)
			continue
		}
		if to == nil {
			return
		}
		if !c.isConfirmed(top.p) {
			heap.Pop(&c.unowned)
			top.p.deferred = append(top.p.deferred, top)
			c.startBarrier(top.p)
			continue
		}
		c.popUnowned()
		c.assignMessage(top.p, top.e, to)
	}
}

// isConfirmed reports whether all members have acknowledged an operation recently enough to assume that this store is
// still the primary: a member that knows a newer epoch doesn't acknowledge.
func (c *Core) isConfirmed(p *partition) bool {
	return len(p.members) == 0 || c.now.Steady < p.confirmedAt+confirmationTimeout
}

// selectEdge returns the edge to which an unowned message is to be assigned. As long as the last leaseholder is
// connected and hasn't released the message, this is the last leaseholder, since it may have finished the message
// already, and then reports the outcome. If it can't be assigned anything now, selectEdge returns it as waitsFor. If no
// edge can be assigned the message, both results are nil.
func (c *Core) selectEdge(e *entry) (to, waitsFor *edge) {
	leaseholder := c.edges.byID[e.delivery.lastLeaseholder]
	switch {
	case leaseholder == nil || e.delivery.released:
		return c.leastLoadedEdge(e.delivery.lastLeaseholder, wire.ConfigVersionOf(e.id)), nil
	case c.canAssign(leaseholder):
		return leaseholder, nil
	}
	return nil, leaseholder
}

// canAssign reports whether a message can be assigned to an edge: it is connected, has claimed under this epoch, and
// has fewer than maxAssigned messages.
func (c *Core) canAssign(e *edge) bool {
	return e.remote != nil && e.claimedEpoch == c.epoch() && e.assigned < maxAssigned
}

// unreserve moves the messages that are reserved for an edge back to the heap of unowned messages.
func (c *Core) unreserve(e *edge) {
	reserved := e.reserved
	e.reserved = nil
	for _, m := range reserved {
		heap.Push(&c.unowned, m)
	}
}

// leastLoadedEdge returns the edge with the fewest assigned messages among those that may run a message accepted under a
// version of the configuration, or nil if none can be assigned one. Edges in other zones count as more loaded, and the
// edge that has released this message as much more loaded.
func (c *Core) leastLoadedEdge(releasedBy string, configVersion uint64) *edge {
	var best *edge
	lowestLoad := 0
	for _, e := range c.edges.list {
		if e.draining || !c.canAssign(e) || !c.mayRun(e, configVersion) {
			continue
		}
		load := c.load(e)
		if e.id == releasedBy {
			load += maxAssigned
		}
		if best == nil || load < lowestLoad || load == lowestLoad && e.lastAssignment < best.lastAssignment {
			best, lowestLoad = e, load
		}
	}
	return best
}

// load returns the number of messages assigned to an edge, plus a penalty if the edge is in another zone.
func (c *Core) load(e *edge) int {
	if e.zone != c.config.Zone {
		return e.assigned + otherZonePenalty
	}
	return e.assigned
}

// assignMessage leases a message to an edge. The edge is granted the message, with its body, once all members have
// recorded the lease.
func (c *Core) assignMessage(p *partition, e *entry, to *edge) {
	c.startLease(e, to)
	e.delivery.assigned = true
	e.delivery.granted = true
	e.delivery.released = false
	e.delivery.grantPending = true
	to.assigned++
	c.lastID++
	to.lastAssignment = c.lastID
	c.recordLeaseholder(p, e, to)
	c.scheduleRegrant(p, e)
	if e.delivery.lastChange == nil {
		c.grantWithBody(p, e)
	}
}

// grantWithBody sends a message with its body to its leaseholder.
func (c *Core) grantWithBody(p *partition, e *entry) {
	e.delivery.grantPending = false
	to := e.delivery.leaseholder
	if to.remote == nil {
		return // the message is requeued if the edge doesn't reconnect and claim it
	}
	message, err := c.readMessage(p, e)
	if err != nil {
		c.host.Fail(err)
		return
	}
	_ = to.remote.Notify(wire.MethodGrant, &wire.Grant{
		Partition: p.number, Epoch: c.epoch(), ID: e.id, Failed: e.failed, HasMessage: true, Message: *message,
	})
}

// unassign stops counting a message among those assigned to its leaseholder. This happens when the lease ends, and when
// the leaseholder has had the message for long: messages for which there is no worker must not block others. An edge
// releases messages for which it has no capacity.
func (c *Core) unassign(d *delivery) {
	if !d.assigned {
		return
	}
	d.assigned = false
	d.leaseholder.assigned--
	c.unreserve(d.leaseholder)
}
