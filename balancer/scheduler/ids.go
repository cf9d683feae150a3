package scheduler

import (
	"strings"
	"time"
)

// lateCallback is how long after the end of a request a backend server may still call back about it: a server retries each
// call until it is answered, at most ten times, and may have been paused before.
const lateCallback = 5 * time.Second

// idRetention returns how long an ID is rejected as repeated after its request was answered: otherwise a late report would be
// attributed to a new request with the same ID. An abandoned attempt may go on for as long as the longest job.
func (s *Scheduler) idRetention() time.Duration { return s.longest + lateCallback }

// elsewhereRetention is idRetention for an ID of the other process, where the request may still be in progress for s.longest.
func (s *Scheduler) elsewhereRetention() time.Duration { return 2*s.longest + lateCallback }

// releaseEvery is the least time between two calls of release.
const releaseEvery = 50 * time.Millisecond

// keep remembers an ID, which is rejected as repeated for the given time. As there may be as many IDs as requests arrive
// within idRetention, they share one deadline, and each is cloned so that it does not retain the request head that it is a
// substring of.
func (s *Scheduler) keep(id string, long time.Duration, of *[]expiringID) {
	id = strings.Clone(id)
	s.recent[id] = struct{}{}
	if *of = append(*of, expiringID{id, s.loop.Now() + long}); len(*of) == 1 {
		s.loop.After(long, func() { s.release(of) })
	}
}

// expiringID is an ID, and the time until which it is remembered.
type expiringID struct {
	id   string
	till time.Duration
}

// release removes the IDs whose retention time has passed.
func (s *Scheduler) release(of *[]expiringID) {
	n := 0
	for n < len(*of) && (*of)[n].till <= s.loop.Now() {
		delete(s.recent, (*of)[n].id)
		(*of)[n] = expiringID{}
		n++
	}
	if *of = (*of)[n:]; len(*of) > 0 {
		s.loop.Deadlines.Add(max((*of)[0].till, s.loop.Now()+releaseEvery), func() { s.release(of) })
	} else {
		*of = nil
	}
}
