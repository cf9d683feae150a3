package scheduler

import (
	"time"

	"ravendale"
	"ravendale/balancer/deadline"
)

// Session is a request in progress.
type Session struct {
	s          *Scheduler
	job        ravendale.JobID
	ex         *Exchange
	class      ravendale.Class // as it was when the request came, like attempts: a change of settings is not for it
	attempts   int             // that may reach a backend server: one whose connection never came up is none, by the protocol
	unreached  int             // dispatches whose connection never came up
	answerBy   time.Duration
	guard      *deadline.Deadline
	dispatches []*Dispatch
	inFlight   int  // dispatches without an outcome
	closed     bool // it has had its answer, or the client has left
}

// Accept takes a request. It calls Repeated where one with that id is in progress, or was of late: clients never use one
// twice, and nothing changes for the first.
func (s *Scheduler) Accept(ex *Exchange) {
	if _, was := s.recent[ex.ID]; was || s.byID[ex.ID] != nil {
		ex.Repeated()
		return
	}
	if s.gate != nil && !s.gate() {
		s.CountUnsent(ex.Facts.Class, Leaving)
		ex.Answer(Answer{Kind: Refused})
		return
	}
	n := s.open(ex)
	if c, given := s.figures.Classes[n.class.Name]; given {
		c.Taken++
		s.figures.Classes[n.class.Name] = c
	}
	s.arrived(n, nil)
}

// Gate has a function asked before each new request: where it says no the request is refused at once. What is in progress goes
// on.
func (s *Scheduler) Gate(may func() bool) { s.gate = may }

// open makes a session of a request, and takes it in progress.
func (s *Scheduler) open(ex *Exchange) *Session {
	s.lastJob++
	n := &Session{s: s, job: s.lastJob, ex: ex, attempts: s.settings.MaxAttempts, class: ravendale.Class{Effect: ravendale.Unsafe},
		answerBy: s.loop.Now() + ex.Facts.Left}
	ex.session = n
	if c := ex.Facts.Class; c >= 0 && c < len(s.settings.Classes) {
		n.class = s.settings.Classes[c]
	}
	s.sessions[n.job], s.byID[ex.ID] = n, n
	if s.twin != nil {
		s.twin.Took(ex.ID)
	}
	// Guards against a module that stays silent: the answer is owed before the client gives up.
	n.guard = s.loop.Deadlines.Add(n.answerBy+answerSlack, func() {
		s.log.Error("session ended by its guard", "id", ex.ID)
		n.end(Answer{Kind: Failed})
		s.feed(ravendale.Event{Kind: ravendale.ClientLeft, Job: n.job})
	})
	return n
}

// arrived tells the module of a session, with the attempts that another process made for it.
func (s *Scheduler) arrived(n *Session, attempts []ravendale.AttemptSnapshot) {
	f := &n.ex.Facts
	s.feed(ravendale.Event{Kind: ravendale.JobArrived, Job: n.job, Class: f.Class, Tenant: f.Tenant, Key: f.Key,
		Left: f.Left, Work: f.Work, Slots: f.Slots, Memory: f.Memory, Retry: f.Retry, Attempts: attempts})
}

func (n *Session) send(a *ravendale.Action) {
	s, now := n.s, n.s.loop.Now()
	d := &Dispatch{Session: n, Worker: a.Worker, Deadline: n.answerBy, number: len(n.dispatches), by: a.By, sentAt: now}
	if a.Wait > 0 {
		d.Deadline = min(d.Deadline, now+a.Wait)
	}
	n.dispatches = append(n.dispatches, d)
	n.inFlight++
	if n.closed || a.Wait < 0 || now >= d.Deadline || len(n.dispatches)-n.unreached > n.attempts {
		d.finish(ravendale.NotSent)
		return
	}
	d.limit()
	if d.begun = true; s.twin != nil {
		s.twin.Sent(d.Worker)
	}
	if s.traces() {
		s.log.Debug("send", "job", n.job, "try", d.number, "class", n.class.Name, "server", d.Worker, "cold", s.WarmingUp(d.Worker), "open", len(s.byID))
	}
	s.backend.Send(d)
}

// end gives the final answer; only the first counts.
func (n *Session) end(a Answer) {
	if n.closed {
		return
	}
	n.close()
	why, unsent := n.unsent(a)
	if unsent {
		n.s.figures.Unsent[why]++
	}
	if n.s.traces() {
		args := []any{"job", n.job, "class", n.class.Name, "kind", a.Kind, "tries", len(n.dispatches),
			"left", n.answerBy - n.s.loop.Now(), "came", n.ex.Facts.Left}
		if unsent {
			args = append(args, "why", why.String())
		}
		n.s.log.Debug("answer", args...)
	}
	n.s.count(n.class.Name, a.Kind)
	n.ex.Answer(a)
	n.retract()
}

// retract keeps what has not begun from beginning, where the module may not cancel, too.
func (n *Session) retract() {
	for _, d := range n.dispatches {
		if !d.done {
			n.s.backend.Retract(d)
		}
	}
}

// unsent tells whether an answer ends a request that no backend server was sent, and why: with time left, the module
// gave up on a start; without, time ran out first. A dispatch that was decided but not begun was sent nowhere, nor was
// one whose connection never came up.
func (n *Session) unsent(a Answer) (Unsent, bool) {
	begun := 0
	for _, d := range n.dispatches {
		if d.begun {
			begun++
		}
	}
	if a.Kind == Served || begun > n.unreached {
		return 0, false
	}
	if n.answerBy <= n.s.loop.Now() {
		return NoTime, true
	}
	return NoStart, true
}

func (n *Session) clientLeft() {
	if n.closed {
		return
	}
	n.close()
	if n.s.traces() {
		n.s.log.Debug("left", "job", n.job, "tries", len(n.dispatches))
	}
	n.s.feed(ravendale.Event{Kind: ravendale.ClientLeft, Job: n.job})
	n.retract()
}

func (n *Session) close() {
	n.closed = true
	for _, d := range n.dispatches {
		d.off.Store(true)
	}
	n.s.loop.Deadlines.Drop(n.guard)
	delete(n.s.byID, n.ex.ID)
	n.s.keep(n.ex.ID, n.s.idKept(), &n.s.kept)
	n.forget()
	n.s.checkQuiet()
}

// forget drops a session of which nothing more can come.
func (n *Session) forget() {
	if n.closed && n.inFlight == 0 {
		delete(n.s.sessions, n.job)
	}
}
