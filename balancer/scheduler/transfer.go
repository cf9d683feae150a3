package scheduler

import (
	"maps"
	"slices"
	"time"

	"ravendale"
)

// TransferredRequest is a request that another process of this scheduler continues: see Transfer.
type TransferredRequest struct {
	ID        string                      `json:"id"`
	Class     string                      `json:"class"`
	AnswerBy  time.Duration               `json:"answer_by"` // on the clock that both processes share
	Facts     Facts                       `json:"facts"`     // its Class and Left are ignored in favour of Class and AnswerBy above
	Attempts  []ravendale.AttemptSnapshot `json:"attempts,omitempty"`
	Unreached int                         `json:"unreached,omitempty"` // how many of Attempts failed to connect
}

// Terms are the settings under which a process accepts requests. It continues only requests accepted under equal terms.
type Terms struct {
	Classes  []ravendale.Class `json:"classes"`
	Attempts int               `json:"attempts"` // limit for one request
}

// Terms returns the terms of the requests that arrive from now on.
func (s *Scheduler) Terms() *Terms {
	return &Terms{Classes: s.settings.Classes, Attempts: s.settings.MaxAttempts}
}

// suits reports whether a request was accepted under these terms.
func (t *Terms) suits(n *Session) bool {
	return n.attempts == t.Attempts && slices.Contains(t.Classes, n.class)
}

// Transfer passes the requests in progress that were accepted under the given terms to transfer, one by one. If transfer
// returns false, the request stays here. A transferred request is no longer answered by this process; its attempts go on, and
// their reports go to the other process. Only a request whose attempts have each ended or been accepted by their backend
// server can be transferred: other attempts still need a connection of this process. Transfer returns the number transferred.
func (s *Scheduler) Transfer(terms *Terms, transfer func(TransferredRequest, *Exchange) bool) (given int) {
	for _, job := range slices.Sorted(maps.Keys(s.sessions)) { // oldest first
		n := s.sessions[job]
		if n == nil || n.closed || !terms.suits(n) || !n.transferable() {
			continue
		}
		c := TransferredRequest{ID: n.ex.ID, Class: n.class.Name, AnswerBy: n.answerBy, Facts: n.ex.Facts,
			Attempts: s.module.Attempts(n.job), Unreached: n.unreached}
		if transfer(c, n.ex) {
			n.handOver()
			given++
		}
	}
	return given
}

// transferable reports whether each attempt has ended or can go on without this process.
func (n *Session) transferable() bool {
	for _, d := range n.dispatches {
		if !d.done && !n.s.backend.Transferable(d) {
			return false
		}
	}
	return true
}

// handOver removes a session that another process has taken over. For the module its client has left; the attempts that the
// module then wants to cancel are not cancelled, since the session has already been removed.
func (n *Session) handOver() {
	s := n.s
	delete(s.sessions, n.job)
	delete(s.byID, n.ex.ID)
	s.keep(n.ex.ID, s.idRetention(), &s.expiringIDs)
	s.loop.Deadlines.Drop(n.guard)
	n.closed = true
	s.feed(ravendale.Event{Kind: ravendale.ClientLeft, Job: n.job})
	for _, d := range n.dispatches {
		if !d.done {
			s.backend.Release(d)
			d.finish(ravendale.Cancelled)
		}
	}
	s.checkQuiet()
}

// Adopt continues a request that another process transferred.
func (s *Scheduler) Adopt(c TransferredRequest, ex *Exchange) {
	ex.ID, ex.Facts = c.ID, c.Facts
	ex.Facts.Class = slices.IndexFunc(s.settings.Classes, func(class ravendale.Class) bool { return class.Name == c.Class })
	ex.Facts.Left = max(c.AnswerBy-s.loop.Now(), 0)
	ex.Facts.Retry = true // it has arrived at this scheduler before, and is already counted as an arrival
	n := s.open(ex)
	n.unreached = c.Unreached
	for i, a := range c.Attempts {
		d := &Dispatch{Session: n, Worker: a.Worker, Deadline: n.answerBy, number: i, sentAt: a.SentAt, begun: true, done: !a.InFlight}
		n.dispatches = append(n.dispatches, d)
		if !a.InFlight {
			continue
		}
		n.inFlight++
		d.startDeadline()
		s.backend.Adopt(d)
		if s.peers != nil {
			s.peers.Sent(d.Worker)
		}
	}
	s.arrived(n, c.Attempts)
}
