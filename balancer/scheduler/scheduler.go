package scheduler

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"ravendale"
)

// Backend executes dispatches. Each Send is to lead to exactly one Dispatch.End, unless Withdraw comes before.
type Backend interface {
	Send(d *Dispatch)
	Withdraw(d *Dispatch) // stop waiting for it, and stop the work if possible
	Retract(d *Dispatch)  // its request is over: unless it has begun it must not, and ends as not sent
	Avoid(worker string)  // it drains or is gone: what is not on its way there must not go

	Transferable(d *Dispatch) bool // whether it needs no connection of this process any more
	Release(d *Dispatch)           // of those: another process goes on with it
	Adopt(d *Dispatch)             // takes one that another process released
}

// ServerTable watches the list of backend servers, and tells Scheduler.Listed.
type ServerTable interface{ Watch() }

// answerSlack is how long after the client's time the module may still end a session. It acts at that time
// itself; this only guards the rule that nothing taken stays unanswered.
const answerSlack = 5 * time.Millisecond

// Scheduler executes what the decision module decides. All of it belongs to the loop's goroutine.
type Scheduler struct {
	loop              *Loop
	module            *ravendale.Dispatcher
	settings          ravendale.Settings
	longest           time.Duration // that a client has ever waited at most, by the settings
	backend           Backend
	twin              Twin               // nil at first
	elsewhereInFlight map[string]float64 // the other one's dispatches, by server
	table             ServerTable
	log               *slog.Logger

	lastJob  ravendale.JobID
	sessions map[ravendale.JobID]*Session
	byID     map[string]*Session // those that are owed an answer
	recent   map[string]struct{} // ids that were answered of late

	kept, keptElsewhere []keptID // those, in the order in which they are let go of

	gate    func() bool // whether a request may be taken now; nil: any
	quiet   func()      // called once nothing is owed
	figures Figures

	events  []ravendale.Event // not handled yet
	actions []ravendale.Action
	busy    bool
}

// New returns a scheduler, or the module's error for a setting that makes no sense.
func New(loop *Loop, settings ravendale.Settings, seed uint64, log *slog.Logger) (*Scheduler, error) {
	module, err := ravendale.New(settings, seed)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s := &Scheduler{loop: loop, module: module, settings: settings, log: log, figures: Figures{Classes: make(map[string]ClassFigures)},
		sessions: make(map[ravendale.JobID]*Session), byID: make(map[string]*Session), recent: make(map[string]struct{}), elsewhereInFlight: make(map[string]float64)}
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
	s.longest = max(s.longest, settings.LongestDeadline()) // of those in progress too
	s.name()
	return nil
}

// Connect gives the scheduler its server side; it comes before the first event.
func (s *Scheduler) Connect(b Backend, t ServerTable) { s.backend, s.table = b, t }

// WarmingUp says whether a backend server is taken to be warming still.
func (s *Scheduler) WarmingUp(worker string) bool { return s.module.WarmingUp(worker, s.loop.Now()) }

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

// SetDetached takes a backend server out of service, or puts it back; whatever is listed meanwhile, nothing new goes to one
// that is out. It returns false where no such server is known.
func (s *Scheduler) SetDetached(worker string, detached bool) bool {
	if !s.module.Knows(worker) {
		return false
	}
	if !detached {
		s.feed(ravendale.Event{Kind: ravendale.WorkerAttached, Worker: worker})
		return true
	}
	s.feed(ravendale.Event{Kind: ravendale.WorkerDetached, Worker: worker})
	s.backend.Avoid(worker)
	return true
}

// feed hands the module an event and executes its actions in order. Events that come up meanwhile wait.
func (s *Scheduler) feed(ev ravendale.Event) {
	s.events = append(s.events, ev)
	if s.busy {
		return
	}
	s.busy = true
	for i := 0; i < len(s.events); i++ {
		s.actions = s.module.Handle(s.loop.Now(), &s.events[i], s.actions[:0])
		for j := range s.actions {
			s.execute(&s.actions[j])
		}
	}
	clear(s.events)
	s.events, s.busy = s.events[:0], false
}

func (s *Scheduler) execute(a *ravendale.Action) {
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
			if d := n.dispatches[a.Attempt]; !d.done {
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
