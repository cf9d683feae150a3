package scheduler

import (
	"time"

	"ravendale"
	"ravendale/balancer/deadline"
)

// Session is a client request in progress.
type Session struct {
	s          *Scheduler
	job        ravendale.JobID
	ex         *Exchange
	class      ravendale.Class // as of the arrival, like attempts: later changes of settings do not apply to the session
	attempts   int             // limit on attempts that may reach a backend server; one whose connection failed does not count, by the protocol
	unreached  int             // dispatches whose connection could not be established
	answerBy   time.Duration
	guard      *deadline.Deadline
	dispatches []*Dispatch
	inFlight   int  // dispatches without an outcome
	closed     bool // it was answered, or the client disconnected
}

// Accept starts a session for a request. If a request with the same ID is in progress or ended recently, it calls Repeated
// instead, and the first request is unaffected: clients never reuse an ID.
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

// Gate sets a function that is called before each new request is accepted; if it returns false, the request is refused at
// once. Requests in progress are unaffected.
func (s *Scheduler) Gate(may func() bool) { s.gate = may }

// open creates and registers the session of a request.
func (s *Scheduler) open(ex *Exchange) *Session {
	s.lastJob++
	n := &Session{s: s, job: s.lastJob, ex: ex, attempts: s.settings.MaxAttempts, class: ravendale.Class{Effect: ravendale.Unsafe},
		answerBy: s.loop.Now() + ex.Facts.Left}
	ex.session = n
	if c := ex.Facts.Class; c >= 0 && c < len(s.settings.Classes) {
		n.class = s.settings.Classes[c]
	}
	s.sessions[n.job], s.byID[ex.ID] = n, n
	if s.peers != nil {
		s.peers.Took(ex.ID)
	}
	// Guards against a module that never ends the session: the client must be answered before it gives up.
	n.guard = s.loop.Deadlines.Add(n.answerBy+answerSlack, func() {
		s.log.Error("session was still unanswered after its deadline; failing it", "id", ex.ID)
		n.end(Answer{Kind: Failed})
		s.feed(ravendale.Event{Kind: ravendale.ClientLeft, Job: n.job})
	})
	return n
}

// arrived passes a new session to the module, with the attempts that another process made for it.
func (s *Scheduler) arrived(n *Session, attempts []ravendale.AttemptSnapshot) {
	f := &n.ex.Facts
	s.feed(ravendale.Event{Kind: ravendale.JobArrived, Job: n.job, Class: f.Class, Tenant: f.Tenant, Key: f.Key,
		TimeLeft: f.Left, Work: f.Work, Slots: f.Slots, Memory: f.Memory, Retry: f.Retry, Attempts: attempts})
}

func (n *Session) send(a *ravendale.Action) {
	s, now := n.s, n.s.loop.Now()
	d := &Dispatch{Session: n, Worker: a.Worker, Deadline: n.answerBy, number: len(n.dispatches), sendBy: a.SendBefore, sentAt: now}
	if a.Wait > 0 {
		d.Deadline = min(d.Deadline, now+a.Wait)
	}
	n.dispatches = append(n.dispatches, d)
	n.inFlight++
	if n.closed || a.Wait < 0 || now >= d.Deadline || len(n.dispatches)-n.unreached > n.attempts {
		d.finish(ravendale.NotSent)
		return
	}
	d.startDeadline()
	if d.begun = true; s.peers != nil {
		s.peers.Sent(d.Worker)
	}
	if s.traces() {
		s.log.Debug("send", "job", n.job, "try", d.number, "class", n.class.Name, "server", d.Worker, "cold", s.WarmingUp(d.Worker), "open", len(s.byID))
	}
	s.backend.Send(d)
}

// end sends the final answer; only the first call counts.
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

// retract prevents dispatches that have not begun from beginning, even if the module may not cancel attempts.
func (n *Session) retract() {
	for _, d := range n.dispatches {
		if !d.done {
			n.s.backend.Retract(d)
		}
	}
}

// unsent reports whether the answer ends a request that was never sent to a backend server, and the reason: NoStart if time
// was left, as the module gave up then, and NoTime otherwise. A dispatch that was decided but not begun does not count as
// sent, nor does one whose connection could not be established.
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
		d.requestEnded.Store(true)
	}
	n.s.loop.Deadlines.Drop(n.guard)
	delete(n.s.byID, n.ex.ID)
	n.s.keep(n.ex.ID, n.s.idRetention(), &n.s.expiringIDs)
	n.forget()
	n.s.checkQuiet()
}

// forget removes a session that is closed and has no dispatch in flight.
func (n *Session) forget() {
	if n.closed && n.inFlight == 0 {
		delete(n.s.sessions, n.job)
	}
}
