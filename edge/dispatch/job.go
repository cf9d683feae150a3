package dispatch

import (
	"slices"
	"time"

	"ravendale"
	"ravendale/edge/worker"
)

// job is a message's stay with a module, until the last of its attempts has ended.
type job struct {
	id       JobID
	service  *service
	message  *message
	active   bool // the message waits for this job
	held     bool // it is active, and no attempt is under way
	full     bool // no worker had room for its last attempt
	attempts []attempt
	out      int
	token    bool // it took one
	tokenAt  time.Duration
}

type attempt struct {
	worker         string
	out, cancelled bool
}

func (j *job) live() bool {
	return slices.ContainsFunc(j.attempts, func(a attempt) bool { return a.out && !a.cancelled })
}

// track keeps the count of jobs that wait with the module.
func (j *job) track() {
	held := j.active && !j.live()
	switch {
	case held && !j.held:
		j.service.held++
	case !held && j.held:
		j.service.held--
	}
	j.held = held
}

func (c *Core) handOver(m *message, s *service, token bool) {
	c.lastJob++
	j := &job{id: c.lastJob, service: s, message: m, active: true, token: token, tokenAt: c.now}
	c.jobs[j.id] = j
	s.open++
	m.job, m.service = j, s
	j.track()
	c.schedule(m, handed, c.now+giveBack)
	c.feed(s, ravendale.Event{Kind: ravendale.JobArrived, Job: ravendale.JobID(j.id), Class: 0, Tenant: -1, Left: jobDeadline, Retry: m.tried})
	m.tried = true
}

func (c *Core) close(j *job) {
	if !j.active {
		return
	}
	j.active = false
	c.feed(j.service, ravendale.Event{Kind: ravendale.ClientLeft, Job: ravendale.JobID(j.id)})
	c.forgetJob(j)
}

func (c *Core) forgetJob(j *job) {
	j.track()
	if !j.active && j.out == 0 && c.jobs[j.id] == j {
		delete(c.jobs, j.id)
		j.service.open--
	}
}

// carryOut does what a module asks for.
func (c *Core) carryOut(s *service, a ravendale.Action) {
	switch a.Kind {
	case ravendale.SetTimer:
		s.timer = min(s.timer, c.now+a.Wait)
		return
	case ravendale.Send, ravendale.Cancel, ravendale.Refuse, ravendale.Fail:
	default:
		return
	}
	j := c.jobs[JobID(a.Job)]
	if j == nil {
		return
	}
	switch a.Kind {
	case ravendale.Send:
		c.send(j, a.Worker)
	case ravendale.Cancel:
		c.cancel(j, a.Attempt)
	default:
		c.givenUp(j)
	}
}

func (c *Core) cancel(j *job, number int) {
	if a := &j.attempts[number]; a.out && !a.cancelled {
		a.cancelled = true
		c.act(Cancel{Job: j.id, Attempt: number})
	}
}

// givenUp takes a message back that its module has no more use for.
func (c *Core) givenUp(j *job) {
	if !j.active {
		return
	}
	j.active = false
	c.forgetJob(j)
	m := j.message
	m.job, m.service = nil, nil
	if c.stopping {
		c.release(m)
		return
	}
	if j.full {
		c.requeue(m, j.service)
		return
	}
	c.pause(m)
}

// requeue has a message wait until a worker has room. What takes tokens would spend them on asking.
func (c *Core) requeue(m *message, s *service) {
	if s.bucket != nil {
		c.pause(m)
		return
	}
	c.wait(m, c.now)
}

// send makes an attempt, if the newest configuration still wants it.
func (c *Core) send(j *job, name string) {
	number, copies := len(j.attempts), j.live()
	j.attempts = append(j.attempts, attempt{worker: name, out: true})
	j.out++
	j.track()
	m := j.message
	route, s, gone := c.route(m)
	address := j.service.addresses[name]
	switch {
	case !j.active || address == "":
		c.ended(j, number, worker.Result{Outcome: worker.NotRun})
	case copies && s.queue.len() > 0: // N, the open messages, counts those that wait
		c.ended(j, number, worker.Result{Outcome: worker.NoRoom})
	case c.stopping:
		c.unsent(j, number)
		c.release(m)
	case gone || c.now >= m.expires || s != j.service || j.lacksToken(c.now):
		c.unsent(j, number)
		c.wait(m, c.now)
	default:
		instance := name
		if s.endpoint != "" {
			instance = ""
		}
		c.act(Deliver{Job: j.id, Attempt: number, Delivery: worker.Delivery{
			Worker: name, Address: address, Instance: instance,
			Method: m.Method, Host: m.Host, Target: m.Target, RequestID: m.RequestID, OrderKey: m.Key,
			ContentType: m.ContentType, Body: m.Body, Limit: milliseconds(route.TimeoutMs),
		}})
	}
}

func milliseconds(figure float64) time.Duration {
	return time.Duration(figure * float64(time.Millisecond))
}

// unsent ends an attempt that was not made, and its job.
func (c *Core) unsent(j *job, number int) {
	j.attempts[number].out = false
	j.out--
	j.active = false
	j.message.job, j.message.service = nil, nil
	c.refund(j)
	c.feed(j.service, ravendale.Event{Kind: ravendale.AttemptEnded, Job: ravendale.JobID(j.id), Attempt: number, Outcome: ravendale.NotSent, Closed: true})
	c.forgetJob(j)
}

// lacksToken says whether an attempt has to wait for a token: the one that the job had was given back, or waited with the module, and
// there is no other. Tokens that wait somewhere would all be spent at once on top of those that came to the bucket meanwhile.
func (j *job) lacksToken(now time.Duration) bool {
	if j.service.bucket == nil {
		return false
	}
	if !j.token || now-j.tokenAt > tokenLife {
		j.token, j.tokenAt = j.service.bucket.take(now), now
	}
	return !j.token
}

// refund gives a token back whose attempt never came to the worker.
func (c *Core) refund(j *job) {
	if j.token && j.service.bucket != nil {
		j.token = false
		j.service.bucket.refund()
	}
}
