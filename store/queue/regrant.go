package queue

import (
	"time"

	"ravendale/cluster/wire"
)

// regrant is due for a message that an edge claimed or was given. It may not hold it: it gave up the put under which it claimed the
// message, or did not take the grant, as one of a store that it did not take for the primary. Nothing tells the store so.
type regrant struct {
	at time.Duration
	p  *partition
	e  *entry
}

// scheduleRegrant has a message's holder reminded, once for each message.
func (c *Core) scheduleRegrant(p *partition, e *entry) {
	if c.regrantScheduled[e] {
		return
	}
	c.regrantScheduled[e] = true
	at := c.now.Steady + regrantInterval
	c.regrants = append(c.regrants, regrant{at: at, p: p, e: e})
	c.wakeAt(at)
}

// regrantDue grants messages that have not ended to their holders again: an edge gives back what it does not hold.
func (c *Core) regrantDue() {
	for len(c.regrants) > 0 && c.regrants[0].at <= c.now.Steady {
		r := c.regrants[0]
		c.regrants = c.regrants[1:]
		delete(c.regrantScheduled, r.e)
		if !r.isLeased() {
			continue
		}
		c.unassign(r.e.delivery)
		if c.wasGranted(r) {
			_ = r.e.delivery.leaseholder.remote.Notify(wire.MethodGrant, &wire.Grant{Partition: r.p.number, Epoch: c.epoch(), ID: r.e.id, Failed: r.e.failed})
		}
		c.scheduleRegrant(r.p, r.e)
	}
	if len(c.regrants) == 0 {
		c.regrants = nil
	}
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

// isLeased says whether a message is still there, and with an edge.
func (r *regrant) isLeased() bool {
	current, _ := r.p.find(r.e.id)
	return current == r.e && r.p.primary && r.e.pending() && r.e.delivery.leaseholder != nil
}

// wasGranted says whether a message's holder is connected and was granted it: else the grant is still to come, with its turn or with the
// word of all members.
func (c *Core) wasGranted(r regrant) bool {
	l := r.e.delivery
	return l.leaseholder.remote != nil && !l.grantPending && (l.key == nil || l.granted) && c.isDeliverable(r.p, r.e)
}
