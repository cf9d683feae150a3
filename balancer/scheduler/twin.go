package scheduler

import (
	"maps"
	"slices"

	"ravendale"
)

// Twin stands for the other processes of one scheduler while a new version takes over from an old one.
type Twin interface {
	Took(id string)      // a request is in progress here
	Sent(worker string)  // a dispatch went there
	Ended(worker string) // one of those is over
}

// Join tells what all processes must know to the others from now on. The dispatches of those that are gone are over; of
// those that stay, what is out now is no longer counted either.
func (s *Scheduler) Join(t Twin) {
	s.twin = t
	for worker, n := range s.elsewhereInFlight {
		s.feed(ravendale.Event{Kind: ravendale.SentElsewhere, Worker: worker, Slots: -n})
	}
	s.elsewhereInFlight = make(map[string]float64)
}

// Snapshot returns what a process that takes over is to know: the module's memory and the ids that may not come again.
func (s *Scheduler) Snapshot() (*ravendale.Snapshot, []string) {
	return s.module.Snapshot(), append(slices.Collect(maps.Keys(s.byID)), slices.Collect(maps.Keys(s.recent))...)
}

// Inherit takes what Snapshot returned, after the list.
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

// TookElsewhere notes an id that the other process has in progress, or had.
func (s *Scheduler) TookElsewhere(id string) { s.keep(id, s.idKeptElsewhere(), &s.keptElsewhere) }

// SentElsewhere notes a dispatch of the other process, and EndedElsewhere the end of one.
func (s *Scheduler) SentElsewhere(worker string) { s.elsewhere(worker, 1) }

// EndedElsewhere undoes SentElsewhere.
func (s *Scheduler) EndedElsewhere(worker string) { s.elsewhere(worker, -1) }

func (s *Scheduler) elsewhere(worker string, slots float64) {
	if s.elsewhereInFlight[worker]+slots < 0 {
		return // sent before the two joined
	}
	s.elsewhereInFlight[worker] += slots
	s.feed(ravendale.Event{Kind: ravendale.SentElsewhere, Worker: worker, Slots: slots})
}
