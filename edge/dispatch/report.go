package dispatch

import (
	"time"

	"ravendale/cluster/wire"
)

// finish ends the delivery of a message with its last report. The message is kept, without its body, until the queue has
// acknowledged the report.
func (c *Core) finish(m *message, report wire.Report) {
	c.withdraw(m)
	c.messages.unschedule(m)
	m.phase = phaseReported
	c.messages.dropBody(m)
	report.ID, report.Failed = m.ID, m.failedAttempts
	c.report(report)
}

// succeed reports the success of a message that a worker has run, whether or not the message is still leased to this
// edge: the current leaseholder must not run it again.
func (c *Core) succeed(m *message, signature string) {
	done := wire.Report{ID: m.ID, Kind: wire.ReportDone, Failed: m.failedAttempts, Signature: signature}
	if current := c.messages.byID[m.ID]; current != nil && current.phase != phaseReported {
		c.finish(current, done)
		return
	}
	if _, known := c.completed.find(c.now, m.ID); !known {
		c.report(done)
	}
}

// drop reports that a message's route was removed, with the version of the configuration that shows it.
func (c *Core) drop(m *message) {
	reason := wire.DropRemovedRoute(c.index.Config().Version)
	c.finish(m, wire.Report{Kind: wire.ReportDropped, Signature: string(reason)})
}

// release returns a message to its store, for another edge to deliver.
func (c *Core) release(m *message) {
	m.released = true
	c.finish(m, wire.Report{Kind: wire.ReportReleased})
}

// report notifies the queue of an outcome. A report that completes the message is added to c.completed.
func (c *Core) report(r wire.Report) {
	r.Partition, _ = wire.PartitionOf(r.ID)
	if r.Kind != wire.ReportFailed && r.Kind != wire.ReportReleased {
		c.completed.add(c.now, r)
	}
	c.emit(Report{r})
}

// resendReport sends the terminal report of a message that was completed here again, and returns whether there was one.
func (c *Core) resendReport(id string) bool {
	report, known := c.completed.find(c.now, id)
	known = known && !c.mutations.ignoresCompletions
	if known {
		c.emit(Report{report})
	}
	return known
}

// Acknowledged is called when the queue has acknowledged a message's last report.
func (c *Core) Acknowledged(now time.Duration, id string) []Action {
	c.beginEvent(now)
	if m := c.messages.byID[id]; m != nil && m.phase == phaseReported {
		c.messages.remove(m)
	}
	return c.endEvent()
}

// Unknown is called when the queue reports that a message is not pending, as it was completed.
func (c *Core) Unknown(now time.Duration, id string) []Action {
	c.beginEvent(now)
	if m := c.messages.byID[id]; m != nil && m.phase != phaseReported {
		c.withdraw(m)
		c.messages.remove(m)
	}
	return c.endEvent()
}
