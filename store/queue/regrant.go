package queue

import "time"

// regrant is a second grant of a message that an edge claimed or was assigned. The edge may not have it: it gave up the put under which it
// claimed the message, or ignored the grant, as one of a store that it did not take for the primary. The store is not notified of that.
type regrant struct {
	at time.Duration
	p  *partition
	e  *entry
}

// regrantQueue has the regrants by time, one at most for each message.
type regrantQueue struct {
	queue     []regrant
	scheduled map[*entry]bool
}

func newRegrantQueue() regrantQueue { return regrantQueue{scheduled: make(map[*entry]bool)} }

// due is when the first is due; never, if there is none.
func (q *regrantQueue) due() time.Duration {
	if len(q.queue) == 0 {
		return never
	}
	return q.queue[0].at
}

// push adds the newest one.
func (q *regrantQueue) push(r regrant) {
	q.scheduled[r.e] = true
	q.queue = append(q.queue, r)
}

// pop removes and returns the first.
func (q *regrantQueue) pop() regrant {
	r := q.queue[0]
	q.queue = q.queue[1:]
	delete(q.scheduled, r.e)
	if len(q.queue) == 0 {
		q.queue = nil
	}
	return r
}

// scheduleRegrant has a message granted again to its leaseholder, once for each message.
func (c *Core) scheduleRegrant(p *partition, e *entry) {
	if c.regrants.scheduled[e] {
		return
	}
	at := c.now.Steady + regrantInterval
	c.regrants.push(regrant{at: at, p: p, e: e})
	c.wakeAt(at)
}

// regrantDue grants messages that are not finished to their leaseholders again: an edge releases what it does not have.
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

// isLeased says whether a message is still there, and with an edge.
func (r *regrant) isLeased() bool {
	current, _ := r.p.find(r.e.id)
	return current == r.e && r.p.primary && r.e.pending() && r.e.delivery.leaseholder != nil
}

// wasGranted says whether a message's leaseholder is connected and was granted it: else the grant is still to come, once it is the head of its key
// order or all members know of the lease.
func (c *Core) wasGranted(r regrant) bool {
	l := r.e.delivery
	return l.leaseholder.remote != nil && !l.grantPending && (l.key == nil || l.granted) && c.isDeliverable(r.p, r.e)
}
