package scheduler

import (
	"maps"
	"slices"
	"time"

	"ravendale"
)

// TransferredRequest is a request that another process of this scheduler goes on with: see Transfer.
type TransferredRequest struct {
	ID        string                      `json:"id"`
	Class     string                      `json:"class"`
	AnswerBy  time.Duration               `json:"answer_by"` // on the clock that the two share
	Facts     Facts                       `json:"facts"`     // Class and Left count for nothing: see above
	Attempts  []ravendale.AttemptSnapshot `json:"attempts,omitempty"`
	Unreached int                         `json:"unreached,omitempty"` // of those, whose connection never came up
}

// Terms are what a process takes requests under. It goes on with one that was taken under the same.
type Terms struct {
	Classes  []ravendale.Class `json:"classes"`
	Attempts int               `json:"attempts"` // the most for a request
}

// Terms returns those for the requests that come from now on.
func (s *Scheduler) Terms() *Terms {
	return &Terms{Classes: s.settings.Classes, Attempts: s.settings.MaxAttempts}
}

// suits says whether a request was taken under these terms.
func (t *Terms) suits(n *Session) bool {
	return n.attempts == t.Attempts && slices.Contains(t.Classes, n.class)
}

// Transfer gives requests in progress away that the terms suit, each by transfer, which returns false where it can't be given:
// that one stays. What is given away is no longer owed here, its attempts go on, and nothing more is heard of them. Only a
// request of which each attempt has ended or was taken by its backend server can be given: the connections of the others are
// this process's.
func (s *Scheduler) Transfer(terms *Terms, transfer func(TransferredRequest, *Exchange) bool) (given int) {
	for _, job := range slices.Sorted(maps.Keys(s.sessions)) { // oldest first
		n := s.sessions[job]
		if n == nil || n.closed || !terms.suits(n) || !n.transferable() {
			continue
		}
		c := TransferredRequest{ID: n.ex.ID, Class: n.class.Name, AnswerBy: n.answerBy, Facts: n.ex.Facts,
			Attempts: s.module.Attempts(n.job), Unreached: n.unreached}
		if transfer(c, n.ex) {
			n.giveAway()
			given++
		}
	}
	return given
}

// transferable says whether each attempt has ended, or lives on without this process.
func (n *Session) transferable() bool {
	for _, d := range n.dispatches {
		if !d.done && !n.s.backend.Transferable(d) {
			return false
		}
	}
	return true
}

// giveAway forgets a session that is another process's now. The module takes it for one whose client has left; what it
// then wants cancelled is not, for the session is gone by then.
func (n *Session) giveAway() {
	s := n.s
	delete(s.sessions, n.job)
	delete(s.byID, n.ex.ID)
	s.keep(n.ex.ID, s.idKept(), &s.kept)
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

// Adopt goes on with a request that another process gave away.
func (s *Scheduler) Adopt(c TransferredRequest, ex *Exchange) {
	ex.ID, ex.Facts = c.ID, c.Facts
	ex.Facts.Class = slices.IndexFunc(s.settings.Classes, func(class ravendale.Class) bool { return class.Name == c.Class })
	ex.Facts.Left = max(c.AnswerBy-s.loop.Now(), 0)
	ex.Facts.Retry = true // it came to this scheduler before, and is counted in what comes
	n := s.open(ex)
	n.unreached = c.Unreached
	for i, a := range c.Attempts {
		d := &Dispatch{Session: n, Worker: a.Worker, Deadline: n.answerBy, number: i, sentAt: a.SentAt, begun: true, done: !a.InFlight}
		n.dispatches = append(n.dispatches, d)
		if !a.InFlight {
			continue
		}
		n.inFlight++
		d.limit()
		s.backend.Adopt(d)
		if s.twin != nil {
			s.twin.Sent(d.Worker)
		}
	}
	s.arrived(n, c.Attempts)
}
