package dispatch

import (
	"time"

	"ravendale/cluster/wire"
)

// Accept takes a message that was put by this edge and accepted by its store. It may have been granted, and completed, before that.
func (c *Core) Accept(now time.Duration, m *wire.Message, granted bool) []Action {
	c.begin(now)
	if c.messages.byID[m.ID] == nil && !c.resendReport(m.ID) {
		c.add(m, arrival{granted: granted})
	}
	return c.end()
}

// Grant takes a store's grant. A grant with its message (HasMessage) is due: the store, whose steady clock has counted since it was sent,
// keeps its delay, and its end too. The time of day says nothing reliable of either. What was completed here is not run again: the
// store that grants it has not heard of that, as when it has just become the primary.
func (c *Core) Grant(now time.Duration, g *wire.Grant) []Action {
	c.begin(now)
	m := c.messages.byID[g.ID]
	switch {
	case m != nil && m.phase != phaseReported:
		c.setGranted(m, g.Failed)
	case m != nil && !m.released: // its report is repeated until it is acknowledged
	case c.resendReport(g.ID):
	case g.HasMessage:
		c.addGranted(g)
	case m == nil:
		c.report(wire.Report{ID: g.ID, Kind: wire.ReportReleased, Failed: g.Failed})
	}
	return c.end()
}

// addGranted takes a message that a store assigned to this edge.
func (c *Core) addGranted(g *wire.Grant) {
	message := g.Message
	message.ID = g.ID
	message.DelayMs = 0
	from := arrival{granted: true, failedAttempts: g.Failed, routeTimeout: c.config.ConvergenceTime}
	from.overLimit = c.config.MaxBodyBytes > 0 && c.messages.bytes+len(message.Body) > c.config.MaxBodyBytes
	if from.overLimit {
		message.Body = nil
	}
	c.add(&message, from)
}

// setGranted records that a message may be delivered now, and the failures that its store counted.
func (c *Core) setGranted(m *message, failed uint16) {
	m.failedAttempts = max(m.failedAttempts, failed)
	if m.granted {
		return
	}
	m.granted = true
	if m.phase == phaseKeyOrder {
		c.deferUntil(m, m.notBefore)
	}
}

// arrival describes how a message came.
type arrival struct {
	granted        bool
	failedAttempts uint16
	routeTimeout   time.Duration // for a route that is not known here yet
	overLimit      bool          // its body does not fit into memory
}

// add takes a message, and schedules what is first: its release, its delay or the end of its wait in its key order.
func (c *Core) add(source *wire.Message, from arrival) {
	m := &message{Message: *source, granted: from.granted, failedAttempts: from.failedAttempts, dropAfter: c.now + from.routeTimeout}
	m.notBefore = c.now + time.Duration(m.DelayMs)*time.Millisecond
	m.expiresAt = c.now + forever
	if m.RetentionMs > 0 {
		m.expiresAt = c.now + time.Duration(m.RetentionMs)*time.Millisecond + expiryMargin
	}
	c.messages.add(m)
	switch {
	case c.stopping:
		c.release(m)
	case from.overLimit:
		c.messages.schedule(m, phaseReleasing, c.now+releaseDelay)
	case m.isNextInOrder():
		c.deferUntil(m, max(m.notBefore, c.now))
	default:
		c.messages.schedule(m, phaseKeyOrder, m.expiresAt)
	}
}
