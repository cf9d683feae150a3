package dispatch

import (
	"slices"
	"time"

	"ravendale"
	"ravendale/edge/worker"
)

// job is a message's stay with a module, until the last of its attempts has finished.
type job struct {
	id           JobID
	service      *service
	message      *message
	active       bool // the message waits for this job
	isWaiting    bool // active, without an attempt under way: the service counts it
	noCapacity   bool // no worker had capacity for its last attempt
	attempts     []attempt
	inFlight     int
	hasToken     bool // it took one
	tokenTakenAt time.Duration
}

// jobTable has the open jobs: those that a message waits for, or that have attempts in flight.
type jobTable struct {
	byID map[JobID]*job
	last JobID
}

// add names a job, and adds it.
func (t *jobTable) add(j *job) {
	t.last++
	j.id = t.last
	t.byID[j.id] = j
}

// inFlight counts the attempts in flight.
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

// isInFlight reports whether an attempt is under way that was not cancelled.
func (j *job) isInFlight() bool {
	return slices.ContainsFunc(j.attempts, func(a attempt) bool { return a.inFlight && !a.cancelled })
}

// updateCount keeps the service's count of jobs that wait with the module.
func (j *job) updateCount() {
	waiting := j.active && !j.isInFlight()
	switch {
	case waiting && !j.isWaiting:
		j.service.waitingJobs++
	case !waiting && j.isWaiting:
		j.service.waitingJobs--
	}
	j.isWaiting = waiting
}

// submit hands a message to its service's module as a new job.
func (c *Core) submit(m *message, s *service, token bool) {
	j := &job{service: s, message: m, active: true, hasToken: token, tokenTakenAt: c.now}
	c.jobs.add(j)
	s.openJobs++
	m.job, m.service = j, s
	j.updateCount()
	c.messages.schedule(m, phaseSubmitted, c.now+moduleTimeout)
	c.queueEvent(s, ravendale.Event{Kind: ravendale.JobArrived, Job: ravendale.JobID(j.id), Class: 0, Tenant: -1, Left: jobDeadline, Retry: m.submitted})
	m.submitted = true
}

// withdrawJob takes a message back from its module.
func (c *Core) withdrawJob(j *job) {
	if !j.active {
		return
	}
	j.active = false
	c.queueEvent(j.service, ravendale.Event{Kind: ravendale.ClientLeft, Job: ravendale.JobID(j.id)})
	c.removeIdleJob(j)
}

// removeIdleJob forgets a job that no message waits for and that has no attempt in flight.
func (c *Core) removeIdleJob(j *job) {
	j.updateCount()
	if !j.active && j.inFlight == 0 && c.jobs.byID[j.id] == j {
		delete(c.jobs.byID, j.id)
		j.service.openJobs--
	}
}

// execute does what a module asks for.
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
		c.moduleGaveUp(j)
	}
}

// cancelAttempt has an attempt's connection closed. The attempt stays in flight until its outcome comes.
func (c *Core) cancelAttempt(j *job, number int) {
	if a := &j.attempts[number]; a.inFlight && !a.cancelled {
		a.cancelled = true
		c.emit(Cancel{Job: j.id, Attempt: number})
	}
}

// moduleGaveUp takes a message back that its module has no more use for.
func (c *Core) moduleGaveUp(j *job) {
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

// requeue has a message wait until a worker has capacity. Under a rate limit it would spend tokens on asking.
func (c *Core) requeue(m *message, s *service) {
	if s.tokens != nil {
		c.backOff(m)
		return
	}
	c.deferUntil(m, c.now)
}

// send makes an attempt, if the newest configuration still allows it.
func (c *Core) send(j *job, name string) {
	number, hedge := len(j.attempts), j.isInFlight()
	j.attempts = append(j.attempts, attempt{worker: name, inFlight: true})
	j.inFlight++
	j.updateCount()
	m := j.message
	route, s, dropped := c.route(m)
	address := j.service.addresses[name]
	switch {
	case !j.active || address == "":
		c.endAttempt(j, number, worker.Result{Outcome: worker.NotRun})
	case hedge && s.queue.len() > 0: // N, the open messages, counts those that wait
		c.endAttempt(j, number, worker.Result{Outcome: worker.NoConnection})
	case c.stopping:
		c.abortAttempt(j, number)
		c.release(m)
	case dropped || c.now >= m.expiresAt || s != j.service || j.lacksToken(c.now):
		c.abortAttempt(j, number)
		c.deferUntil(m, c.now)
	default:
		instance := name
		if s.endpoint != "" {
			instance = ""
		}
		c.emit(Deliver{Job: j.id, Attempt: number, Delivery: worker.Delivery{
			Worker: name, Address: address, Instance: instance,
			Method: m.Method, Host: m.Host, Target: m.Target, RequestID: m.RequestID, OrderKey: m.Key,
			ContentType: m.ContentType, Body: m.Body, Limit: milliseconds(route.TimeoutMs),
		}})
	}
}

func milliseconds(figure float64) time.Duration {
	return time.Duration(figure * float64(time.Millisecond))
}

// abortAttempt finishes an attempt that was not made, and its job.
func (c *Core) abortAttempt(j *job, number int) {
	j.attempts[number].inFlight = false
	j.inFlight--
	j.active = false
	j.message.job, j.message.service = nil, nil
	c.refund(j)
	c.queueEvent(j.service, ravendale.Event{Kind: ravendale.AttemptEnded, Job: ravendale.JobID(j.id), Attempt: number, Outcome: ravendale.NotSent, Closed: true})
	c.removeIdleJob(j)
}

// lacksToken reports whether an attempt has to wait for a token: the one that the job had was returned, or waited with the module, and
// there is no other. Tokens that wait somewhere would all be spent at once on top of those that came to the bucket meanwhile.
func (j *job) lacksToken(now time.Duration) bool {
	if j.service.tokens == nil {
		return false
	}
	if !j.hasToken || now-j.tokenTakenAt > tokenTTL {
		j.hasToken, j.tokenTakenAt = j.service.tokens.take(now), now
	}
	return !j.hasToken
}

// refund returns a token whose attempt never came to the worker.
func (c *Core) refund(j *job) {
	if j.hasToken && j.service.tokens != nil {
		j.hasToken = false
		j.service.tokens.refund()
	}
}
