package dispatch

import (
	"time"

	"ravendale/cluster/wire"
)

// deferUntil schedules the admission of a message at a time. If the time has come, the message is admitted immediately.
func (c *Core) deferUntil(m *message, until time.Duration) {
	c.messages.schedule(m, phaseDeferred, until)
	if until <= c.now {
		c.admit(m)
	}
}

// backOff defers a message that was not run, for an interval that doubles with each call.
func (c *Core) backOff(m *message) {
	interval := min(minBackoff<<min(m.backoffs, 10), maxBackoff)
	m.backoffs++
	c.deferUntil(m, c.now+interval)
}

// processDue performs the step that is due for a message in its phase, and schedules the next one.
func (c *Core) processDue(m *message) {
	switch {
	case m.phase == phaseDeferred:
		c.admit(m)
	case m.phase == phaseReleasing || m.phase == phaseAwaitingConfig || m.phase == phaseAwaitingLease:
		c.release(m)
	case m.phase == phaseSubmitted && m.job.isInFlight():
		c.messages.schedule(m, phaseSubmitted, c.now+moduleTimeout)
	case m.phase == phaseSubmitted:
		s := m.service
		c.withdraw(m)
		c.requeue(m, s)
	default: // in the other phases, only the expiry is scheduled
		c.finish(m, wire.Report{Kind: wire.ReportExpired})
	}
}
