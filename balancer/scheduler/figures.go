package scheduler

import (
	"maps"
	"strconv"
)

// Figures are a scheduler's metrics: counters since its start, and gauges of its present state.
type Figures struct {
	Classes map[string]ClassFigures // by name; a class that was removed from the settings keeps its entry
	Sends   int                     // attempts written completely to backend servers
	Current int                     // requests accepted and not yet ended

	Listed, Avoided         int // backend servers in the list, and those of them that are currently avoided
	ConfLoaded, ConfInvalid int // configurations applied and rejected at run time

	// Unsent counts, by reason, the requests answered as refused or failed that were never sent to a backend server. The
	// fleet's benchmark prices each of them as refused, so an operator can weigh these against the cost of waiting longer.
	Unsent [NumUnsent]int
}

// Unsent is the reason why a request ended without being sent. There is one for each code path that answers so, with a counter each.
type Unsent uint8

// The reasons why requests end without being sent.
const (
	NoTime     Unsent = iota // its time had run out on arrival, or ran out while the module waited
	NoStart                  // the module gave up while time was left: no ready server, budget or capacity in time
	Leaving                  // the scheduler is stopping and accepts nothing new; another one may have capacity
	NoCapacity               // the scheduler has reached its limit on requests in progress
	NumUnsent                // number of reasons
)

// String returns the reason's name in metrics and logs.
func (u Unsent) String() string {
	if u < NumUnsent {
		return [NumUnsent]string{"no_time", "no_start", "leaving", "no_room"}[u]
	}
	return "unsent(" + strconv.Itoa(int(u)) + ")"
}

// ClassFigures count the requests of one class by kind of answer; Taken counts those that were accepted.
type ClassFigures struct{ Answered, Deferred, Errored, Taken int }

// Figures returns the current figures.
func (s *Scheduler) Figures() Figures {
	f := s.figures
	f.Classes = maps.Clone(f.Classes)
	f.Current = len(s.byID)
	f.Listed, f.Avoided = s.module.Workers()
	return f
}

// Count counts an answer to a request of the class with the given index in the settings. The scheduler itself counts the
// answers to sessions; a frontend counts the requests that it refuses itself.
func (s *Scheduler) Count(class int, kind AnswerKind) {
	if class >= 0 && class < len(s.settings.Classes) {
		s.count(s.settings.Classes[class].Name, kind)
	}
}

func (s *Scheduler) count(class string, kind AnswerKind) {
	c, given := s.figures.Classes[class]
	if !given {
		return // the class is not in the settings
	}
	switch kind {
	case Served:
		c.Answered++
	case Refused:
		c.Deferred++
	case Failed:
		c.Errored++
	}
	s.figures.Classes[class] = c
}

// CountUnsent counts a request that a frontend refused itself, without sending it.
func (s *Scheduler) CountUnsent(class int, why Unsent) {
	s.Count(class, Refused)
	if why < NumUnsent {
		s.figures.Unsent[why]++
	}
	if s.traces() {
		s.log.Debug("refused", "class", class, "why", why.String())
	}
}

// CountConfig counts a configuration that arrived at run time, and whether it was applied.
func (s *Scheduler) CountConfig(taken bool) {
	if taken {
		s.figures.ConfLoaded++
	} else {
		s.figures.ConfInvalid++
	}
}

// addClassFigures adds a zero entry for each class of the settings, so that it is reported as 0 before its first request.
func (s *Scheduler) addClassFigures() {
	for i := range s.settings.Classes {
		class := s.settings.Classes[i].Name
		if _, given := s.figures.Classes[class]; !given {
			s.figures.Classes[class] = ClassFigures{}
		}
	}
}
