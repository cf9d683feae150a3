package queue

import "time"

// regrant is a scheduled repeated grant of a message that an edge claimed or was assigned. The edge may not have the
// message, and the store isn't notified of that: the edge claimed the message while putting it and then abandoned the
// put, or it ignored the grant because it didn't consider this store the primary. An edge answers the grant of a
// message that it doesn't have by releasing it.
type regrant struct {
	at time.Duration
	p  *partition
	e  *entry
}

// regrantQueue has the regrants in the order of their times, at most one for each message.
type regrantQueue struct {
	queue     []regrant
	scheduled map[*entry]bool
}

func newRegrantQueue() regrantQueue { return regrantQueue{scheduled: make(map[*entry]bool)} }

// due returns the time of the first regrant, or never if there is none.
func (q *regrantQueue) due() time.Duration {
	if len(q.queue) == 0 {
		return never
	}
	return q.queue[0].at
}

// push adds a regrant, which must not be earlier than those in the queue.
func (q *regrantQueue) push(r regrant) {
	q.scheduled[r.e] = true
	q.queue = append(q.queue, r)
}

// pop removes and returns the first regrant.
func (q *regrantQueue) pop() regrant {
	r := q.queue[0]
	q.queue = q.queue[1:]
	delete(q.scheduled, r.e)
	if len(q.queue) == 0 {
		q.queue = nil
	}
	return r
}

// scheduleRegrant schedules a regrant of a message, unless one is scheduled already.
func (c *Core) scheduleRegrant(p *partition, e *entry) {
	if c.regrants.scheduled[e] {
		return
	}
	at := c.now.Steady + regrantInterval
	c.regrants.push(regrant{at: at, p: p, e: e})
	c.wakeAt(at)
}

// regrantDue grants leased messages whose regrant is due to their leaseholders again, and schedules the next regrant of
// each.
func (c *Core) regrantDue() {
	for c.regrants.due() <= c.now.Steady {
		r := c.regrants.pop()
		if !r.isLeased() {
			continue
		}
		c.unassign(r.e.delivery)
		if c.wasGranted(r) {
			r.e.delivery.leaseholder.grant(c.epoch(), r.p, r.e)
		}
		c.scheduleRegrant(r.p, r.e)
	}
}

// isLeased reports whether this store is still the primary for the message, and an edge leases it.
func (r *regrant) isLeased() bool {
	current, _ := r.p.find(r.e.id)
	return current == r.e && r.p.primary && r.e.pending() && r.e.delivery.leaseholder != nil
}

// wasGranted reports whether a message's leaseholder is connected and has been granted the message. Otherwise the grant
// follows once the message is the head of its key queue, or once all members have recorded the lease.
func (c *Core) wasGranted(r regrant) bool {
	d := r.e.delivery
	return d.leaseholder.remote != nil && !d.grantPending && (d.key == nil || d.granted) && c.isDeliverable(r.p, r.e)
}
