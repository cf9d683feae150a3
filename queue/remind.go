package queue

import (
	"time"

	"ravendale/wire"
)

// reminder is due for a message that an edge claimed. It may have done so while it put the message, and given up since: nothing
// tells the store so.
type reminder struct {
	at time.Duration
	p  *partition
	e  *entry
	by *edge
}

func (c *Core) remindLater(p *partition, e *entry, by *edge) {
	at := c.now.Steady + remindEvery
	c.reminders = append(c.reminders, reminder{at: at, p: p, e: e, by: by})
	c.wakeAt(at)
}

// remind grants claimed messages that have not ended to their holders again: an edge gives back what it does not hold.
func (c *Core) remind() {
	for len(c.reminders) > 0 && c.reminders[0].at <= c.now.Steady {
		r := c.reminders[0]
		c.reminders = c.reminders[1:]
		if !c.isHeld(r) {
			continue
		}
		told := r.e.live.key == nil || r.e.live.granted // else it is granted when its turn comes
		if r.by.remote != nil && told && c.mayRun(r.p, r.e) {
			_ = r.by.remote.Notify(wire.MethodGrant, &wire.Grant{Partition: r.p.number, Epoch: c.epoch(), ID: r.e.id, Failed: r.e.failed})
		}
		c.remindLater(r.p, r.e, r.by)
	}
	if len(c.reminders) == 0 {
		c.reminders = nil
	}
}

// isHeld says whether a message is still there, and with the edge that claimed it.
func (c *Core) isHeld(r reminder) bool {
	current, _ := r.p.find(r.e.id)
	return current == r.e && r.p.primary && r.e.pending() && r.e.live.holder == r.by && !r.e.live.whole
}
