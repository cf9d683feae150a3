package dispatch

import (
	"time"

	"ravendale"
	"ravendale/cluster/wire"
	"ravendale/edge/worker"
)

var moduleOutcomes = map[worker.Outcome]ravendale.Outcome{
	worker.Done:        ravendale.OK,
	worker.Failed:      ravendale.Error,
	worker.Refused:     ravendale.Rejected,
	worker.Full:        ravendale.FullUp,
	worker.NoRoom:      ravendale.FullUp,
	worker.NotRun:      ravendale.NotSent,
	worker.Repeat:      ravendale.NotSent,
	worker.WrongWorker: ravendale.ConnectFailed,
	worker.Unreachable: ravendale.ConnectFailed,
	worker.Broken:      ravendale.Reset,
	worker.Silent:      ravendale.TimedOut,
	worker.Cancelled:   ravendale.Cancelled,
}

// Ended takes the end of an attempt.
func (c *Core) Ended(now time.Duration, id JobID, number int, result worker.Result) []Action {
	c.begin(now)
	if j := c.jobs[id]; j != nil && number < len(j.attempts) && j.attempts[number].out {
		c.ended(j, number, result)
		c.spend(j.service)
	}
	return c.end()
}

func (c *Core) ended(j *job, number int, result worker.Result) {
	if c.mutant.resetIsNotRun && result.Outcome.MayHaveRun() {
		result.Outcome = worker.Unreachable
	}
	j.attempts[number].out = false
	j.out--
	j.full = result.Outcome == worker.Full || result.Outcome == worker.NoRoom
	j.track()
	if result.Outcome == worker.NoRoom || result.Outcome == worker.Unreachable {
		c.refund(j)
	}
	if result.Outcome == worker.WrongWorker {
		c.lose(j.service, j.attempts[number].worker)
	}
	closed := c.closes(j, result.Outcome)
	m := j.message
	if closed {
		j.active = false
		m.job, m.service = nil, nil
	}
	c.feed(j.service, ravendale.Event{
		Kind: ravendale.AttemptEnded, Job: ravendale.JobID(j.id), Attempt: number,
		Outcome: moduleOutcomes[result.Outcome], Took: result.Took, Closed: closed,
	})
	c.forgetJob(j)
	switch {
	case result.Outcome == worker.Done:
		c.succeed(m, result.Signature)
	case m.phase != reported && c.messages[m.ID] == m:
		c.conclude(m, result, closed)
	}
}

// closes says whether an outcome ends the job: the module goes on by itself only with what surely did not run, and while
// another attempt is under way.
func (c *Core) closes(j *job, outcome worker.Outcome) bool {
	switch {
	case !j.active:
		return false
	case outcome == worker.Done || outcome == worker.Refused:
		return true
	case j.live():
		return false
	case c.stopping:
		return true
	}
	switch outcome {
	case worker.Full, worker.NoRoom, worker.Unreachable, worker.WrongWorker:
		return false
	}
	return true
}

// conclude draws the consequences of an outcome that is no success for its message.
func (c *Core) conclude(m *message, result worker.Result, closed bool) {
	switch result.Outcome {
	case worker.Refused:
		c.finish(m, wire.Report{Kind: wire.ReportDead})
		return
	case worker.Failed:
		if c.fail(m) {
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
	c.again(m, result.Outcome)
}

// fail counts a failed attempt, and says whether it was the last.
func (c *Core) fail(m *message) bool {
	m.failed++
	retries := int(m.Retries)
	if route, _, _ := c.route(m); route != nil {
		retries = route.Retries
	}
	if int(m.failed) >= retries {
		c.finish(m, wire.Report{Kind: wire.ReportDead})
		return true
	}
	c.report(wire.Report{ID: m.ID, Kind: wire.ReportFailed, Failed: m.failed})
	return false
}

// again has a message tried once more: after a failure or an unknown outcome at once the first time.
func (c *Core) again(m *message, outcome worker.Outcome) {
	switch {
	case outcome == worker.Repeat:
		c.wait(m, c.now+repeatPause)
	case outcome == worker.Failed && m.failed > 1:
		c.wait(m, c.now+min(failedPause<<min(int(m.failed)-2, 8), longestFailed))
	case outcome == worker.Failed:
		c.wait(m, c.now)
	case outcome == worker.NotRun || m.broken > 0:
		c.pause(m)
	default:
		m.broken++
		c.wait(m, c.now)
	}
}
