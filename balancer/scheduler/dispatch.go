package scheduler

import (
	"sync/atomic"
	"time"

	"ravendale"
	"ravendale/balancer/deadline"
)

// Dispatch is one attempt of a session at one backend server.
type Dispatch struct {
	Session  *Session
	Worker   string
	Deadline time.Duration // when the scheduler stops waiting

	// MayBegin, if set, is called just before the first byte is written. Where the backend runs on other loops than the
	// scheduler, a decision may arrive too late or have been revoked. If it returns false, the dispatch ends as NotSent.
	MayBegin func() bool
	// Relay, if set, passes the backend's reports to the scheduler's loop.
	Relay func(func())
	Core  int // the core that executes it, if there are several

	number       int
	sendBy       time.Duration // latest start: a repeat that begins later could run twice
	requestEnded atomic.Bool   // its request has ended
	sentAt       time.Duration
	timer        *deadline.Deadline
	begun        bool // it was passed to the backend
	done         bool
}

// Repeatable reports whether the request may run any number of times.
func (d *Dispatch) Repeatable() bool { return d.Session.class.Effect == ravendale.Safe }

// Due reports whether the last byte of the request may be written at the given time; the server starts the request when it
// receives that byte. Any loop may call it. Establishing a connection can take longer than the client waits, or than the
// server recognises and drops a repeat of the request.
func (d *Dispatch) Due(now time.Duration) bool { return !d.requestEnded.Load() && now < d.sendBy }

// Exchange returns the request that the dispatch is for.
func (d *Dispatch) Exchange() *Exchange { return d.Session.ex }

// startDeadline sets the timer that ends the dispatch as TimedOut at its deadline.
func (d *Dispatch) startDeadline() {
	s := d.Session.s
	d.timer = s.loop.Deadlines.Add(d.Deadline, func() {
		s.backend.Withdraw(d)
		d.finish(ravendale.TimedOut)
	})
}

// Sent reports that the request has been written completely.
func (d *Dispatch) Sent() {
	d.relay(func() {
		s := d.Session.s
		if s.figures.Sends++; s.traces() {
			s.log.Debug("sent", "job", d.Session.job, "try", d.number, "server", d.Worker)
		}
	})
}

// Started reports that the job is running.
func (d *Dispatch) Started() { d.report(ravendale.JobStarted, 0) }

// Unresponsive reports that the backend server has not answered long after it should have.
func (d *Dispatch) Unresponsive() { d.report(ravendale.AttemptUnresponsive, 0) }

// Progressed reports which fraction of the job is done.
func (d *Dispatch) Progressed(done float64) { d.report(ravendale.JobProgressed, done) }

func (d *Dispatch) report(kind ravendale.EventKind, done float64) {
	d.relay(func() {
		if !d.done {
			if s := d.Session.s; s.traces() {
				s.log.Debug("note", "job", d.Session.job, "try", d.number, "server", d.Worker, "kind", kind, "took", s.loop.Now()-d.sentAt)
			}
			d.Session.s.feed(ravendale.Event{Kind: kind, Job: d.Session.job, Attempt: d.number, Done: done})
		}
	})
}

// relay calls f in a turn of the scheduler's loop.
func (d *Dispatch) relay(f func()) {
	if d.Relay != nil {
		d.Relay(f)
	} else {
		f()
	}
}

// End reports the outcome of a dispatch; only the first call counts. The first OK of a session becomes its answer.
func (d *Dispatch) End(outcome ravendale.Outcome, result []byte) {
	d.relay(func() {
		if d.done {
			return
		}
		if outcome == ravendale.OK {
			d.Session.end(Answer{Kind: Served, Result: result})
		}
		d.finish(outcome)
	})
}

// finish passes the outcome to the decision module, once.
func (d *Dispatch) finish(outcome ravendale.Outcome) {
	if d.done {
		return
	}
	n := d.Session
	d.done = true
	n.s.loop.Deadlines.Drop(d.timer)
	n.inFlight--
	if outcome == ravendale.ConnectFailed {
		n.unreached++
	}
	if n.s.peers != nil && d.begun {
		n.s.peers.Ended(d.Worker)
	}
	if n.s.traces() {
		n.s.log.Debug("end", "job", n.job, "try", d.number, "server", d.Worker, "outcome", outcome, "took", n.s.loop.Now()-d.sentAt)
	}
	n.s.feed(ravendale.Event{Kind: ravendale.AttemptEnded, Job: n.job, Attempt: d.number, Outcome: outcome,
		Took: n.s.loop.Now() - d.sentAt, Closed: n.closed})
	n.forget()
}
