package queue

import (
	"container/heap"

	"ravendale/cluster/wire"
)

// assignDue gives orphans that are due to edges.
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

func (c *Core) isConfirmed(p *partition) bool {
	return len(p.members) == 0 || c.now.Steady < p.confirmedAt+confirmationTimeout
}

// target picks who is given an orphan: its owner, who may have ended it already and then says so, as long as it lives. If it can't be given
// anything now the message waits for it.
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

// canAssign says whether an edge can be given a message whole.
func (c *Core) canAssign(e *edge) bool {
	return e.remote != nil && e.claimedEpoch == c.epoch() && e.assigned < maxAssigned
}

// unreserve puts the messages that wait for an edge back among the orphans.
func (c *Core) unreserve(e *edge) {
	waiting := e.reserved
	e.reserved = nil
	for _, o := range waiting {
		heap.Push(&c.unowned, o)
	}
}

// leastLoadedEdge picks the edge with the least to do that may be given a message, preferably of the own zone, and rather not the one
// that has given it back.
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

func (c *Core) load(e *edge) int {
	if e.zone != c.config.Zone {
		return e.assigned + otherZonePenalty
	}
	return e.assigned
}

// assignMessage hands a message to an edge, once all members know whose it is.
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

func (c *Core) grantWithBody(p *partition, e *entry) {
	e.delivery.grantPending = false
	to := e.delivery.leaseholder
	if to.remote == nil {
		return // it is taken back, if it does not come and claim it
	}
	message, err := c.readMessage(p, e)
	if err != nil {
		c.host.Fail(err)
		return
	}
	_ = to.remote.Notify(wire.MethodGrant, &wire.Grant{
		Partition: p.number, Epoch: c.epoch(), ID: e.id, Failed: e.failed, Whole: true, Message: *message,
	})
}

// unassign gives the place of a message back that its holder was given long ago: those that no worker can be had for must not keep
// others from being handed over. What an edge has no room for it gives back by itself.
func (c *Core) unassign(l *delivery) {
	if !l.assigned {
		return
	}
	l.assigned = false
	l.leaseholder.assigned--
	c.unreserve(l.leaseholder)
}
