package queue

import (
	"container/heap"

	"ravendale/cluster/wire"
)

// assignDue assigns unowned messages that are due to edges, and finishes those whose retention is over.
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
		to, leaseholder := c.target(top.e)
		if leaseholder != nil {
			heap.Pop(&c.unowned)
			leaseholder.reserved = append(leaseholder.reserved, top)
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

// isConfirmed says whether all members have acknowledged something so recently that none of them can have known a newer epoch.
func (c *Core) isConfirmed(p *partition) bool {
	return len(p.members) == 0 || c.now.Steady < p.confirmedAt+confirmationTimeout
}

// target picks the edge that an unowned message is assigned to: its last leaseholder as long as that one is connected, since it may have
// finished it already and then reports so. If nothing can be assigned to that one now, the message waits for it.
func (c *Core) target(e *entry) (to, waitsFor *edge) {
	leaseholder := c.edges.byID[e.delivery.lastLeaseholder]
	switch {
	case leaseholder == nil || e.delivery.released:
		return c.leastLoadedEdge(e.delivery.lastLeaseholder), nil
	case c.canAssign(leaseholder):
		return leaseholder, nil
	}
	return nil, leaseholder
}

// canAssign says whether a message can be assigned to an edge: it has claimed under this epoch, and has not too many already.
func (c *Core) canAssign(e *edge) bool {
	return e.remote != nil && e.claimedEpoch == c.epoch() && e.assigned < maxAssigned
}

// unreserve puts the messages that are reserved for an edge back among the unowned ones.
func (c *Core) unreserve(e *edge) {
	reserved := e.reserved
	e.reserved = nil
	for _, o := range reserved {
		heap.Push(&c.unowned, o)
	}
}

// leastLoadedEdge picks the edge with the fewest assigned messages, preferably of the own zone, and rather not the one that has released this
// message; nil if there is none.
func (c *Core) leastLoadedEdge(releasedBy string) *edge {
	var best *edge
	least := 0
	for _, e := range c.edges.list {
		if e.draining || !c.canAssign(e) {
			continue
		}
		load := c.load(e)
		if e.id == releasedBy {
			load += maxAssigned
		}
		if best == nil || load < least || load == least && e.lastAssignment < best.lastAssignment {
			best, least = e, load
		}
	}
	return best
}

// load is how many messages are assigned to an edge, with a penalty for another zone.
func (c *Core) load(e *edge) int {
	if e.zone != c.config.Zone {
		return e.assigned + otherZonePenalty
	}
	return e.assigned
}

// assignMessage leases a message to an edge, which is granted it with its body once all members know of the lease.
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
		return // it is requeued, if the edge does not reconnect and claim it
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

// unassign has a message count no more among those that are assigned to its leaseholder, when that has had it for long: messages that no
// worker is there for must not block others. What an edge has no capacity for it releases by itself.
func (c *Core) unassign(l *delivery) {
	if !l.assigned {
		return
	}
	l.assigned = false
	l.leaseholder.assigned--
	c.unreserve(l.leaseholder)
}
