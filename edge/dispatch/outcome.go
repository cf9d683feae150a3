package dispatch

import (
	"time"

	"ravendale"
	"ravendale/cluster/wire"
	"ravendale/edge/worker"
)

// moduleOutcomes maps the outcomes of attempts to those of the decision module.
var moduleOutcomes = map[worker.Outcome]ravendale.Outcome{
	worker.Done:         ravendale.OK,
	worker.Failed:       ravendale.Error,
	worker.Rejected:     ravendale.Rejected,
	worker.AtCapacity:   ravendale.Overloaded,
	worker.NoConnection: ravendale.Overloaded,
	worker.NotRun:       ravendale.NotSent,
	worker.Duplicate:    ravendale.NotSent,
	worker.WrongWorker:  ravendale.ConnectFailed,
	worker.Unreachable:  ravendale.ConnectFailed,
	worker.Broken:       ravendale.Reset,
	worker.TimedOut:     ravendale.TimedOut,
	worker.Cancelled:    ravendale.Cancelled,
}

// FinishAttempt handles the outcome of an attempt.
func (c *Core) FinishAttempt(now time.Duration, id JobID, number int, result worker.Result) []Action {
	c.beginEvent(now)
	if j := c.jobs.byID[id]; j != nil && number < len(j.attempts) && j.attempts[number].inFlight {
		c.endAttempt(j, number, result)
		c.submitRateLimited(j.service)
	}
	return c.endEvent()
}

// endAttempt handles an attempt's outcome: it notifies the module and updates the message.
func (c *Core) endAttempt(j *job, number int, result worker.Result) {
	if c.mutations.resetCountsAsNotRun && result.Outcome.MayHaveRun() {
		result.Outcome = worker.Unreachable
	}
	j.attempts[number].inFlight = false
	j.inFlight--
	j.noCapacity = result.Outcome == worker.AtCapacity || result.Outcome == worker.NoConnection
	j.updateWaiting()
	if result.Outcome == worker.NoConnection || result.Outcome == worker.Unreachable {
		c.refund(j)
	}
	if result.Outcome == worker.WrongWorker {
		c.excludeReplaced(j.service, j.attempts[number].worker)
	}
	closed := c.endsJob(j, result.Outcome)
	m := j.message
	if closed {
		j.active = false
		m.job, m.service = nil, nil
	}
	c.queueEvent(j.service, ravendale.Event{
		Kind: ravendale.AttemptEnded, Job: ravendale.JobID(j.id), Attempt: number,
		Outcome: moduleOutcomes[result.Outcome], Took: result.Took, Closed: closed,
	})
	c.removeIdleJob(j)
	switch {
	case result.Outcome == worker.Done:
		c.succeed(m, result.Signature)
	case m.phase != phaseReported && c.messages.byID[m.ID] == m:
		c.applyOutcome(m, result, closed)
	}
}

// endsJob reports whether an outcome ends the job. Otherwise the job stays with its module, which may make another
// attempt: only while another attempt is in flight, or if this one certainly did not run.
func (c *Core) endsJob(j *job, outcome worker.Outcome) bool {
	switch {
	case !j.active:
		return false
	case outcome == worker.Done || outcome == worker.Rejected:
		return true
	case j.isInFlight():
		return false
	case c.stopping:
		return true
	}
	switch outcome {
	case worker.AtCapacity, worker.NoConnection, worker.Unreachable, worker.WrongWorker:
		return false
	}
	return true
}

// applyOutcome updates a message after an outcome other than success.
func (c *Core) applyOutcome(m *message, result worker.Result, closed bool) {
	switch result.Outcome {
	case worker.Rejected:
		c.finish(m, wire.Report{Kind: wire.ReportDead})
		return
	case worker.Failed:
		if c.countFailure(m) {
			return
		}
	}
	if !closed {
		return
	}
	if c.stopping {
		c.release(m)
		return
	}
	c.retry(m, result.Outcome)
}

// countFailure counts a failed attempt and reports it to the queue. It returns whether the attempt was the last one
// allowed.
func (c *Core) countFailure(m *message) bool {
	m.failedAttempts++
	retries := int(m.Retries)
	if found := c.route(m); found.route != nil {
		retries = found.route.Retries
	}
	if int(m.failedAttempts) >= retries {
		c.finish(m, wire.Report{Kind: wire.ReportDead})
		return true
	}
	c.report(wire.Report{ID: m.ID, Kind: wire.ReportFailed, Failed: m.failedAttempts})
	return false
}

// retry schedules the next attempt of a message: immediately after its first failure and its first unknown outcome, else
// after a delay.
func (c *Core) retry(m *message, outcome worker.Outcome) {
	switch {
	case outcome == worker.Duplicate:
		c.deferUntil(m, c.now+duplicateDelay)
	case outcome == worker.Failed && m.failedAttempts > 1:
		c.deferUntil(m, c.now+min(minFailureBackoff<<min(int(m.failedAttempts)-2, 8), maxFailureBackoff))
	case outcome == worker.Failed:
		c.deferUntil(m, c.now)
	case outcome == worker.NotRun || m.unknownOutcomes > 0:
		c.backOff(m)
	default:
		m.unknownOutcomes++
		c.deferUntil(m, c.now)
	}
}
