package core

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// sizes lists the sizes of the simulated cores, and how many member failures each tolerates.
var sizes = []struct{ members, tolerated int }{{3, 1}, {4, 1}, {5, 2}, {8, 2}}

var (
	seeds     = flag.Uint64("seeds", 30, "number of simulated histories of each kind and size of core")
	firstSeed = flag.Uint64("first", 0, "first seed")
)

func TestRandomFaults(t *testing.T) {
	const shares = 3
	for _, size := range sizes {
		for share := range uint64(shares) {
			t.Run(fmt.Sprint(size.members, "-", share), func(t *testing.T) {
				t.Parallel()
				for seed := *firstSeed + share; seed < *firstSeed+*seeds; seed += shares {
					violation := runHistory(seed, size.members, size.tolerated, noMutation)
					require.Empty(t, violation, "seed %d of %d members", seed, size.members)
					violation = runDisasterHistory(seed, size.members, size.tolerated, noMutation)
					require.Empty(t, violation, "disasters of seed %d of %d members", seed, size.members)
				}
			})
		}
	}
}

func TestMutationsAreDetected(t *testing.T) {
	const maxSeeds = 400 // seeds within which a mutation must be detected
	for name, mutation := range map[string]mutant{
		"acknowledgement before the sync": unsyncedAck, "view without a majority": minorityView,
		"lease without the margin": noMargin, "identity of a lost disk is reused": keptIdentity,
		"answer of a detached member": commitWhileDetached,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(maxSeeds) {
				size := sizes[seed%3]
				violation := runHolderPartitions(seed, mutation)
				if violation == "" {
					violation = runDisasterHistory(seed, size.members, size.tolerated, mutation)
				}
				if violation == "" {
					violation = runHistory(seed, size.members, size.tolerated, mutation)
				}
				if isSafetyViolation(violation) {
					t.Logf("seed %d: %s", seed, violation)
					return
				}
			}
			require.Fail(t, "the mutation was not detected", "in %d histories", maxSeeds)
		})
	}
}

// isSafetyViolation reports whether a violation is more than a pause in the service.
func isSafetyViolation(violation string) bool {
	for _, word := range []string{"applied", "answered", "hold the leader lease at once", "elsewhere"} {
		if strings.Contains(violation, word) && !strings.Contains(violation, "nothing was answered") {
			return true
		}
	}
	return false
}

// steadyCore returns a core that is bootstrapped and serves.
func steadyCore(t *testing.T, seed uint64, members, tolerated int) *simulation {
	s := newSimulation(seed, members, tolerated, noMutation)
	s.run(1500 * time.Millisecond)
	s.submitLoad(20 * time.Millisecond)
	s.run(4 * time.Second)
	s.expectService("initially", 300*time.Millisecond)
	require.Empty(t, s.violation, "seed %d of %d members", seed, members)
	return s
}

// runUntil runs the simulation until holds is true or for the duration of bound, and returns how long that took.
func (s *simulation) runUntil(bound time.Duration, holds func() bool) time.Duration {
	from := s.now
	for len(s.queue) > 0 && s.now-from < bound && s.violation == "" && !holds() {
		s.run(s.queue[0].at)
	}
	return s.now - from
}

func (s *simulation) holders() (holders []*simProcess) {
	for _, member := range s.members {
		if member.running && !member.frozen && member.node.lease.holder.Valid(member.clock()) {
			holders = append(holders, member)
		}
	}
	return holders
}

// TestFailoverTime kills, freezes or partitions the leader.
func TestFailoverTime(t *testing.T) {
	const bound = 2500 * time.Millisecond
	failures := map[string]func(s *simulation, leader *simProcess){
		"killed":      func(_ *simulation, leader *simProcess) { leader.kill() },
		"frozen":      func(_ *simulation, leader *simProcess) { leader.frozen = true },
		"partitioned": func(s *simulation, leader *simProcess) { s.setSidePartition([]*simProcess{leader}, true) },
	}
	for name, inject := range failures {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var slowestLead, slowestAnswer time.Duration
			for seed := range uint64(40) {
				size := sizes[seed%uint64(len(sizes))]
				s := steadyCore(t, seed, size.members, size.tolerated)
				leader := s.holders()[0]
				inject(s, leader)
				failedAt := s.now
				answer := s.runUntil(2*bound, func() bool { return s.lastAnswerAt > failedAt+100*time.Millisecond })
				s.runUntil(2*bound, func() bool {
					holders := s.holders()
					return len(holders) == 1 && holders[0] != leader
				})
				slowestLead, slowestAnswer = max(slowestLead, s.now-failedAt), max(slowestAnswer, answer)
				require.Empty(t, s.violation, "seed %d", seed)
			}
			require.Less(t, slowestLead, bound)
			require.Less(t, slowestAnswer, bound)
			t.Logf("at most %v to a leader, %v to an answer", slowestLead, slowestAnswer)
		})
	}
}

// TestOneLeaderWithClockDrift partitions the holder repeatedly, with clock rates as different as the margin allows for.
func TestOneLeaderWithClockDrift(t *testing.T) {
	for seed := range uint64(40) {
		require.Empty(t, runHolderPartitions(seed, noMutation), "seed %d", seed)
	}
}

func runHolderPartitions(seed uint64, m mutant) string {
	s := newSimulation(seed, 3, 1, m)
	for i, member := range s.members {
		member.rate = 0.955 + 0.045*float64((uint64(i)+seed)%3)
	}
	s.run(4 * time.Second)
	for range 4 {
		holders := s.holders()
		s.setSidePartition(holders, true)
		s.run(s.now + 2500*time.Millisecond)
		s.setSidePartition(holders, false)
		s.run(s.now + 500*time.Millisecond)
	}
	return s.violation
}
