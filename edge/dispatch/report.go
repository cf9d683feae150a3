package dispatch

import (
	"time"

	"ravendale/cluster/wire"
)

// finish completes a message here. It stays, without its body, until the queue has acknowledged the report.
func (c *Core) finish(m *message, report wire.Report) {
	c.withdraw(m)
	c.removeScheduled(m)
	m.phase = phaseReported
	c.messageBytes -= m.size
	m.size = 0
	m.Body = nil
	report.ID, report.Failed = m.ID, m.failedAttempts
	c.report(report)
}

// succeed completes a message that a worker has run, whether or not this edge still owns it: the present owner must not run it again.
func (c *Core) succeed(m *message, signature string) {
	done := wire.Report{ID: m.ID, Kind: wire.ReportDone, Failed: m.failedAttempts, Signature: signature}
	if owned := c.messages[m.ID]; owned != nil && owned.phase != phaseReported {
		c.finish(owned, done)
		return
	}
	if _, known := c.completed.find(c.now, m.ID); !known {
		c.report(done)
	}
}

func (c *Core) release(m *message) {
	m.released = true
	c.finish(m, wire.Report{Kind: wire.ReportReleased})
}

func (c *Core) report(r wire.Report) {
	r.Partition, _ = wire.PartitionOf(r.ID)
	if r.Kind != wire.ReportFailed && r.Kind != wire.ReportReleased {
		c.completed.add(c.now, r)
	}
	c.emit(Report{r})
}

// resendReport repeats the terminal report of a message that was completed here, and reports whether there was one.
func (c *Core) resendReport(id string) bool {
	report, known := c.completed.find(c.now, id)
	known = known && !c.mutations.forgetsCompleted
	if known {
		c.emit(Report{report})
	}
	return known
}

// Acknowledged is called when the queue has acknowledged a message's last report.
func (c *Core) Acknowledged(now time.Duration, id string) []Action {
	c.begin(now)
	if m := c.messages[id]; m != nil && m.phase == phaseReported {
		delete(c.messages, id)
	}
	return c.end()
}

// Unknown is called when the queue does not know a message as pending: it was completed.
func (c *Core) Unknown(now time.Duration, id string) []Action {
	c.begin(now)
	if m := c.messages[id]; m != nil && m.phase != phaseReported {
		c.withdraw(m)
		c.removeScheduled(m)
		c.messageBytes -= m.size
		delete(c.messages, id)
	}
	return c.end()
}
