package scheduler

import (
	"strings"
	"time"
)

// lateCallback is how long after the end of a request some report of a backend server on it may still come: a server tries
// every call until it is answered, ten times at most, and may have stood still before.
const lateCallback = 5 * time.Second

// idKept is how long an id is not taken again after its request was answered: a report that comes late would count for the
// newcomer. An attempt that was given up may run on for as long as the longest job does.
func (s *Scheduler) idKept() time.Duration { return s.longest + lateCallback }

// idKeptElsewhere is that for an id of the other process, which may still be in progress there for as long.
func (s *Scheduler) idKeptElsewhere() time.Duration { return 2*s.longest + lateCallback }

// releaseEvery bounds how often ids are let go of.
const releaseEvery = 50 * time.Millisecond

// keep notes an id that is not taken again for a while. There may be as many as come in idKept, so they share one
// deadline, and no longer hold the request's head that they were cut from.
func (s *Scheduler) keep(id string, long time.Duration, of *[]keptID) {
	id = strings.Clone(id)
	s.recent[id] = struct{}{}
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
		delete(s.recent, (*of)[n].id)
		(*of)[n] = keptID{}
		n++
	}
	if *of = (*of)[n:]; len(*of) > 0 {
		s.loop.Deadlines.Add(max((*of)[0].till, s.loop.Now()+releaseEvery), func() { s.release(of) })
	} else {
		*of = nil
	}
}
