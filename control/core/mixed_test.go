package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// steadyMixedCore returns a core of four control processes and a store, which tolerates two failures.
func steadyMixedCore(t *testing.T, seed uint64) (s *simulation, store *simProcess) {
	s = newSimulation(seed, 5, 2, noMutation)
	store = s.members[4]
	store.storage = true
	s.run(1500 * time.Millisecond)
	s.submitLoad(20 * time.Millisecond)
	s.run(5 * time.Second)
	s.expectService("initially", 300*time.Millisecond)
	require.Empty(t, s.violation, "seed %d", seed)
	require.Len(t, s.members[0].node.view.Voters, 5)
	return s, store
}

// TestStoreLeavesLeaseToControlProcesses restarts all control processes in turn, so that the store becomes the head of
// the chain.
func TestStoreLeavesLeaseToControlProcesses(t *testing.T) {
	const bound = 2500 * time.Millisecond
	for seed := range uint64(10) {
		s, store := steadyMixedCore(t, seed)
		for _, control := range s.members[:4] {
			control.kill()
			wait := s.runUntil(bound, func() bool { return len(s.holders()) == 1 && s.holders()[0] != store })
			require.Less(t, wait, bound, "seed %d: %s", seed, s.violation)
			control.start()
			for range 100 {
				s.run(s.now + 20*time.Millisecond)
				require.NotContains(t, s.holders(), store, "seed %d", seed)
			}
		}
		require.Equal(t, store.node.self.ID, store.node.view.Head(), "seed %d", seed)
		s.expectService("at the end", 300*time.Millisecond)
		require.Empty(t, s.violation, "seed %d", seed)
	}
}

// recoveryBound is the maximum time without an answer after two failures.
const recoveryBound = 3500 * time.Millisecond

// failTwo wipes the disk of one member, and at the same moment wipes or permanently freezes another one. It reports
// whether commands are answered again in time.
func failTwo(s *simulation, wiped, other *simProcess, freeze bool) (answers bool) {
	wiped.wipe()
	if freeze {
		other.frozen = true
	} else {
		other.wipe()
	}
	s.run(s.now + 300*time.Millisecond)
	wiped.start()
	if !freeze {
		other.start()
	}
	back := s.now
	s.runUntil(recoveryBound, func() bool { return s.lastAnswerAt > back+time.Second })
	s.checkHistory()
	return s.lastAnswerAt > back+time.Second
}

// TestMixedCoreToleratesTwoFailures tries each pair of members (incidents inc1 and inc2).
func TestMixedCoreToleratesTwoFailures(t *testing.T) {
	for seed := range uint64(10) {
		for first := range 5 {
			for second := range 5 {
				if first == second {
					continue
				}
				s, _ := steadyMixedCore(t, seed)
				answers := failTwo(s, s.members[first], s.members[second], seed%2 == 1)
				require.True(t, answers, "seed %d, %d and %d: %s", seed, first, second, s.debugString())
				require.Empty(t, s.violation, "seed %d, %d and %d", seed, first, second)
			}
		}
	}
}

// TestFourControlProcessesDoNotTolerateTwoFailures checks that the test above detects a core that lacks a member, as in
// the incidents.
func TestFourControlProcessesDoNotTolerateTwoFailures(t *testing.T) {
	for _, freeze := range []bool{false, true} {
		s := steadyCore(t, 1, 4, 2)
		var voters []*simProcess
		for _, member := range s.members {
			if member.node.isVoter(member.node.self.ID) {
				voters = append(voters, member)
			}
		}
		require.Len(t, voters, 3)
		require.False(t, failTwo(s, voters[0], voters[1], freeze), "frozen: %v", freeze)
		require.Empty(t, s.violation, "an answered command was lost")
	}
}

// TestPartitionWithSharedMember partitions two control processes from the other two, while the store reaches all: the
// number of view changes must be bounded, and each member of the chain must get its commands committed, even if it
// receives nothing from the head.
func TestPartitionWithSharedMember(t *testing.T) {
	const (
		partitionFor = 6 * time.Second
		mostViews    = 8
	)
	for seed := range uint64(10) {
		s, store := steadyMixedCore(t, seed)
		before := s.newestEpoch()
		halves := [2][]*simProcess{{s.members[0], s.members[2]}, {s.members[1], s.members[3]}}
		partitionHalves(s, halves, true)
		s.run(s.now + partitionFor)
		require.LessOrEqual(t, s.newestEpoch()-before, uint64(mostViews), "seed %d: %s", seed, s.debugString())
		require.Less(t, s.now-s.lastAnswerAt, 500*time.Millisecond, "seed %d: %s", seed, s.debugString())
		for _, member := range s.members {
			if !member.node.chain.Attached() {
				continue
			}
			commands := member.submitNow()
			s.run(s.now + time.Second)
			require.True(t, anyAnswered(s, commands), "seed %d: no command of %s is answered: %s", seed, member.address, s.debugString())
		}
		require.NotContains(t, s.holders(), store)
		partitionHalves(s, halves, false)
		s.run(s.now + 2*time.Second)
		s.expectService("at the end", 300*time.Millisecond)
		s.checkHistory()
		require.Empty(t, s.violation, "seed %d", seed)
	}
}

func partitionHalves(s *simulation, halves [2][]*simProcess, on bool) {
	for _, a := range halves[0] {
		for _, b := range halves[1] {
			s.partitioned[[2]string{a.address, b.address}], s.partitioned[[2]string{b.address, a.address}] = on, on
		}
	}
}

func (s *simulation) newestEpoch() (newest uint64) {
	for _, member := range s.members {
		newest = max(newest, member.node.view.Epoch)
	}
	return newest
}

// anyAnswered reports whether one of the commands was answered.
func anyAnswered(s *simulation, commands []string) bool {
	for _, command := range commands {
		if output := s.operations[command].output; output != "" && output != "never" {
			return true
		}
	}
	return false
}
