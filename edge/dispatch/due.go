package dispatch

import (
	"time"

	"ravendale/cluster/wire"
)

// deferUntil has a message admitted at a time: now if that has come.
func (c *Core) deferUntil(m *message, until time.Duration) {
	c.messages.schedule(m, phaseDeferred, until)
	if until <= c.now {
		c.admit(m)
	}
}

// backOff defers a message that was not run, for intervals that double.
func (c *Core) backOff(m *message) {
	pause := min(minBackoff<<min(m.backoffs, 10), maxBackoff)
	m.backoffs++
	c.deferUntil(m, c.now+pause)
}

// processDue does what is due for a message, and schedules what follows.
func (c *Core) processDue(m *message) {
	switch {
	case m.phase == phaseDeferred:
		c.admit(m)
	case m.phase == phaseReleasing:
		c.release(m)
	case m.phase == phaseSubmitted && m.job.isInFlight():
		c.messages.schedule(m, phaseSubmitted, c.now+moduleTimeout)
	case m.phase == phaseSubmitted:
		s := m.service
		c.withdraw(m)
		c.requeue(m, s)
	default: // nothing but its expiry is due
		c.finish(m, wire.Report{Kind: wire.ReportExpired})
	}
}
