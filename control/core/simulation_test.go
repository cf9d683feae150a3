package core

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"ravendale/control/slots/slotstest"
)

// mutant is a mistake that the simulation must catch.
type mutant int

const (
	sound mutant = iota
	unsyncedAck
	minorityView
	noMargin
	keptIdentity
	lingeringLeader
	loneCommit
	applyAll
	heedlessDisk
	staleImage
	eagerMember
	lateDown      // a voter that is down keeps its vote as long as one that is gone
	stayingVote   // a member that is told to stop keeps its vote
	eagerVote     // a newcomer gets a vote at once
	unfilledChain // a newcomer counts as complete before it is filled
	hastyRelease  // a voter that wishes to leave is let go though the others can't spare it
)

// simulation is a whole core in simulated time.
type simulation struct {
	random        *rand.Rand
	mutant        mutant
	now           time.Duration
	queue         []event // heap by time, then by order of making
	made          uint64
	members       []*simulated
	fronts        []*simulated // processes without a disk: then they are the seeds, and the members are stores
	byAddr        map[string]*simulated
	partitioned   map[[2]string]bool // from, to
	loss          float64
	lossy         bool
	tolerated     int // settings.ToleratedNodes
	slowDisks     bool
	minLogBytes   int           // bytes of log before a snapshot
	maxLogRecords int           // in the log before a snapshot; zero: as many as fit with leastLog
	applyTime     time.Duration // for which a member stands still to apply a command
	catchup       time.Duration // bound of a new machine

	operations map[string]*operation // by command
	order      []string              // of commands, as the first to apply each saw it
	broken     string
	answered   int
	newest     time.Duration // when an operation was last answered
}

// operation is one client's call. It may take effect at any time from its start to its end, and with an unknown outcome at any
// time later, or never.
type operation struct {
	from, to time.Duration
	output   string // "never" surely has no effect; empty: nobody knows
}

const endless = time.Duration(math.MaxInt64)

type event struct {
	at    time.Duration
	order uint64
	run   func()
}

func newSimulation(seed uint64, members, tolerated int, m mutant) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 7)), mutant: m, byAddr: make(map[string]*simulated),
		partitioned: make(map[[2]string]bool), tolerated: tolerated, catchup: catchupBound, operations: make(map[string]*operation),
	}
	s.slowDisks = s.random.IntN(4) == 0
	s.minLogBytes = 300 << s.random.IntN(8)
	for i := range members {
		member := &simulated{
			s: s, address: fmt.Sprintf("10.0.0.%d:1", i+1), zone: fmt.Sprint("zone-", i%3), folder: slotstest.New(),
			rate: 0.965 + 0.07*s.random.Float64(), offset: time.Duration(s.random.Int64N(int64(time.Hour))), fresh: true,
			idSeed: seed*100 + uint64(i),
		}
		s.members = append(s.members, member)
		s.byAddr[member.address] = member
		s.after(time.Duration(s.random.Int64N(int64(300*time.Millisecond))), func() { member.start() })
	}
	return s
}

func (s *simulation) seeds() []string {
	var seeds []string
	seeding := s.members
	if len(s.fronts) > 0 {
		seeding = s.fronts
	}
	for _, member := range seeding[:min(3, len(seeding))] {
		seeds = append(seeds, member.address)
	}
	return seeds
}

func (s *simulation) downAfter() time.Duration {
	if s.mutant == lateDown {
		return LearnerExpiry(s.catchup)
	}
	return DownAfter(s.catchup)
}

func (s *simulation) after(wait time.Duration, run func()) {
	s.made++
	s.queue = append(s.queue, event{s.now + wait, s.made, run})
	for i := len(s.queue) - 1; i > 0; {
		parent := (i - 1) / 2
		if !s.before(i, parent) {
			break
		}
		s.queue[i], s.queue[parent] = s.queue[parent], s.queue[i]
		i = parent
	}
}

func (s *simulation) before(i, j int) bool {
	a, b := &s.queue[i], &s.queue[j]
	return a.at < b.at || a.at == b.at && a.order < b.order
}

func (s *simulation) pop() event {
	first := s.queue[0]
	last := len(s.queue) - 1
	s.queue[0] = s.queue[last]
	s.queue = s.queue[:last]
	for i := 0; ; {
		child := 2*i + 1
		if child >= last {
			break
		}
		if child+1 < last && s.before(child+1, child) {
			child++
		}
		if !s.before(child, i) {
			break
		}
		s.queue[i], s.queue[child] = s.queue[child], s.queue[i]
		i = child
	}
	return first
}

// run plays until a time, or until a rule is broken.
func (s *simulation) run(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until && s.broken == "" {
		event := s.pop()
		s.now = event.at
		event.run()
	}
	s.now = until
}

func (s *simulation) fail(format string, arguments ...any) {
	if s.broken == "" {
		s.broken = fmt.Sprintf("at %v: ", s.now) + fmt.Sprintf(format, arguments...)
	}
}

// mutations are those that a mutant makes in the node.
func (m mutant) mutations() mutations {
	return mutations{
		minorityDecides: m == minorityView, skipsSync: m == unsyncedAck, forgetsGrant: m == forgetfulVoter,
		keepsStaleState: m == staleImage, learnsDetached: m == eagerMember, commitsAlone: m == loneCommit, seedForgetsVote: m == amnesiacSeed, appliesAll: m == applyAll,
		keepsVoteOnStop: m == stayingVote, votesAtOnce: m == eagerVote, countsUnfilled: m == unfilledChain, sparesNobody: m == hastyRelease,
	}
}

// applied hears from a register what it applies as its count-th command.
func (s *simulation) applied(count int, command string) {
	switch {
	case count == len(s.order):
		s.order = append(s.order, command)
	case count > len(s.order):
		s.fail("command %d is applied before the one in front of it", count)
	case s.order[count] != command:
		s.fail("command %d is %q here, but was %q elsewhere", count, command, s.order[count])
	}
}

func (s *simulation) pick() *simulated { return s.members[s.random.IntN(len(s.members))] }
