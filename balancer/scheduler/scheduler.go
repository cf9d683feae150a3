package scheduler

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"ravendale"
)

// Backend executes dispatches. Each Send must lead to exactly one call of Dispatch.End, unless Withdraw is called first.
type Backend interface {
	Send(d *Dispatch)
	Withdraw(d *Dispatch) // stop waiting for it, and cancel the job if possible
	Retract(d *Dispatch)  // its request has ended: a dispatch that has not begun must not begin, and ends as NotSent
	Avoid(worker string)  // the server drains or is gone: a dispatch to it that has not begun must not begin

	Transferable(d *Dispatch) bool // whether it no longer needs a connection of this process
	Release(d *Dispatch)           // forget a transferable dispatch, which another process continues
	Adopt(d *Dispatch)             // continue a dispatch that another process released
}

// ServerTable watches the list of backend servers, and passes it to Scheduler.Listed.
type ServerTable interface{ Watch() }

// answerSlack is how long after the client's deadline the module may still end a session. The module normally acts at the
// deadline itself; the slack only matters for the guard that ensures that every accepted request is answered.
const answerSlack = 5 * time.Millisecond

// Scheduler executes the decisions of the decision module. It may be used only in turns of its loop.
type Scheduler struct {
	loop              *Loop
	module            *ravendale.Dispatcher
	settings          ravendale.Settings
	longest           time.Duration // longest client deadline in any settings so far
	backend           Backend
	peers             PeerProcesses      // nil until Join
	elsewhereInFlight map[string]float64 // dispatches of the other process in flight, by server
	table             ServerTable
	log               *slog.Logger

	lastJob  ravendale.JobID
	sessions map[ravendale.JobID]*Session
	byID     map[string]*Session // sessions that are not answered yet, by request ID
	recent   map[string]struct{} // IDs of requests that were answered recently

	expiringIDs, elsewhereIDs []expiringID // the IDs in recent, in order of their expiry

	gate    func() bool // whether a new request may be accepted now; nil accepts all
	onQuiet func()      // called once no request waits for its answer
	figures Figures

	events  []ravendale.Event // not handled by the module yet
	actions []ravendale.Action
	busy    bool
}

// New returns a scheduler, or the decision module's error if the settings are invalid.
func New(loop *Loop, settings ravendale.Settings, seed uint64, log *slog.Logger) (*Scheduler, error) {
	module, err := ravendale.New(settings, seed)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s := &Scheduler{loop: loop, module: module, settings: settings, log: log, figures: Figures{Classes: make(map[string]ClassFigures)},
		sessions: make(map[ravendale.JobID]*Session), byID: make(map[string]*Session), recent: make(map[string]struct{}), elsewhereInFlight: make(map[string]float64)}
	s.addClassFigures()
	s.longest = settings.LongestDeadline()
	return s, nil
}

// Retune applies new settings to the requests that arrive from now on.
func (s *Scheduler) Retune(settings ravendale.Settings) error {
	if err := s.module.UpdateSettings(settings); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	s.settings = settings
	s.longest = max(s.longest, settings.LongestDeadline()) // requests in progress keep their deadline
	s.addClassFigures()
	return nil
}

// Connect sets the backend and the server table; it must be called before the first event.
func (s *Scheduler) Connect(b Backend, t ServerTable) { s.backend, s.table = b, t }

// WarmingUp reports whether the decision module considers a backend server to be still warming up.
func (s *Scheduler) WarmingUp(worker string) bool { return s.module.WarmingUp(worker, s.loop.Now()) }

// Owed returns how many requests wait for their answer.
func (s *Scheduler) Owed() int { return len(s.byID) }

// Leave tells the decision module that all requests, in progress or yet to arrive, must be answered within the given time.
func (s *Scheduler) Leave(within time.Duration) {
	s.feed(ravendale.Event{Kind: ravendale.ShuttingDown, TimeLeft: within})
}

// WhenQuiet calls f, once, as soon as no request waits for its answer.
func (s *Scheduler) WhenQuiet(f func()) {
	s.onQuiet = f
	s.checkQuiet()
}

func (s *Scheduler) checkQuiet() {
	if f := s.onQuiet; f != nil && len(s.byID) == 0 {
		s.onQuiet = nil
		f()
	}
}

// Listed processes an update of the server list. Servers that drain or are gone are avoided at once; the module receives the
// update before the outcomes of the dispatches to them that had not begun.
func (s *Scheduler) Listed(kind ravendale.ListKind, entries []ravendale.Entry) {
	s.feed(ravendale.Event{Kind: ravendale.WorkersListed, List: kind, Entries: entries})
	for i := range entries {
		if entries[i].State != ravendale.Ready {
			s.backend.Avoid(entries[i].Worker)
		}
	}
}

// SetDetached takes a backend server out of service, or puts it back. A detached server receives no new dispatches, whatever
// the server list says. SetDetached returns false if the server is unknown.
func (s *Scheduler) SetDetached(worker string, detached bool) bool {
	if !s.module.HasWorker(worker) {
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

// feed passes an event to the module and executes its actions in order. Events raised by these actions are queued.
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
	case ravendale.Probe, ravendale.NotifyPeers: // disabled in all settings of this platform
	}
}

// traces reports whether each attempt is logged; `ravendale-lab trace` counts these lines across many schedulers.
func (s *Scheduler) traces() bool { return s.log.Enabled(context.Background(), slog.LevelDebug) }
