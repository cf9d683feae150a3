package dispatch

import "time"

// isLeased reports whether this edge may attempt a message: its lease was confirmed since the last pause of the process
// in which the store may have revoked it.
func (c *Core) isLeased(m *message) bool {
	return m.leasedAt >= c.leasesValidFrom || c.mutations.trustsRevokedLeases
}

// awaitLease makes a message wait until its store confirms its lease. If that takes long, the message is released.
func (c *Core) awaitLease(m *message) {
	c.messages.schedule(m, phaseAwaitingLease, c.now+maxLeaseWait)
}

// RevokeLeases is called when the process has been paused, at the latest before its next event: leases that were last
// confirmed before a time count only once they are confirmed again.
func (c *Core) RevokeLeases(before time.Duration) { c.leasesValidFrom = max(before, c.leasesValidFrom) }

// ConfirmLeases is called when a store has confirmed the leases of messages that were claimed at a time. Messages that
// wait for that are attempted.
func (c *Core) ConfirmLeases(now time.Duration, ids []string, claimedAt time.Duration) []Action {
	c.beginEvent(now)
	for _, id := range ids {
		if m := c.messages.byID[id]; m != nil && m.phase != phaseReported {
			c.confirmLease(m, claimedAt)
		}
	}
	return c.endEvent()
}

func (c *Core) confirmLease(m *message, at time.Duration) {
	m.leasedAt = max(at, m.leasedAt)
	if m.phase == phaseAwaitingLease && c.isLeased(m) {
		c.deferUntil(m, c.now)
	}
}
