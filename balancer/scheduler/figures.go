package scheduler

import (
	"maps"
	"strconv"
)

// Figures are what a scheduler reports of itself: counts since its start, and what it holds now.
type Figures struct {
	Classes map[string]ClassFigures // by name; a class that the settings dropped keeps its line
	Sends   int                     // attempts written whole to backend servers
	Current int                     // requests taken and not yet ended

	Listed, Avoided         int // backend servers in the list, and those of them that are avoided now
	ConfLoaded, ConfInvalid int // configurations taken and turned down while it ran

	// Unsent counts the requests answered as refused or failed that were never sent to a backend server, by why: the
	// fleet's bench prices each of them as refused, so an operator weighs these against what waiting would have cost.
	Unsent [Unsents]int
}

// Unsent says why a request ended without a send. The reasons are the paths that answer so; each is counted apart.
type Unsent uint8

// Why requests end unsent.
const (
	NoTime     Unsent = iota // it came with its time spent, or it ran out while the module waited
	NoStart                  // the module gave up on it while time was left: no ready server, budget or room in time
	Leaving                  // the scheduler stops and takes nothing new: another has room
	NoCapacity               // the scheduler holds as many requests as it may
	Unsents                  // how many reasons there are
)

// String is the reason's name in figures and logs.
func (u Unsent) String() string {
	if u < Unsents {
		return [Unsents]string{"no_time", "no_start", "leaving", "no_room"}[u]
	}
	return "unsent(" + strconv.Itoa(int(u)) + ")"
}

// ClassFigures count the requests of one class by their answer, and those that were taken in progress.
type ClassFigures struct{ Answered, Deferred, Errored, Taken int }

// Figures returns the figures of now.
func (s *Scheduler) Figures() Figures {
	f := s.figures
	f.Classes = maps.Clone(f.Classes)
	f.Current = len(s.byID)
	f.Listed, f.Avoided = s.module.Workers()
	return f
}

// Count counts an answer to a request of a class of the settings. Those to sessions are counted by the scheduler; a
// frontend counts what it refuses itself.
func (s *Scheduler) Count(class int, kind AnswerKind) {
	if class >= 0 && class < len(s.settings.Classes) {
		s.count(s.settings.Classes[class].Name, kind)
	}
}

func (s *Scheduler) count(class string, kind AnswerKind) {
	c, given := s.figures.Classes[class]
	if !given {
		return // of no class of the settings
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

// CountUnsent counts a request that a frontend refused itself, without a send.
func (s *Scheduler) CountUnsent(class int, why Unsent) {
	s.Count(class, Refused)
	if why < Unsents {
		s.figures.Unsent[why]++
	}
	if s.traces() {
		s.log.Debug("refused", "class", class, "why", why.String())
	}
}

// CountConfig counts a configuration that came while the scheduler runs.
func (s *Scheduler) CountConfig(taken bool) {
	if taken {
		s.figures.ConfLoaded++
	} else {
		s.figures.ConfInvalid++
	}
}

// name gives each class of the settings its line, so that it reads 0 and does not come up late.
func (s *Scheduler) name() {
	for i := range s.settings.Classes {
		class := s.settings.Classes[i].Name
		if _, given := s.figures.Classes[class]; !given {
			s.figures.Classes[class] = ClassFigures{}
		}
	}
}
