package queue

import (
	"time"

	"ravendale/cluster/wire"
)

// reminder is due for a message that an edge claimed or was given. It may not hold it: it gave up the put under which it claimed the
// message, or did not take the grant, as one of a store that it did not take for the primary. Nothing tells the store so.
type reminder struct {
	at time.Duration
	p  *partition
	e  *entry
}

// remindLater has a message's holder reminded, once for each message.
func (c *Core) remindLater(p *partition, e *entry) {
	if c.reminding[e] {
		return
	}
	c.reminding[e] = true
	at := c.now.Steady + remindEvery
	c.reminders = append(c.reminders, reminder{at: at, p: p, e: e})
	c.wakeAt(at)
}

// remind grants messages that have not ended to their holders again: an edge gives back what it does not hold.
func (c *Core) remind() {
	for len(c.reminders) > 0 && c.reminders[0].at <= c.now.Steady {
		r := c.reminders[0]
		c.reminders = c.reminders[1:]
		delete(c.reminding, r.e)
		if !r.isHeld() {
			continue
		}
		c.uncount(r.e.live)
		if c.wasTold(r) {
			_ = r.e.live.holder.remote.Notify(wire.MethodGrant, &wire.Grant{Partition: r.p.number, Epoch: c.epoch(), ID: r.e.id, Failed: r.e.failed})
		}
		c.remindLater(r.p, r.e)
	}
	if len(c.reminders) == 0 {
		c.reminders = nil
	}
}

// uncount gives the place of a message back that its holder was given long ago: those that no worker can be had for must not keep
// others from being handed over. What an edge has no room for it gives back by itself.
func (c *Core) uncount(l *live) {
	if !l.whole {
		return
	}
	l.whole = false
	l.holder.given--
	c.unqueue(l.holder)
}

// isHeld says whether a message is still there, and with an edge.
func (r *reminder) isHeld() bool {
	current, _ := r.p.find(r.e.id)
	return current == r.e && r.p.primary && r.e.pending() && r.e.live.holder != nil
}

// wasTold says whether a message's holder is connected and was granted it: else the grant is still to come, with its turn or with the
// word of all members.
func (c *Core) wasTold(r reminder) bool {
	l := r.e.live
	return l.holder.remote != nil && !l.owed && (l.key == nil || l.granted) && c.mayRun(r.p, r.e)
}
