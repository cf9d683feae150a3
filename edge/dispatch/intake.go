package dispatch

import (
	"time"

	"ravendale/cluster/wire"
)

// Accept adds a message that a client put at this edge and that its store accepted. The message may have been granted,
// and even completed, before.
func (c *Core) Accept(now time.Duration, m *wire.Message, granted bool) []Action {
	c.beginEvent(now)
	if c.messages.byID[m.ID] == nil && !c.resendReport(m.ID) {
		c.add(m, arrival{granted: granted, acceptedHere: true})
	}
	return c.endEvent()
}

// Grant handles a store's grant. A message that comes with its grant (HasMessage) is due: the store measures the delay
// and the retention on a monotonic clock from when the message was sent, while wall-clock times are not reliable for
// either. A message that was completed here is not run again: the store that grants it has not received the report, for
// example because it has just become the primary.
func (c *Core) Grant(now time.Duration, g *wire.Grant) []Action {
	c.beginEvent(now)
	m := c.messages.byID[g.ID]
	switch {
	case m != nil && m.phase != phaseReported:
		c.setGranted(m, g.Failed)
	case m != nil && !m.released: // the queue repeats its report until it is acknowledged
	case c.resendReport(g.ID):
	case g.HasMessage:
		c.addGranted(g)
	case m == nil:
		c.report(wire.Report{ID: g.ID, Kind: wire.ReportReleased, Failed: g.Failed})
	}
	return c.endEvent()
}

// addGranted adds a message that a store assigned to this edge.
func (c *Core) addGranted(g *wire.Grant) {
	message := g.Message
	message.ID = g.ID
	message.DelayMs = 0
	arrived := arrival{granted: true, failedAttempts: g.Failed}
	arrived.overLimit = c.config.MaxBodyBytes > 0 && c.messages.bytes+len(message.Body) > c.config.MaxBodyBytes
	if arrived.overLimit {
		message.Body = nil
	}
	c.add(&message, arrived)
}

// setGranted records that a message may be delivered now, and the failed attempts counted by its store.
func (c *Core) setGranted(m *message, failed uint16) {
	m.failedAttempts = max(m.failedAttempts, failed)
	c.confirmLease(m, c.now)
	if m.granted {
		return
	}
	m.granted = true
	if m.phase == phaseKeyOrder {
		c.deferUntil(m, m.notBefore)
	}
}

// arrival describes how a message arrived at this edge.
type arrival struct {
	granted        bool
	acceptedHere   bool // this edge accepted it from a client
	failedAttempts uint16
	overLimit      bool // its body exceeds the memory that Config.MaxBodyBytes leaves
}

// add adds a message and schedules its first step: its release, the end of its delay, or its expiry if it waits in its
// key order.
func (c *Core) add(source *wire.Message, arrived arrival) {
	m := &message{
		Message: *source, granted: arrived.granted, failedAttempts: arrived.failedAttempts, leasedAt: c.now, arrivedAt: c.now,
		acceptedHere: arrived.acceptedHere, configVersion: wire.ConfigVersionOf(source.ID),
	}
	m.notBefore = c.now + time.Duration(m.DelayMs)*time.Millisecond
	m.expiresAt = c.now + forever
	if m.RetentionMs > 0 {
		m.expiresAt = c.now + time.Duration(m.RetentionMs)*time.Millisecond + expiryMargin
	}
	c.messages.add(m)
	switch {
	case c.stopping:
		c.release(m)
	case arrived.overLimit:
		c.messages.schedule(m, phaseReleasing, c.now+releaseDelay)
	case m.isNextInOrder():
		c.deferUntil(m, max(m.notBefore, c.now))
	default:
		c.messages.schedule(m, phaseKeyOrder, m.expiresAt)
	}
}
