package queue

import "ravendale/store/journal"

// A store whose disk takes nothing stays up: it keeps no new messages, and tells the control plane, which has others take its place until
// the disk takes all that waits.

// append puts a record into the journal.
func (c *Core) append(payload []byte) (at journal.Location, position uint64) {
	if c.waiting == never {
		c.waiting = c.now.Steady
		c.wakeAt(c.waiting + stalledAfter)
	}
	return c.journal.Append(payload)
}

// synced notes that the disk has taken something, and whether more waits.
func (c *Core) synced() {
	c.waiting = never
	if c.durable < c.journal.Position() {
		c.waiting = c.now.Steady
		c.wakeAt(c.waiting + stalledAfter)
	}
	if c.stalled && c.waiting == never {
		c.stalled = false
		c.host.StatusChanged()
	}
}

// watchDisk finds out whether the disk has stalled.
func (c *Core) watchDisk() {
	if c.waiting != never && c.now.Steady >= c.waiting+stalledAfter {
		c.stall()
	}
}

// DiskFull tells that the disk has no room for what was appended.
func (c *Core) DiskFull(now Time) {
	c.now = now
	if c.waiting != never {
		c.stall()
	}
}

func (c *Core) stall() {
	if c.stalled {
		return
	}
	c.stalled = true
	c.config.Log.Warn("the disk takes nothing: no messages are kept until it does", "disk", c.config.Disk)
	c.host.StatusChanged()
}
