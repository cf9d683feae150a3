package core

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// diskFaults are what may befall a disk, and how it ends.
var diskFaults = map[string]struct{ strike, mend func(m *simulated) }{
	"full":    {strike: (*simulated).fillDisk, mend: (*simulated).freeDisk},
	"stalled": {strike: func(m *simulated) { m.stallDisk(time.Hour) }, mend: func(m *simulated) { m.stalled = 0; m.writing = false; m.written(); m.write() }},
}

// TestAMemberWhoseDiskFailsIsDegradedAndRecovers has the disk of the leader fail under load: it goes on running, another leads and answers,
// and it is back in the chain, with all that was answered, once the disk takes writes.
func TestAMemberWhoseDiskFailsIsDegradedAndRecovers(t *testing.T) {
	const bound, back = 3500 * time.Millisecond, 3 * time.Second
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
				s.until(2*bound, func() bool { return leader.node.degraded() })
				require.NotEmpty(t, leader.node.durability.degradation.fault, "seed %d", seed)
				require.NotContains(t, s.holders(), leader, "seed %d", seed)
				degradedAt := s.now
				s.until(2*bound, func() bool {
					holders := s.holders()
					return s.newest > degradedAt+100*time.Millisecond && len(holders) == 1 && holders[0] != leader
				})
				slowest = max(slowest, s.now-failedAt)
				s.run(s.now + 2*time.Second)
				require.True(t, leader.running && leader.incarnation == incarnation, "seed %d: the process stays", seed)
				require.Negative(t, leader.node.view.Position(leader.node.self.ID), "seed %d: not in the chain\n%s", seed, s.describe())
				require.Len(t, leader.diskChanges, 1, "seed %d", seed)

				fault.mend(leader)
				repairedAt := s.now
				s.until(2*back, func() bool { return !leader.node.degraded() && leader.node.chain.Attached() })
				slowestBack = max(slowestBack, s.now-repairedAt)
				s.run(s.now + time.Second)
				s.expectService("with the disk mended", 500*time.Millisecond)
				require.Equal(t, diskChange{}, leader.diskChanges[1], "seed %d", seed)
				s.disasters(1)
				s.checkHistory()
				require.Empty(t, s.broken, "seed %d", seed)
			}
			require.Less(t, slowest, bound)
			require.Less(t, slowestBack, back)
			t.Logf("at most %v to another leader and answers, %v back into the chain", slowest, slowestBack)
		})
	}
}

// TestACoreWhoseDisksAllFailTakesNothingAndComesBack has every disk fail: nothing is answered, and no process ends.
func TestACoreWhoseDisksAllFailTakesNothingAndComesBack(t *testing.T) {
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
				quiet, waiting := s.newest, s.waiting()
				s.run(s.now + 20*time.Second)
				require.Equal(t, quiet, s.newest, "seed %d: nothing is answered", seed)
				require.Less(t, s.waiting(), waiting+4*size.members, "seed %d: nothing gathers", seed)
				for _, member := range s.members {
					require.True(t, member.running, "seed %d", seed)
				}
				for _, member := range s.members {
					fault.mend(member)
				}
				s.run(s.now + 6*time.Second)
				s.expectService("with the disks mended", 500*time.Millisecond)
				s.checkHistory()
				require.Empty(t, s.broken, "seed %d", seed)
			}
		})
	}
}

// waiting counts what is kept for disks.
func (s *simulation) waiting() int {
	count := 0
	for _, member := range s.members {
		count += len(member.node.durability.deferred) + len(member.node.durability.offsets) + len(member.node.durability.records) + len(member.writes)
	}
	return count
}

// TestAMemberStartsOnAFullDisk starts a member again, or with an empty disk, while it takes nothing: it stays degraded until there is room.
func TestAMemberStartsOnAFullDisk(t *testing.T) {
	for seed := range uint64(16) {
		size := sizes[seed%uint64(len(sizes))]
		s := steadyCore(t, seed, size.members, size.tolerated)
		member := s.pick()
		if seed%3 == 0 {
			member.wipe()
		} else {
			member.kill()
		}
		member.folder.Break(0)
		member.start()
		s.run(s.now + 5*time.Second)
		require.True(t, member.running, "seed %d", seed)
		require.NotEmpty(t, member.node.durability.degradation.fault, "seed %d", seed)
		require.NotEmpty(t, member.node.leaderAddress(member.clock()), "seed %d: it knows who leads", seed)
		require.Empty(t, s.broken, "seed %d", seed)
		member.freeDisk()
		s.run(s.now + 4*time.Second)
		s.expectService("with room", 500*time.Millisecond)
		require.Empty(t, s.broken, "seed %d", seed)
	}
}

// failDisks has disks fill and stall again and again, one after the other and at once, with members killed, and ends with a disaster.
func failDisks(seed uint64, m mutant) string {
	size := sizes[seed%uint64(len(sizes))]
	s := newSimulation(seed, size.members, size.tolerated, m)
	s.run(1500 * time.Millisecond)
	s.load(30 * time.Millisecond)
	for range 6 {
		s.run(s.now + time.Duration(s.random.Int64N(int64(time.Second))))
		member, back := s.pick(), time.Duration(s.random.Int64N(int64(3*time.Second)))
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
	s.calm()
	s.run(s.now + 6*time.Second)
	s.expectService("after calm", 500*time.Millisecond)
	s.disasters(1)
	if s.broken == "" {
		s.checkHistory()
	}
	return s.broken
}

func TestDisksThatFailAgainAndAgainLoseNothing(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		require.Empty(t, failDisks(seed, sound), "seed %d", seed)
	}
}

func TestHeedlessDisksAreCaught(t *testing.T) {
	for seed := range uint64(120) {
		if broken := failDisks(seed, heedlessDisk); unsafe(broken) {
			t.Logf("seed %d: %s", seed, broken)
			return
		}
	}
	require.Fail(t, "not caught")
}

// longAway has a member miss so much that it is filled by an image, and then answer.
func longAway(seed uint64, m mutant) string {
	s := newSimulation(seed, 3, 1, m)
	s.run(1500 * time.Millisecond)
	s.load(10 * time.Millisecond)
	s.run(3 * time.Second)
	member := s.pick()
	member.kill()
	s.run(s.now + 5*time.Second)
	member.start()
	s.run(s.now + 2*time.Second)
	s.expectService("after the return", 500*time.Millisecond)
	if s.broken == "" {
		s.checkHistory()
	}
	return s.broken
}

func TestAMemberThatWasLongAwayCatchesUp(t *testing.T) {
	for seed := range uint64(16) {
		require.Empty(t, longAway(seed, sound), "seed %d", seed)
	}
}

func TestAnImageThatLeavesOldStateIsCaught(t *testing.T) {
	for seed := range uint64(40) {
		if broken := longAway(seed, staleImage); unsafe(broken) {
			t.Logf("seed %d: %s", seed, broken)
			return
		}
	}
	require.Fail(t, "not caught")
}

// TestAMemberThatMissedTenThousandChangesCatchesUp has a member away for 10,000 commands: it neither leads nor answers before it has them all.
func TestAMemberThatMissedTenThousandChangesCatchesUp(t *testing.T) {
	const missed = 10000
	s := newSimulation(1, 3, 1, sound)
	s.run(1500 * time.Millisecond)
	s.load(4 * time.Millisecond)
	s.run(3 * time.Second)
	member := s.pick()
	member.kill()
	from := len(s.order)
	s.until(10*time.Minute, func() bool { return len(s.order) >= from+missed })
	require.Empty(t, s.broken)
	member.start()
	started := s.now
	behind := len(s.order)
	s.until(10*time.Second, func() bool {
		if member.node.chain.Attached() {
			return true
		}
		require.False(t, member.node.leads(member.clock()), "it is not attached")
		require.LessOrEqual(t, member.node.chain.Committed(), member.node.chain.Synced())
		return false
	})
	require.GreaterOrEqual(t, member.machine.count, behind, "it is attached with all that it missed")
	t.Logf("attached %v after its start", s.now-started)
	s.run(s.now + time.Second)
	s.expectService("after the return", 500*time.Millisecond)
	s.checkHistory()
	require.Empty(t, s.broken)
}

// TestAnImageInterruptedMidwayIsTakenAgain has a member lose power each time it writes the image that it was sent, at any step of that.
func TestAnImageInterruptedMidwayIsTakenAgain(t *testing.T) {
	interruptions := 0
	for seed := range uint64(12) {
		s := newSimulation(seed, 3, 1, sound)
		s.run(1500 * time.Millisecond)
		s.load(10 * time.Millisecond)
		s.run(3 * time.Second)
		member := s.pick()
		member.kill()
		s.run(s.now + 4*time.Second)
		for range 6 {
			member.start()
			s.until(2*time.Second, func() bool {
				return slices.ContainsFunc(member.writes, func(w diskWrite) bool { return w.Image != nil })
			})
			if len(member.writes) > 0 {
				interruptions++
			}
			member.powerLoss()
		}
		member.start()
		s.run(s.now + 3*time.Second)
		s.expectService("after the cuts", 500*time.Millisecond)
		s.checkHistory()
		require.Empty(t, s.broken, "seed %d", seed)
	}
	require.Greater(t, interruptions, 30)
}
