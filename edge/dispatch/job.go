package dispatch

import (
	"slices"
	"time"

	"ravendale"
	"ravendale/edge/worker"
)

// job is one submission of a message to a decision module. It is open until its last attempt has finished.
type job struct {
	id           JobID
	service      *service
	message      *message
	active       bool // its message is submitted as this job; false once the job was withdrawn, refused or ended
	isWaiting    bool // active, without an attempt in flight; counted in service.waitingJobs
	noCapacity   bool // its last attempt found no capacity, or no free connection
	attempts     []attempt
	inFlight     int
	hasToken     bool // it holds a token of the rate limit, taken at tokenTakenAt
	tokenTakenAt time.Duration
}

// jobTable holds the open jobs: those that are active or have attempts in flight.
type jobTable struct {
	byID   map[JobID]*job
	lastID JobID
}

// add adds a job under a new ID.
func (t *jobTable) add(j *job) {
	t.lastID++
	j.id = t.lastID
	t.byID[j.id] = j
}

// inFlight returns the number of attempts in flight.
func (t *jobTable) inFlight() int {
	count := 0
	for _, j := range t.byID {
		count += j.inFlight
	}
	return count
}

// attempt is one request of a job to a worker.
type attempt struct {
	worker              string
	inFlight, cancelled bool
}

// isInFlight reports whether the job has an attempt in flight that was not cancelled.
func (j *job) isInFlight() bool {
	return slices.ContainsFunc(j.attempts, func(a attempt) bool { return a.inFlight && !a.cancelled })
}

// updateWaiting updates isWaiting, and the service's count of waiting jobs.
func (j *job) updateWaiting() {
	waiting := j.active && !j.isInFlight()
	switch {
	case waiting && !j.isWaiting:
		j.service.waitingJobs++
	case !waiting && j.isWaiting:
		j.service.waitingJobs--
	}
	j.isWaiting = waiting
}

// submit submits a message to its service's module as a new job.
func (c *Core) submit(m *message, s *service, hasToken bool) {
	j := &job{service: s, message: m, active: true, hasToken: hasToken, tokenTakenAt: c.now}
	c.jobs.add(j)
	s.openJobs++
	m.job, m.service = j, s
	j.updateWaiting()
	c.messages.schedule(m, phaseSubmitted, c.now+moduleTimeout)
	c.queueEvent(s, ravendale.Event{Kind: ravendale.JobArrived, Job: ravendale.JobID(j.id), Class: 0, Tenant: -1, TimeLeft: jobDeadline, Retry: m.wasSubmitted})
	m.wasSubmitted = true
}

// withdrawJob withdraws a job from its module: its message does not wait for it any more.
func (c *Core) withdrawJob(j *job) {
	if !j.active {
		return
	}
	j.active = false
	c.queueEvent(j.service, ravendale.Event{Kind: ravendale.ClientLeft, Job: ravendale.JobID(j.id)})
	c.removeIdleJob(j)
}

// removeIdleJob removes a job that is neither active nor has an attempt in flight.
func (c *Core) removeIdleJob(j *job) {
	j.updateWaiting()
	if !j.active && j.inFlight == 0 && c.jobs.byID[j.id] == j {
		delete(c.jobs.byID, j.id)
		j.service.openJobs--
	}
}

// execute executes an action of a service's module.
func (c *Core) execute(s *service, a ravendale.Action) {
	switch a.Kind {
	case ravendale.SetTimer:
		s.timerAt = min(s.timerAt, c.now+a.Wait)
		c.addTimed(s)
		return
	case ravendale.Send, ravendale.Cancel, ravendale.Refuse, ravendale.Fail:
	default:
		return
	}
	j := c.jobs.byID[JobID(a.Job)]
	if j == nil {
		return
	}
	switch a.Kind {
	case ravendale.Send:
		c.send(j, a.Worker)
	case ravendale.Cancel:
		c.cancelAttempt(j, a.Attempt)
	default:
		c.handleRefusal(j)
	}
}

// cancelAttempt requests that an attempt's connection be closed. The attempt stays in flight until its outcome arrives.
func (c *Core) cancelAttempt(j *job, number int) {
	if a := &j.attempts[number]; a.inFlight && !a.cancelled {
		a.cancelled = true
		c.emit(Cancel{Job: j.id, Attempt: number})
	}
}

// handleRefusal handles a job that its module refused or failed: the message is released, queued again or backed off.
func (c *Core) handleRefusal(j *job) {
	if !j.active {
		return
	}
	j.active = false
	c.removeIdleJob(j)
	m := j.message
	m.job, m.service = nil, nil
	if c.stopping {
		c.release(m)
		return
	}
	if j.noCapacity {
		c.requeue(m, j.service)
		return
	}
	c.backOff(m)
}

// requeue makes a message wait until a worker has capacity. Under a rate limit it backs off instead, since each attempt
// to find capacity would spend a token.
func (c *Core) requeue(m *message, s *service) {
	if s.tokens != nil {
		c.backOff(m)
		return
	}
	c.deferUntil(m, c.now)
}

// send requests an attempt from a worker. If the current state or configuration does not allow it, the attempt ends at
// once.
func (c *Core) send(j *job, workerName string) {
	number, hedge := len(j.attempts), j.isInFlight()
	j.attempts = append(j.attempts, attempt{worker: workerName, inFlight: true})
	j.inFlight++
	j.updateWaiting()
	m := j.message
	found := c.route(m)
	address := j.service.addresses[workerName]
	switch {
	case !j.active || address == "":
		c.endAttempt(j, number, worker.Result{Outcome: worker.NotRun})
	case hedge && (j.service.queue.len() > 0 || !c.isLeased(m)): // the module hedges only while few jobs are open, and does not count queued messages
		c.endAttempt(j, number, worker.Result{Outcome: worker.NoConnection})
	case c.stopping:
		c.abortAttempt(j, number)
		c.release(m)
	case !c.isLeased(m):
		c.abortAttempt(j, number)
		c.awaitLease(m)
	case found.service != j.service || c.now >= m.expiresAt || j.lacksToken(c.now):
		c.abortAttempt(j, number)
		c.deferUntil(m, c.now)
	default:
		instance := workerName
		if j.service.endpoint != "" {
			instance = ""
		}
		c.emit(Deliver{Job: j.id, Attempt: number, Delivery: worker.Delivery{
			Worker: workerName, Address: address, Instance: instance,
			Method: m.Method, Host: m.Host, Target: m.Target, RequestID: m.RequestID, OrderKey: m.Key,
			ContentType: m.ContentType, Body: m.Body, Limit: milliseconds(found.route.TimeoutMs),
		}})
	}
}

func milliseconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}

// abortAttempt finishes an attempt that was not sent, and its job.
func (c *Core) abortAttempt(j *job, number int) {
	j.attempts[number].inFlight = false
	j.inFlight--
	j.active = false
	j.message.job, j.message.service = nil, nil
	c.refund(j)
	c.queueEvent(j.service, ravendale.Event{Kind: ravendale.AttemptEnded, Job: ravendale.JobID(j.id), Attempt: number, Outcome: ravendale.NotSent, Closed: true})
	c.removeIdleJob(j)
}

// lacksToken reports whether an attempt has to wait for a token. If the job's token was refunded, or is older than
// tokenTTL because the job waited with the module, lacksToken tries to take another. Old tokens are discarded, as the
// jobs that hold them could spend all of them at once, in addition to the tokens that the bucket received meanwhile.
func (j *job) lacksToken(now time.Duration) bool {
	if j.service.tokens == nil {
		return false
	}
	if !j.hasToken || now-j.tokenTakenAt > tokenTTL {
		j.hasToken, j.tokenTakenAt = j.service.tokens.take(now), now
	}
	return !j.hasToken
}

// refund returns a job's token to the bucket, after an attempt that did not reach the worker.
func (c *Core) refund(j *job) {
	if j.hasToken && j.service.tokens != nil {
		j.hasToken = false
		j.service.tokens.refund()
	}
}
