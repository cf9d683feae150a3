package scheduler

import (
	"maps"
	"slices"

	"ravendale"
)

// PeerProcesses notifies the other processes of the same scheduler while a new version takes over from an old one.
type PeerProcesses interface {
	Took(id string)      // a request is in progress here
	Sent(worker string)  // a dispatch to that server has begun
	Ended(worker string) // a dispatch to that server has ended
}

// Join sets the PeerProcesses that are notified from now on. The counts of dispatches elsewhere are reset: dispatches of
// processes that have exited are over, and those that remaining processes have in flight now are no longer counted either.
func (s *Scheduler) Join(t PeerProcesses) {
	s.peers = t
	for worker, n := range s.elsewhereInFlight {
		s.feed(ravendale.Event{Kind: ravendale.SentElsewhere, Worker: worker, Slots: -n})
	}
	s.elsewhereInFlight = make(map[string]float64)
}

// Snapshot returns the state for a process that takes over: the module's snapshot and the IDs that must not be reused.
func (s *Scheduler) Snapshot() (*ravendale.Snapshot, []string) {
	return s.module.Snapshot(), append(slices.Collect(maps.Keys(s.byID)), slices.Collect(maps.Keys(s.recent))...)
}

// Inherit applies what Snapshot returned in the other process; the server list must have been applied before.
func (s *Scheduler) Inherit(snapshot *ravendale.Snapshot, ids []string) {
	for _, id := range ids {
		s.TookElsewhere(id)
	}
	if snapshot != nil {
		s.feed(ravendale.Event{Kind: ravendale.Inherited, Snapshot: snapshot})
		for worker, was := range snapshot.Workers {
			s.elsewhereInFlight[worker] = was.Slots
		}
		for worker := range snapshot.Detached {
			s.backend.Avoid(worker)
		}
	}
}

// TookElsewhere records the ID of a request that is or was in progress in the other process.
func (s *Scheduler) TookElsewhere(id string) { s.keep(id, s.elsewhereRetention(), &s.elsewhereIDs) }

// SentElsewhere records that the other process has begun a dispatch.
func (s *Scheduler) SentElsewhere(worker string) { s.elsewhere(worker, 1) }

// EndedElsewhere records that a dispatch of the other process has ended.
func (s *Scheduler) EndedElsewhere(worker string) { s.elsewhere(worker, -1) }

func (s *Scheduler) elsewhere(worker string, slots float64) {
	if s.elsewhereInFlight[worker]+slots < 0 {
		return // it was sent before Join, and is not counted
	}
	s.elsewhereInFlight[worker] += slots
	s.feed(ravendale.Event{Kind: ravendale.SentElsewhere, Worker: worker, Slots: slots})
}
