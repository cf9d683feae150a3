package scheduler

import "maps"

// Figures are what a scheduler reports of itself: counts since its start, and what it holds now.
type Figures struct {
	Classes map[string]ClassFigures // by name; a class that the settings dropped keeps its line
	Sends   int                     // attempts written whole to backend servers
	Current int                     // requests taken and not yet ended

	Listed, Avoided         int // backend servers in the list, and those of them that are avoided now
	ConfLoaded, ConfInvalid int // configurations taken and turned down while it ran
}

// ClassFigures count the requests of one class by their answer.
type ClassFigures struct{ Answered, Deferred, Errored int }

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
		s.figures.Classes[s.settings.Classes[i].Name] = s.figures.Classes[s.settings.Classes[i].Name]
	}
}
