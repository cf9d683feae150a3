package core

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"ravendale/control/slots/slotstest"
)

// mutant is a mutation that the simulation must detect.
type mutant int

const (
	noMutation mutant = iota
	unsyncedAck
	minorityView
	noMargin
	keptIdentity
	negativeMargin
	localCommit
	unboundedApply
	ignoredWriteError
	staleMachineState
	commitWhileDetached
	lateDown          // a voter that is down loses its vote only after LearnerExpiry
	keepVoteOnStop    // a stopping member keeps its vote
	immediateVote     // a new member gets a vote at once
	prematureComplete // a new member counts as complete before it has received the missing log
	removeNeededVoter // a voter that asks to leave is removed even if the core still needs it
)

// simulation is a complete core in simulated time.
type simulation struct {
	random        *rand.Rand
	mutant        mutant
	now           time.Duration
	queue         []event // heap by time, then by order of creation
	eventCount    uint64
	members       []*simProcess
	diskless      []*simProcess // processes without a disk; if any, the seeds are among them, and the members are stores
	byAddress     map[string]*simProcess
	partitioned   map[[2]string]bool // by sender and recipient
	loss          float64
	lossy         bool
	tolerated     int // settings.ToleratedNodes
	slowDisks     bool
	minLogBytes   int           // nodeConfig.MinLogBytes
	maxLogRecords int           // nodeConfig.MaxLogRecords; zero: derived from minLogBytes
	applyTime     time.Duration // time that a member takes to apply a command
	catchup       time.Duration // time that a new machine has to catch up

	operations      map[string]*operation // by command
	appliedCommands []string              // commands, as applied by the first member to reach each position
	violation       string
	answered        int
	lastAnswerAt    time.Duration // when a command was last answered
}

// operation is one client's command. It takes effect at some time from its start to its end; if its outcome is unknown,
// at any later time or never.
type operation struct {
	from, to time.Duration
	output   string // "never": it certainly has no effect; empty: unknown
}

const maxDuration = time.Duration(math.MaxInt64)

type event struct {
	at    time.Duration
	order uint64
	run   func()
}

func newSimulation(seed uint64, members, tolerated int, m mutant) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 7)), mutant: m, byAddress: make(map[string]*simProcess),
		partitioned: make(map[[2]string]bool), tolerated: tolerated, catchup: catchupBound, operations: make(map[string]*operation),
	}
	s.slowDisks = s.random.IntN(4) == 0
	s.minLogBytes = 300 << s.random.IntN(8)
	for i := range members {
		member := &simProcess{
			s: s, address: fmt.Sprintf("10.0.0.%d:1", i+1), zone: fmt.Sprint("zone-", i%3), folder: slotstest.New(),
			rate: 0.965 + 0.07*s.random.Float64(), offset: time.Duration(s.random.Int64N(int64(time.Hour))), firstStart: true,
			idSeed: seed*100 + uint64(i),
		}
		s.members = append(s.members, member)
		s.byAddress[member.address] = member
		s.after(time.Duration(s.random.Int64N(int64(300*time.Millisecond))), func() { member.start() })
	}
	return s
}

func (s *simulation) seeds() []string {
	var seeds []string
	seeding := s.members
	if len(s.diskless) > 0 {
		seeding = s.diskless
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
	s.eventCount++
	s.queue = append(s.queue, event{s.now + wait, s.eventCount, run})
	for i := len(s.queue) - 1; i > 0; {
		parent := (i - 1) / 2
		if !s.less(i, parent) {
			break
		}
		s.queue[i], s.queue[parent] = s.queue[parent], s.queue[i]
		i = parent
	}
}

func (s *simulation) less(i, j int) bool {
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
		if child+1 < last && s.less(child+1, child) {
			child++
		}
		if !s.less(child, i) {
			break
		}
		s.queue[i], s.queue[child] = s.queue[child], s.queue[i]
		i = child
	}
	return first
}

// run runs the simulation until the given time, or until a violation.
func (s *simulation) run(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until && s.violation == "" {
		event := s.pop()
		s.now = event.at
		event.run()
	}
	s.now = until
}

func (s *simulation) fail(format string, arguments ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf("at %v: ", s.now) + fmt.Sprintf(format, arguments...)
	}
}

// mutations returns the node's mutations for a mutant.
func (m mutant) mutations() mutations {
	return mutations{
		minorityDecides: m == minorityView, skipsSync: m == unsyncedAck, forgetsGrant: m == forgetGrant,
		keepsStaleState: m == staleMachineState, learnsDetached: m == commitWhileDetached, commitsAlone: m == localCommit, seedForgetsVote: m == forgetSeedVote, appliesAll: m == unboundedApply,
		keepsVoteOnStop: m == keepVoteOnStop, votesAtOnce: m == immediateVote, countsUnfilled: m == prematureComplete, removesNeededVoter: m == removeNeededVoter,
	}
}

// applied is called when a member applies a command as number count, and compares it with other members.
func (s *simulation) applied(count int, command string) {
	switch {
	case count == len(s.appliedCommands):
		s.appliedCommands = append(s.appliedCommands, command)
	case count > len(s.appliedCommands):
		s.fail("command %d is applied before its predecessor", count)
	case s.appliedCommands[count] != command:
		s.fail("command %d is %q at this member, but was %q elsewhere", count, command, s.appliedCommands[count])
	}
}

func (s *simulation) randomMember() *simProcess { return s.members[s.random.IntN(len(s.members))] }
