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

	// MayBegin, if set, is asked just before the first byte: where the backend has other loops than the scheduler, what
	// was decided may come too late, or be undone. One that may not begin ends as not sent.
	MayBegin func() bool
	// Relay, if set, brings what the backend tells to the scheduler's loop.
	Relay func(func())
	Core  int // that carries it out, where there are several

	number int
	by     time.Duration // a repeat that begins later could run twice
	off    atomic.Bool   // its request is over
	sentAt time.Duration
	timer  *deadline.Deadline
	begun  bool // the backend has it
	done   bool
}

// Repeatable says whether the request may run any number of times.
func (d *Dispatch) Repeatable() bool { return d.Session.class.Effect == ravendale.Safe }

// Due says whether the last byte of the request, with which it begins, may be written at a time. Any loop may ask. A connection
// can take longer to come up than the request lives, or than a server drops a repeat of it.
func (d *Dispatch) Due(now time.Duration) bool { return !d.off.Load() && now < d.by }

// Exchange is the request that the dispatch is for.
func (d *Dispatch) Exchange() *Exchange { return d.Session.ex }

// limit ends a dispatch at its deadline.
func (d *Dispatch) limit() {
	s := d.Session.s
	d.timer = s.loop.Deadlines.Add(d.Deadline, func() {
		s.backend.Withdraw(d)
		d.finish(ravendale.TimedOut)
	})
}

// Sent tells that the request is written whole.
func (d *Dispatch) Sent() {
	d.relay(func() {
		s := d.Session.s
		if s.figures.Sends++; s.traces() {
			s.log.Debug("sent", "job", d.Session.job, "try", d.number, "server", d.Worker)
		}
	})
}

// Started tells that the job runs.
func (d *Dispatch) Started() { d.report(ravendale.JobStarted, 0) }

// Unresponsive tells that the backend server has not answered it, long after it should have.
func (d *Dispatch) Unresponsive() { d.report(ravendale.AttemptUnresponsive, 0) }

// Progressed tells which part of the job is done.
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

// relay calls f in the scheduler's turn.
func (d *Dispatch) relay(f func()) {
	if d.Relay != nil {
		d.Relay(f)
	} else {
		f()
	}
}

// End gives the outcome of a dispatch; only the first counts. The first OK of a session is its answer.
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

// finish tells the module an outcome, once.
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
	if n.s.twin != nil && d.begun {
		n.s.twin.Ended(d.Worker)
	}
	if n.s.traces() {
		n.s.log.Debug("end", "job", n.job, "try", d.number, "server", d.Worker, "outcome", outcome, "took", n.s.loop.Now()-d.sentAt)
	}
	n.s.feed(ravendale.Event{Kind: ravendale.AttemptEnded, Job: n.job, Attempt: d.number, Outcome: outcome,
		Took: n.s.loop.Now() - d.sentAt, Closed: n.closed})
	n.forget()
}
