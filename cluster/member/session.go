package member

import (
	"math/rand/v2"
	"slices"
	"time"

	"ravendale/cluster/wire"
)

// Timing of a session.
const (
	replyTimeout     = 350 * time.Millisecond // of a renewal, including the time to connect
	retryPause       = 130 * time.Millisecond // average pause after a failure; jitter varies it by half
	maxHops          = 3                      // redirects from one control process to the next before a pause
	renewalsPerLease = 3                      // renewals during one lease
	startPause       = 75 * time.Millisecond  // average pause at the start, until a leader has sent the newest versions
	maxStartAttempts = 16                     // number of such short pauses
)

// session decides when to renew the lease, and at which control process. It does no I/O: its inputs are the time and
// events, its outputs the target and the result of tick.
type session struct {
	random    *rand.Rand
	heartbeat time.Duration
	seeds     []string
	core      []string       // control processes, as last listed by a leader or in the members topic
	coreHint  []string       // the same as last listed by a non-leader, which may be partitioned from the core
	failures  map[string]int // by control process, since the last grant; see reduceFailures

	target        string
	leader        string        // control process that granted the last renewal
	hops          int           // redirects followed since the last pause or grant
	renewing      bool          // a renewal is to be sent, or its answer is awaited
	sent          bool          // the renewal was sent
	pausing       bool          // waiting until due after a failure: no connection is made
	due           time.Duration // while renewing: time-out of the renewal; otherwise: time of the next one
	renewedAt     time.Duration // when the last granted renewal was sent; the lease starts then
	lease         time.Duration
	renewAgain    bool // renew again at once: something changed while a renewal was in progress
	headsReceived bool // a leader has sent the newest versions: short pauses end
	startAttempts int  // short pauses so far
}

func newSession(random *rand.Rand, heartbeat time.Duration, seeds []string) *session {
	s := &session{random: random, heartbeat: heartbeat, seeds: seeds, failures: make(map[string]int)}
	s.target = s.candidate()
	return s
}

// candidate picks at random one of the control processes with the fewest failures, other than the target if there are
// others. Partitioned ones are therefore not retried before all others have been tried.
func (s *session) candidate() string {
	candidates := slices.DeleteFunc(union(s.core, s.coreHint, s.seeds), func(address string) bool { return address == s.target })
	if len(candidates) == 0 {
		return s.target
	}
	fewest := s.failures[candidates[0]]
	for _, address := range candidates {
		fewest = min(fewest, s.failures[address])
	}
	s.reduceFailures(fewest)
	candidates = slices.DeleteFunc(candidates, func(address string) bool { return s.failures[address] > 0 })
	return candidates[s.random.IntN(len(candidates))]
}

// reduceFailures subtracts the same number of failures from all control processes, since only differences matter.
// Otherwise a process that is first listed after a long outage, with no failures yet, would be preferred over those
// that failed while there was no leader.
func (s *session) reduceFailures(amount int) {
	if amount == 0 {
		return
	}
	for address, failures := range s.failures {
		s.failures[address] = max(failures-amount, 0)
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

// leased reports whether the lease is valid.
func (s *session) leased(now time.Duration) bool { return s.lease > 0 && now < s.renewedAt+s.lease }

// interval returns the time between renewals.
func (s *session) interval() time.Duration {
	if s.lease > 0 {
		return min(s.heartbeat, s.lease/renewalsPerLease)
	}
	return s.heartbeat
}

// renewNow makes the next renewal due at once. If one is in progress, another follows it.
func (s *session) renewNow(now time.Duration) {
	if s.renewing {
		s.renewAgain = s.sent
		return
	}
	s.due = now
}

// headsUnavailable handles a granted renewal without the newest versions: the leader does not have them yet, so the
// next renewal is brought forward.
func (s *session) headsUnavailable(now time.Duration) {
	if !s.renewing {
		s.due = min(s.due, now+s.jitter(s.retryDelay()))
	}
}

func (s *session) setSeeds(seeds []string) { s.seeds = seeds }

func (s *session) setCore(core []string) { s.core = core }

// tick handles time-outs, and reports whether the caller must now send a renewal to the target. Connected says whether
// the connection to the target is up.
func (s *session) tick(now time.Duration, connected bool) bool {
	if s.renewing && now >= s.due {
		s.failed(now, s.target)
	}
	if !s.renewing && now >= s.due {
		s.renewing, s.sent, s.pausing, s.due = true, false, false, now+replyTimeout
		if s.target == "" {
			s.target = s.candidate()
		}
	}
	if !s.renewing || s.sent || !connected {
		return false
	}
	s.sent, s.renewAgain = true, false
	return true
}

// next returns when tick is due, if no event occurs before.
func (s *session) next() time.Duration { return s.due }

// failed handles a failed connect, or a renewal that ended without an answer. Failures of addresses other than the
// target are ignored.
func (s *session) failed(now time.Duration, from string) {
	if from != s.target {
		return
	}
	s.failures[from]++
	s.target = s.candidate()
	s.pause(now)
}

func (s *session) pause(now time.Duration) {
	s.renewing, s.sent, s.pausing, s.hops = false, false, true, 0
	s.due = now + s.jitter(s.retryDelay())
}

// retryDelay returns the average pause before the next attempt. It counts the short pauses of the start.
func (s *session) retryDelay() time.Duration {
	if s.headsReceived || s.startAttempts >= maxStartAttempts {
		return retryPause
	}
	s.startAttempts++
	return startPause
}

func (s *session) jitter(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(s.random.Int64N(int64(mean)))
}

// disconnected handles the end of the connection to the target. During a renewal or without a lease it counts as a
// failure. Between renewals the target stays and the next renewal is due at once. During a pause after a failure it is
// ignored.
func (s *session) disconnected(now time.Duration, from string) {
	if from != s.target || s.pausing {
		return
	}
	if s.renewing || !s.leased(now) {
		s.failed(now, from)
		return
	}
	s.due = now // the leader may interpret the closed connection as the end of this process
}

// replied handles the answer to a renewal that was sent at sentAt.
func (s *session) replied(now, sentAt time.Duration, from string, reply *wire.RenewReply) {
	if len(reply.Core) > 0 && reply.Granted {
		s.core = reply.Core
	} else if len(reply.Core) > 0 {
		s.coreHint = reply.Core
	}
	if reply.Granted {
		s.granted(now, sentAt, from, reply)
		return
	}
	if from != s.target || !s.renewing {
		return
	}
	if !s.shouldFollow(from, reply.Leader) {
		s.failed(now, from)
		return
	}
	s.hops++
	s.target = reply.Leader
	s.sent, s.due = false, now+replyTimeout
}

// shouldFollow reports whether to try the leader that a control process names. A leader that failed before may be
// partitioned while the other process has not detected that yet: it is retried at once, but not repeatedly.
func (s *session) shouldFollow(from, leader string) bool {
	return leader != "" && leader != from && s.hops < maxHops && s.failures[leader] <= s.failures[from]+1
}

func leaseOf(reply *wire.RenewReply) time.Duration {
	return time.Duration(reply.LeaseMillis) * time.Millisecond
}

func (s *session) granted(now, sentAt time.Duration, from string, reply *wire.RenewReply) {
	if sentAt >= s.renewedAt || s.lease == 0 {
		s.renewedAt = sentAt
		s.lease = leaseOf(reply)
	}
	s.leader = from
	clear(s.failures)
	if from != s.target {
		return
	}
	s.renewing, s.sent, s.pausing, s.hops = false, false, false, 0
	s.due = max(now, sentAt+s.interval())
	if s.renewAgain {
		s.renewAgain, s.due = false, now
	}
}
