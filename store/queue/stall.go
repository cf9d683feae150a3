package queue

import "ravendale/store/journal"

// A store whose disk takes nothing stays up: it keeps no new messages, and tells the control plane, which has others take its place until
// the disk takes all that waits.

// appendPayload puts a record into the journal.
func (c *Core) appendPayload(payload []byte) (at journal.Location, position uint64) {
	if c.unsyncedSince == never {
		c.unsyncedSince = c.now.Steady
		c.wakeAt(c.unsyncedSince + stallTimeout)
	}
	return c.journal.Append(payload)
}

// noteSync notes that the disk has taken something, and whether more waits.
func (c *Core) noteSync() {
	c.unsyncedSince = never
	if c.durable < c.journal.Position() {
		c.unsyncedSince = c.now.Steady
		c.wakeAt(c.unsyncedSince + stallTimeout)
	}
	if c.stalled && c.unsyncedSince == never {
		c.stalled = false
		c.host.StatusChanged()
	}
}

// checkStall finds out whether the disk has stalled.
func (c *Core) checkStall() {
	if c.unsyncedSince != never && c.now.Steady >= c.unsyncedSince+stallTimeout {
		c.markStalled()
	}
}

// DiskFull tells that the disk has no room for what was appended.
func (c *Core) DiskFull(now Time) {
	c.now = now
	if c.unsyncedSince != never {
		c.markStalled()
	}
}

func (c *Core) markStalled() {
	if c.stalled {
		return
	}
	c.stalled = true
	c.config.Log.Warn("the disk takes nothing: no messages are kept until it does", "disk", c.config.Disk)
	c.host.StatusChanged()
}
