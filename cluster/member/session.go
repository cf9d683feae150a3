package member

import (
	"math/rand/v2"
	"slices"
	"time"

	"ravendale/cluster/wire"
)

// Times of a session.
const (
	replyTimeout     = 350 * time.Millisecond // connect included
	retryPause       = 130 * time.Millisecond // around which to wait after a failure
	maxHops          = 3                      // from one control process to the next before a pause
	renewalsPerLease = 3                      // renewals within a lease
	startPause       = 75 * time.Millisecond  // around which to wait at first, until the newest versions are known
	maxStartAttempts = 16                     // so often
)

// session decides when to renew the lease, and at which control process. It is pure: time and events go in, target and what
// tick returns come out.
type session struct {
	random    *rand.Rand
	heartbeat time.Duration
	seeds     []string
	core      []string       // as a leader, or the topic of members, named it last
	hinted    []string       // as one that does not lead named it last: it may be partitioned from the core
	failures  map[string]int // of control processes, since the last grant; the candidate that failed least often has none

	target        string
	leader        string // who granted last
	hops          int
	waiting       bool          // a renewal is to be sent or answered
	sent          bool          // it was sent
	pausing       bool          // after a failure, until due: nothing is to be connected
	due           time.Duration // waiting: give up; else: renew
	renewed       time.Duration // when the renewal that was granted last was sent
	lease         time.Duration
	again         bool // something changed while a renewal was under way
	named         bool // a leader has named the newest versions: the start is over
	startAttempts int  // pauses before that
}

func newSession(random *rand.Rand, heartbeat time.Duration, seeds []string) *session {
	s := &session{random: random, heartbeat: heartbeat, seeds: seeds, failures: make(map[string]int)}
	s.target = s.candidate()
	return s
}

// candidate picks a control process other than the target, if there is one: any of those that failed least often. So those that are
// partitioned are not tried again before all others were.
func (s *session) candidate() string {
	candidates := slices.DeleteFunc(union(s.core, s.hinted, s.seeds), func(address string) bool { return address == s.target })
	if len(candidates) == 0 {
		return s.target
	}
	least := s.failures[candidates[0]]
	for _, address := range candidates {
		least = min(least, s.failures[address])
	}
	s.forgive(least)
	candidates = slices.DeleteFunc(candidates, func(address string) bool { return s.failures[address] > 0 })
	return candidates[s.random.IntN(len(candidates))]
}

// forgive takes failures off all control processes alike. Only differences count: one that is named after a long outage has not failed yet, and
// is no better for it than those that failed while nobody led.
func (s *session) forgive(count int) {
	if count == 0 {
		return
	}
	for address, failures := range s.failures {
		s.failures[address] = max(failures-count, 0)
	}
}

func union(lists ...[]string) []string {
	seen := map[string]bool{"": true}
	var all []string
	for _, list := range lists {
		for _, address := range list {
			if !seen[address] {
				seen[address] = true
				all = append(all, address)
			}
		}
	}
	return all
}

// leased says whether the lease holds.
func (s *session) leased(now time.Duration) bool { return s.lease > 0 && now < s.renewed+s.lease }

// interval between renewals.
func (s *session) interval() time.Duration {
	if s.lease > 0 {
		return min(s.heartbeat, s.lease/renewalsPerLease)
	}
	return s.heartbeat
}

// hurry renews at once.
func (s *session) hurry(now time.Duration) {
	if s.waiting {
		s.again = s.sent
		return
	}
	s.due = now
}

// unnamed tells that the leader granted a lease and could not name the newest versions yet: the next renewal follows soon.
func (s *session) unnamed(now time.Duration) {
	if !s.waiting {
		s.due = min(s.due, now+s.spread(s.retryIn()))
	}
}

func (s *session) setSeeds(seeds []string) { s.seeds = seeds }

func (s *session) setCore(core []string) { s.core = core }

// tick says whether a renewal is to be sent to the target, over a connection that is up.
func (s *session) tick(now time.Duration, connected bool) bool {
	if s.waiting && now >= s.due {
		s.failed(now, s.target)
	}
	if !s.waiting && now >= s.due {
		s.waiting, s.sent, s.pausing, s.due = true, false, false, now+replyTimeout
		if s.target == "" {
			s.target = s.candidate()
		}
	}
	if !s.waiting || s.sent || !connected {
		return false
	}
	s.sent, s.again = true, false
	return true
}

// next is when tick has something to do, if nothing happens before.
func (s *session) next() time.Duration { return s.due }

// failed tells that the target can't be connected, or that a renewal ended without an answer.
func (s *session) failed(now time.Duration, from string) {
	if from != s.target {
		return
	}
	s.failures[from]++
	s.target = s.candidate()
	s.pause(now)
}

func (s *session) pause(now time.Duration) {
	s.waiting, s.sent, s.pausing, s.hops = false, false, true, 0
	s.due = now + s.spread(s.retryIn())
}

// retryIn is about how long to wait before the next attempt.
func (s *session) retryIn() time.Duration {
	if s.named || s.startAttempts >= maxStartAttempts {
		return retryPause
	}
	s.startAttempts++
	return startPause
}

func (s *session) spread(around time.Duration) time.Duration {
	return around/2 + time.Duration(s.random.Int64N(int64(around)))
}

// disconnected tells that the connection to the target has ended. Between renewals it is only made again, and in a pause after a failure no
// failure more.
func (s *session) disconnected(now time.Duration, from string) {
	if from != s.target || s.pausing {
		return
	}
	if s.waiting || !s.leased(now) {
		s.failed(now, from)
		return
	}
	s.due = now // the leader may take a broken connection for the process's end
}

// replied takes the answer to a renewal that was sent at a time.
func (s *session) replied(now, sentAt time.Duration, from string, reply *wire.RenewReply) {
	if len(reply.Core) > 0 && reply.Granted {
		s.core = reply.Core
	} else if len(reply.Core) > 0 {
		s.hinted = reply.Core
	}
	if reply.Granted {
		s.granted(now, sentAt, from, reply)
		return
	}
	if from != s.target || !s.waiting {
		return
	}
	if !s.follows(from, reply.Leader) {
		s.failed(now, from)
		return
	}
	s.hops++
	s.target = reply.Leader
	s.sent, s.due = false, now+replyTimeout
}

// follows says whether the leader that a control process names is to be tried. One that failed before may be partitioned, and named by who
// has not noticed: it is tried again at once, but not time after time.
func (s *session) follows(from, leader string) bool {
	return leader != "" && leader != from && s.hops < maxHops && s.failures[leader] <= s.failures[from]+1
}

func leaseOf(reply *wire.RenewReply) time.Duration {
	return time.Duration(reply.LeaseMillis) * time.Millisecond
}

func (s *session) granted(now, sentAt time.Duration, from string, reply *wire.RenewReply) {
	if sentAt >= s.renewed || s.lease == 0 {
		s.renewed = sentAt
		s.lease = leaseOf(reply)
	}
	s.leader = from
	clear(s.failures)
	if from != s.target {
		return
	}
	s.waiting, s.sent, s.pausing, s.hops = false, false, false, 0
	s.due = max(now, sentAt+s.interval())
	if s.again {
		s.again, s.due = false, now
	}
}
