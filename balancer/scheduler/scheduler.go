// Package scheduler runs the decision module among real events. It knows sessions (a client's request),
// dispatches (one attempt at a backend server) and time, but no protocol: frontends and backends of
// any kind meet in an Exchange.
package scheduler

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"ravendale"
	"ravendale/balancer/deadline"
)

// Backend carries out dispatches. Each Send is to lead to exactly one Dispatch.End, unless Withdraw comes before.
type Backend interface {
	Send(d *Dispatch)
	Withdraw(d *Dispatch) // stop waiting for it, and stop the work if possible
	Retract(d *Dispatch)  // its request is over: unless it has begun it must not, and ends as not sent
	Avoid(worker string)  // it drains or is gone: what is not on its way there must not go

	Settled(d *Dispatch) bool // whether it needs no connection of this process any more
	Release(d *Dispatch)      // of those: another process goes on with it
	Adopt(d *Dispatch)        // takes one that another process released
}

// ServerTable watches the list of backend servers, and tells Scheduler.Listed.
type ServerTable interface{ Watch() }

// Twin stands for the other processes of one scheduler while a new version takes over from an old one.
type Twin interface {
	Took(id string)      // a request is in hand here
	Sent(worker string)  // a dispatch went there
	Ended(worker string) // one of those is over
}

// answerSlack is how long after the client's time the module may still end a session. It acts at that time
// itself; this only guards the rule that nothing taken stays unanswered.
const answerSlack = 5 * time.Millisecond

// lateWord is how long after the end of a request some word of a backend server on it may still come: a server tries
// every call until it is answered, ten times at most, and may have stood still before.
const lateWord = 5 * time.Second

// idKept is how long an id is not taken again after its request was answered: a word that comes late would count for the
// newcomer. An attempt that was given up may run on for as long as the longest job does.
func (s *Scheduler) idKept() time.Duration { return s.longest + lateWord }

// idKeptElsewhere is that for an id of the other process, which may still be in hand there for as long.
func (s *Scheduler) idKeptElsewhere() time.Duration { return 2*s.longest + lateWord }

// releaseEvery bounds how often ids are let go of.
const releaseEvery = 50 * time.Millisecond

// Scheduler carries out what the decision module decides. All of it belongs to the loop's goroutine.
type Scheduler struct {
	loop     *Loop
	module   *ravendale.Dispatcher
	settings ravendale.Settings
	longest  time.Duration // that a client has ever waited at most, by the settings
	backend  Backend
	twin     Twin               // nil at first
	there    map[string]float64 // the other one's dispatches, by server
	table    ServerTable
	log      *slog.Logger

	lastJob  ravendale.JobID
	sessions map[ravendale.JobID]*Session
	byID     map[string]*Session // those that are owed an answer
	past     map[string]struct{} // ids that were answered of late

	kept, keptElsewhere []keptID // those, in the order in which they are let go of

	gate    func() bool // whether a request may be taken now; nil: any
	quiet   func()      // called once nothing is owed
	figures Figures

	events  []ravendale.Event // not handled yet
	actions []ravendale.Action
	busy    bool
}

// New returns a scheduler, or the module's word on a setting that makes no sense.
func New(loop *Loop, settings ravendale.Settings, seed uint64, log *slog.Logger) (*Scheduler, error) {
	module, err := ravendale.New(settings, seed)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s := &Scheduler{loop: loop, module: module, settings: settings, log: log, figures: Figures{Classes: make(map[string]ClassFigures)},
		sessions: make(map[ravendale.JobID]*Session), byID: make(map[string]*Session), past: make(map[string]struct{}), there: make(map[string]float64)}
	s.name()
	s.longest = settings.LongestDeadline()
	return s, nil
}

// Retune takes other settings for the requests that come from now on.
func (s *Scheduler) Retune(settings ravendale.Settings) error {
	if err := s.module.Retune(settings); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	s.settings = settings
	s.longest = max(s.longest, settings.LongestDeadline()) // of those in hand too
	s.name()
	return nil
}

// Connect gives the scheduler its server side; it comes before the first event.
func (s *Scheduler) Connect(b Backend, t ServerTable) { s.backend, s.table = b, t }

// Join tells what all processes must know to the others from now on. The dispatches of those that are gone are over; of
// those that stay, what is out now is no longer counted either.
func (s *Scheduler) Join(t Twin) {
	s.twin = t
	for worker, n := range s.there {
		s.feed(ravendale.Event{Kind: ravendale.SentElsewhere, Worker: worker, Slots: -n})
	}
	s.there = make(map[string]float64)
}

// Past returns what a process that takes over is to know: the module's memory and the ids that may not come again.
func (s *Scheduler) Past() (*ravendale.Snapshot, []string) {
	return s.module.Snapshot(), append(slices.Collect(maps.Keys(s.byID)), slices.Collect(maps.Keys(s.past))...)
}

// Inherit takes what Past returned, after the list.
func (s *Scheduler) Inherit(past *ravendale.Snapshot, ids []string) {
	for _, id := range ids {
		s.TookElsewhere(id)
	}
	if past != nil {
		s.feed(ravendale.Event{Kind: ravendale.Inherited, Snapshot: past})
		for worker, was := range past.Workers {
			s.there[worker] = was.Slots
		}
		for worker := range past.Detached {
			s.backend.Avoid(worker)
		}
	}
}

// TookElsewhere notes an id that the other process has in hand, or had.
func (s *Scheduler) TookElsewhere(id string) { s.keep(id, s.idKeptElsewhere(), &s.keptElsewhere) }

// SentElsewhere notes a dispatch of the other process, and EndedElsewhere the end of one.
func (s *Scheduler) SentElsewhere(worker string) { s.elsewhere(worker, 1) }

// EndedElsewhere undoes SentElsewhere.
func (s *Scheduler) EndedElsewhere(worker string) { s.elsewhere(worker, -1) }

func (s *Scheduler) elsewhere(worker string, slots float64) {
	if s.there[worker]+slots < 0 {
		return // sent before the two joined
	}
	s.there[worker] += slots
	s.feed(ravendale.Event{Kind: ravendale.SentElsewhere, Worker: worker, Slots: slots})
}

// keep notes an id that is not taken again for a while. There may be as many as come in idKept, so they share one
// deadline, and no longer hold the request's head that they were cut from.
func (s *Scheduler) keep(id string, long time.Duration, of *[]keptID) {
	id = strings.Clone(id)
	s.past[id] = struct{}{}
	if *of = append(*of, keptID{id, s.loop.Now() + long}); len(*of) == 1 {
		s.loop.After(long, func() { s.release(of) })
	}
}

// keptID is an id, and until when it is kept.
type keptID struct {
	id   string
	till time.Duration
}

// release lets go of the ids whose time has come.
func (s *Scheduler) release(of *[]keptID) {
	n := 0
	for n < len(*of) && (*of)[n].till <= s.loop.Now() {
		delete(s.past, (*of)[n].id)
		(*of)[n] = keptID{}
		n++
	}
	if *of = (*of)[n:]; len(*of) > 0 {
		s.loop.Deadlines.Add(max((*of)[0].till, s.loop.Now()+releaseEvery), func() { s.release(of) })
	} else {
		*of = nil
	}
}

// Cold says whether a backend server is taken to be warming still.
func (s *Scheduler) Cold(worker string) bool { return s.module.WarmingUp(worker, s.loop.Now()) }

// Owed is how many requests wait for their answer.
func (s *Scheduler) Owed() int { return len(s.byID) }

// Leave tells that all that is owed, or comes yet, is to be answered within a time.
func (s *Scheduler) Leave(within time.Duration) {
	s.feed(ravendale.Event{Kind: ravendale.Leaving, Left: within})
}

// WhenQuiet has f called, once, as soon as nothing is owed.
func (s *Scheduler) WhenQuiet(f func()) {
	s.quiet = f
	s.checkQuiet()
}

func (s *Scheduler) checkQuiet() {
	if f := s.quiet; f != nil && len(s.byID) == 0 {
		s.quiet = nil
		f()
	}
}

// Session is a request in hand.
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
	out        int  // dispatches without an outcome
	closed     bool // it has had its answer, or the client has left
}

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
	ended  bool
}

// Repeatable says whether the request may run any number of times.
func (d *Dispatch) Repeatable() bool { return d.Session.class.Effect == ravendale.Safe }

// Due says whether the last byte of the request, with which it begins, may be written at a time. Any loop may ask. A connection can
// take longer to come up than the request lives, or than a server drops a repeat of it.
func (d *Dispatch) Due(now time.Duration) bool { return !d.off.Load() && now < d.by }

// Exchange is the request that the dispatch is for.
func (d *Dispatch) Exchange() *Exchange { return d.Session.ex }

// Accept takes a request. It calls Repeated where one with that id is in hand, or was of late: clients never use one
// twice, and nothing changes for the first.
func (s *Scheduler) Accept(ex *Exchange) {
	if _, was := s.past[ex.ID]; was || s.byID[ex.ID] != nil {
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

// Gate has a function asked before each new request: where it says no the request is refused at once. What is in hand goes on.
func (s *Scheduler) Gate(may func() bool) { s.gate = may }

// open makes a session of a request, and takes it in hand.
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

// Listed takes what the server table learnt. Servers that drain or have gone are avoided at once; the
// module hears of them before it hears what became of the dispatches that were still here.
func (s *Scheduler) Listed(kind ravendale.ListKind, entries []ravendale.Entry) {
	s.feed(ravendale.Event{Kind: ravendale.WorkersListed, List: kind, Entries: entries})
	for i := range entries {
		if entries[i].State != ravendale.Ready {
			s.backend.Avoid(entries[i].Worker)
		}
	}
}

// Hand takes a backend server out by hand, or puts it back; whatever is listed meanwhile, nothing new goes to one that is
// out. It returns false where no such server is known.
func (s *Scheduler) Hand(worker string, out bool) bool {
	if !s.module.Knows(worker) {
		return false
	}
	if !out {
		s.feed(ravendale.Event{Kind: ravendale.WorkerAttached, Worker: worker})
		return true
	}
	s.feed(ravendale.Event{Kind: ravendale.WorkerDetached, Worker: worker})
	s.backend.Avoid(worker)
	return true
}

// feed hands the module an event and carries out its actions in order. Events that come up meanwhile wait.
func (s *Scheduler) feed(ev ravendale.Event) {
	s.events = append(s.events, ev)
	if s.busy {
		return
	}
	s.busy = true
	for i := 0; i < len(s.events); i++ {
		s.actions = s.module.Handle(s.loop.Now(), &s.events[i], s.actions[:0])
		for j := range s.actions {
			s.carryOut(&s.actions[j])
		}
	}
	clear(s.events)
	s.events, s.busy = s.events[:0], false
}

func (s *Scheduler) carryOut(a *ravendale.Action) {
	n := s.sessions[a.Job]
	switch a.Kind {
	case ravendale.SetTimer:
		s.loop.After(a.Wait, func() { s.feed(ravendale.Event{Kind: ravendale.TimerFired}) })
	case ravendale.WatchList:
		s.table.Watch()
	case ravendale.Send:
		if n != nil {
			n.send(a)
		}
	case ravendale.Cancel:
		if n != nil && a.Attempt >= 0 && a.Attempt < len(n.dispatches) {
			if d := n.dispatches[a.Attempt]; !d.ended {
				s.backend.Withdraw(d)
				d.finish(ravendale.Cancelled)
			}
		}
	case ravendale.Refuse:
		if n != nil {
			n.end(Answer{Kind: Refused, RetryAfter: a.Wait})
		}
	case ravendale.Fail:
		if n != nil {
			n.end(Answer{Kind: Failed})
		}
	case ravendale.Probe, ravendale.NotifyPeers: // ruled out at every site of this platform
	}
}

// traces says whether each attempt is logged: `ravendale-lab trace` counts them across many schedulers.
func (s *Scheduler) traces() bool { return s.log.Enabled(context.Background(), slog.LevelDebug) }

func (n *Session) send(a *ravendale.Action) {
	s, now := n.s, n.s.loop.Now()
	d := &Dispatch{Session: n, Worker: a.Worker, Deadline: n.answerBy, number: len(n.dispatches), by: a.By, sentAt: now}
	if a.Wait > 0 {
		d.Deadline = min(d.Deadline, now+a.Wait)
	}
	n.dispatches = append(n.dispatches, d)
	n.out++
	if n.closed || a.Wait < 0 || now >= d.Deadline || len(n.dispatches)-n.unreached > n.attempts {
		d.finish(ravendale.NotSent)
		return
	}
	d.limit()
	if d.begun = true; s.twin != nil {
		s.twin.Sent(d.Worker)
	}
	if s.traces() {
		s.log.Debug("send", "job", n.job, "try", d.number, "class", n.class.Name, "server", d.Worker, "cold", s.Cold(d.Worker), "open", len(s.byID))
	}
	s.backend.Send(d)
}

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
	d.tell(func() {
		s := d.Session.s
		if s.figures.Sends++; s.traces() {
			s.log.Debug("sent", "job", d.Session.job, "try", d.number, "server", d.Worker)
		}
	})
}

// Started tells that the job runs.
func (d *Dispatch) Started() { d.note(ravendale.JobStarted, 0) }

// Silent tells that the backend server has not said a word on it, long after it should have.
func (d *Dispatch) Silent() { d.note(ravendale.AttemptUnresponsive, 0) }

// Progressed tells which part of the job is done.
func (d *Dispatch) Progressed(done float64) { d.note(ravendale.JobProgressed, done) }

func (d *Dispatch) note(kind ravendale.EventKind, done float64) {
	d.tell(func() {
		if !d.ended {
			if s := d.Session.s; s.traces() {
				s.log.Debug("note", "job", d.Session.job, "try", d.number, "server", d.Worker, "kind", kind, "took", s.loop.Now()-d.sentAt)
			}
			d.Session.s.feed(ravendale.Event{Kind: kind, Job: d.Session.job, Attempt: d.number, Done: done})
		}
	})
}

// tell calls f in the scheduler's turn.
func (d *Dispatch) tell(f func()) {
	if d.Relay != nil {
		d.Relay(f)
	} else {
		f()
	}
}

// End gives the outcome of a dispatch; only the first counts. The first OK of a session is its answer.
func (d *Dispatch) End(outcome ravendale.Outcome, result []byte) {
	d.tell(func() {
		if d.ended {
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
	if d.ended {
		return
	}
	n := d.Session
	d.ended = true
	n.s.loop.Deadlines.Drop(d.timer)
	n.out--
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
		if !d.ended {
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
	if n.closed && n.out == 0 {
		delete(n.s.sessions, n.job)
	}
}
