package core

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// diskFaults maps the name of each disk fault to functions that inject and end it.
var diskFaults = map[string]struct{ strike, mend func(m *simProcess) }{
	"full":    {strike: (*simProcess).fillDisk, mend: (*simProcess).freeDisk},
	"stalled": {strike: func(m *simProcess) { m.stallDisk(time.Hour) }, mend: func(m *simProcess) { m.stalledUntil = 0; m.writing = false; m.onWritten(); m.write() }},
}

// TestDegradedMemberRecovers makes the leader's disk fail under load: the process must continue, another member must
// lead and answer, and once the disk accepts writes again the member must return to the chain with all that was
// answered.
func TestDegradedMemberRecovers(t *testing.T) {
	const bound, returnBound = 3500 * time.Millisecond, 3 * time.Second
	for name, fault := range diskFaults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var slowest, slowestBack time.Duration
			for seed := range uint64(16) {
				size := sizes[seed%uint64(len(sizes))]
				s := steadyCore(t, seed, size.members, size.tolerated)
				leader := s.holders()[0]
				incarnation := leader.incarnation
				fault.strike(leader)
				failedAt := s.now
				s.runUntil(2*bound, func() bool { return leader.node.degraded() })
				require.NotEmpty(t, leader.node.durability.degradation.fault, "seed %d", seed)
				require.NotContains(t, s.holders(), leader, "seed %d", seed)
				degradedAt := s.now
				s.runUntil(2*bound, func() bool {
					holders := s.holders()
					return s.lastAnswerAt > degradedAt+100*time.Millisecond && len(holders) == 1 && holders[0] != leader
				})
				slowest = max(slowest, s.now-failedAt)
				s.run(s.now + 2*time.Second)
				require.True(t, leader.running && leader.incarnation == incarnation, "seed %d: the process has ended", seed)
				require.Negative(t, leader.node.view.Position(leader.node.self.ID), "seed %d: not in the chain\n%s", seed, s.debugString())
				require.Len(t, leader.diskChanges, 1, "seed %d", seed)

				fault.mend(leader)
				repairedAt := s.now
				s.runUntil(2*returnBound, func() bool { return !leader.node.degraded() && leader.node.chain.Attached() })
				slowestBack = max(slowestBack, s.now-repairedAt)
				s.run(s.now + time.Second)
				s.expectService("with the disk repaired", 500*time.Millisecond)
				require.Equal(t, diskChange{}, leader.diskChanges[1], "seed %d", seed)
				s.disasters(1)
				s.checkHistory()
				require.Empty(t, s.violation, "seed %d", seed)
			}
			require.Less(t, slowest, bound)
			require.Less(t, slowestBack, returnBound)
			t.Logf("at most %v to another leader and answers, %v until the member was back in the chain", slowest, slowestBack)
		})
	}
}

// TestAllDisksFail makes every disk fail: no command may be answered, and no process may end.
func TestAllDisksFail(t *testing.T) {
	for name, fault := range diskFaults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(20) {
				size := sizes[seed%uint64(len(sizes))]
				s := steadyCore(t, seed, size.members, size.tolerated)
				for _, member := range s.members {
					fault.strike(member)
				}
				s.run(s.now + 3*time.Second)
				require.Empty(t, s.holders(), "seed %d", seed)
				quiet, waiting := s.lastAnswerAt, s.pendingDiskWork()
				s.run(s.now + 20*time.Second)
				require.Equal(t, quiet, s.lastAnswerAt, "seed %d: a command was answered", seed)
				require.Less(t, s.pendingDiskWork(), waiting+4*size.members, "seed %d: pending writes and messages pile up", seed)
				for _, member := range s.members {
					require.True(t, member.running, "seed %d", seed)
				}
				for _, member := range s.members {
					fault.mend(member)
				}
				s.run(s.now + 6*time.Second)
				s.expectService("with the disks repaired", 500*time.Millisecond)
				s.checkHistory()
				require.Empty(t, s.violation, "seed %d", seed)
			}
		})
	}
}

// pendingDiskWork counts the writes, and the messages that wait for writes, of all members.
func (s *simulation) pendingDiskWork() int {
	count := 0
	for _, member := range s.members {
		count += len(member.node.durability.deferred) + len(member.node.durability.offsets) + len(member.node.durability.records) + len(member.writes)
	}
	return count
}

// TestStartOnFullDisk starts a member, some with an empty disk, while its disk accepts no writes: it must remain
// degraded until there is room.
func TestStartOnFullDisk(t *testing.T) {
	for seed := range uint64(16) {
		size := sizes[seed%uint64(len(sizes))]
		s := steadyCore(t, seed, size.members, size.tolerated)
		member := s.randomMember()
		if seed%3 == 0 {
			member.wipe()
		} else {
			member.kill()
		}
		member.folder.FailAfter(0)
		member.start()
		s.run(s.now + 5*time.Second)
		require.True(t, member.running, "seed %d", seed)
		require.NotEmpty(t, member.node.durability.degradation.fault, "seed %d", seed)
		require.NotEmpty(t, member.node.leaderAddress(member.clock()), "seed %d: the member does not know the leader", seed)
		require.Empty(t, s.violation, "seed %d", seed)
		member.freeDisk()
		s.run(s.now + 4*time.Second)
		s.expectService("with space on the disk", 500*time.Millisecond)
		require.Empty(t, s.violation, "seed %d", seed)
	}
}

// runDiskFaults fills and stalls disks repeatedly, one after the other and several at once, kills members meanwhile,
// and ends with a disaster.
func runDiskFaults(seed uint64, m mutant) string {
	size := sizes[seed%uint64(len(sizes))]
	s := newSimulation(seed, size.members, size.tolerated, m)
	s.run(1500 * time.Millisecond)
	s.submitLoad(30 * time.Millisecond)
	for range 6 {
		s.run(s.now + time.Duration(s.random.Int64N(int64(time.Second))))
		member, back := s.randomMember(), time.Duration(s.random.Int64N(int64(3*time.Second)))
		switch s.random.IntN(4) {
		case 0, 1:
			member.fillDisk()
			s.after(back, member.freeDisk)
		case 2:
			member.stallDisk(back)
		case 3:
			member.powerLoss()
			s.after(back/4, member.start)
		}
	}
	s.run(s.now + 2*time.Second)
	s.endFaults()
	s.run(s.now + 6*time.Second)
	s.expectService("after the faults", 500*time.Millisecond)
	s.disasters(1)
	if s.violation == "" {
		s.checkHistory()
	}
	return s.violation
}

func TestRepeatedDiskFaults(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		require.Empty(t, runDiskFaults(seed, noMutation), "seed %d", seed)
	}
}

func TestMutationIgnoredWriteErrorIsDetected(t *testing.T) {
	for seed := range uint64(120) {
		if violation := runDiskFaults(seed, ignoredWriteError); isSafetyViolation(violation) {
			t.Logf("seed %d: %s", seed, violation)
			return
		}
	}
	require.Fail(t, "not caught")
}

// runLongAbsence stops a member until it has missed so much that it receives a snapshot when it returns.
func runLongAbsence(seed uint64, m mutant) string {
	s := newSimulation(seed, 3, 1, m)
	s.run(1500 * time.Millisecond)
	s.submitLoad(10 * time.Millisecond)
	s.run(3 * time.Second)
	member := s.randomMember()
	member.kill()
	s.run(s.now + 5*time.Second)
	member.start()
	s.run(s.now + 2*time.Second)
	s.expectService("after the return", 500*time.Millisecond)
	if s.violation == "" {
		s.checkHistory()
	}
	return s.violation
}

func TestMemberCatchesUpBySnapshot(t *testing.T) {
	for seed := range uint64(16) {
		require.Empty(t, runLongAbsence(seed, noMutation), "seed %d", seed)
	}
}

func TestMutationStaleMachineStateIsDetected(t *testing.T) {
	for seed := range uint64(40) {
		if violation := runLongAbsence(seed, staleMachineState); isSafetyViolation(violation) {
			t.Logf("seed %d: %s", seed, violation)
			return
		}
	}
	require.Fail(t, "not caught")
}

// TestMemberCatchesUpTenThousandCommands stops a member for 10,000 commands: it must neither lead nor answer before it
// has received all of them.
func TestMemberCatchesUpTenThousandCommands(t *testing.T) {
	const missed = 10000
	s := newSimulation(1, 3, 1, noMutation)
	s.run(1500 * time.Millisecond)
	s.submitLoad(4 * time.Millisecond)
	s.run(3 * time.Second)
	member := s.randomMember()
	member.kill()
	from := len(s.appliedCommands)
	s.runUntil(10*time.Minute, func() bool { return len(s.appliedCommands) >= from+missed })
	require.Empty(t, s.violation)
	member.start()
	started := s.now
	behind := len(s.appliedCommands)
	s.runUntil(10*time.Second, func() bool {
		if member.node.chain.Attached() {
			return true
		}
		require.False(t, member.node.leads(member.clock()), "a member leads that is not attached")
		require.LessOrEqual(t, member.node.chain.Committed(), member.node.chain.Synced())
		return false
	})
	require.GreaterOrEqual(t, member.machine.count, behind, "the member was attached before it had applied what it missed")
	t.Logf("attached %v after its start", s.now-started)
	s.run(s.now + time.Second)
	s.expectService("after the return", 500*time.Millisecond)
	s.checkHistory()
	require.Empty(t, s.violation)
}

// TestInterruptedSnapshotIsRepeated cuts a member's power each time it writes the snapshot that it received, at any
// step of the write.
func TestInterruptedSnapshotIsRepeated(t *testing.T) {
	interruptions := 0
	for seed := range uint64(12) {
		s := newSimulation(seed, 3, 1, noMutation)
		s.run(1500 * time.Millisecond)
		s.submitLoad(10 * time.Millisecond)
		s.run(3 * time.Second)
		member := s.randomMember()
		member.kill()
		s.run(s.now + 4*time.Second)
		for range 6 {
			member.start()
			s.runUntil(2*time.Second, func() bool {
				return slices.ContainsFunc(member.writes, func(w diskWrite) bool { return w.Image != nil })
			})
			if len(member.writes) > 0 {
				interruptions++
			}
			member.powerLoss()
		}
		member.start()
		s.run(s.now + 3*time.Second)
		s.expectService("after the losses of power", 500*time.Millisecond)
		s.checkHistory()
		require.Empty(t, s.violation, "seed %d", seed)
	}
	require.Greater(t, interruptions, 30)
}
