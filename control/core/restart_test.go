package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// forgetfulVoter grants the lease at once to anybody after a start.
const forgetfulVoter mutant = 100

// restart has members come back after a while each, of up to a bound.
func (s *simulation) restart(members []*simulated, bound time.Duration) {
	for _, member := range members {
		if s.random.IntN(2) == 0 {
			member.kill()
		} else {
			member.powerLoss()
		}
		s.after(time.Duration(s.random.Int64N(int64(bound))), member.start)
	}
}

func (s *simulation) others(than *simulated) (others []*simulated) {
	for _, member := range s.members {
		if member != than {
			others = append(others, member)
		}
	}
	return others
}

// TestARestartedCoreServesAtOnce has all members lose power or be killed, and come back within 300 ms of one another.
func TestARestartedCoreServesAtOnce(t *testing.T) {
	const apart, bound = 300 * time.Millisecond, 600 * time.Millisecond
	var slowest time.Duration
	for seed := range uint64(40) {
		size := sizes[seed%uint64(len(sizes))]
		s := steadyCore(t, seed, size.members, size.tolerated)
		leader := s.holders()[0]
		s.run(s.now + 500*time.Millisecond)
		s.restart(s.members, apart)
		s.run(s.now + apart)
		back := s.now
		s.until(5*time.Second, func() bool { return len(s.holders()) == 1 })
		require.Same(t, leader, s.holders()[0], "seed %d: who led leads again", seed)
		s.until(5*time.Second, func() bool { return s.newest > back })
		require.Empty(t, s.broken, "seed %d", seed)
		slowest = max(slowest, s.now-back)
	}
	t.Logf("at most %v to a leader and an answer", slowest)
	require.Less(t, slowest, bound)
}

// TestAHolderKeepsItsLeaseWhileOthersRestart has all voters but the holder start anew.
func TestAHolderKeepsItsLeaseWhileOthersRestart(t *testing.T) {
	for seed := range uint64(60) { // without a new round in each new view it is lost in seed 36
		s := steadyCore(t, seed, 4, 1)
		leader := s.holders()[0]
		s.restart(s.others(leader), 200*time.Millisecond)
		s.until(2*time.Second, func() bool { return len(s.holders()) != 1 || s.holders()[0] != leader })
		require.Empty(t, s.broken, "seed %d", seed)
		require.Equal(t, []*simulated{leader}, s.holders(), "seed %d", seed)
	}
}

// restartVoters has the holder cut off, and all others restarted at once: they can't know that it still holds the lease but from
// their disks. Now and then the holder is frozen, or restarted too.
func restartVoters(seed uint64, m mutant) string {
	s := newSimulation(seed, sizes[seed%uint64(len(sizes))].members, sizes[seed%uint64(len(sizes))].tolerated, m)
	s.run(4 * time.Second)
	for range 4 {
		holders := s.holders()
		if len(holders) != 1 {
			s.run(s.now + time.Second)
			continue
		}
		s.separate(holders, true)
		holders[0].frozen = s.random.IntN(3) == 0
		s.restart(s.others(holders[0]), 100*time.Millisecond)
		if s.random.IntN(3) == 0 {
			s.restart(holders, 600*time.Millisecond)
		}
		s.run(s.now + time.Duration(s.random.Int64N(int64(2*time.Second))))
		holders[0].thaw()
		s.separate(holders, false)
		s.run(s.now + 1500*time.Millisecond)
	}
	return s.broken
}

func TestRestartedVotersKnowTheHolder(t *testing.T) {
	for seed := range uint64(80) {
		require.Empty(t, restartVoters(seed, sound), "seed %d", seed)
	}
}

func TestForgetfulVotersAreCaught(t *testing.T) {
	for seed := range uint64(80) {
		if broken := restartVoters(seed, forgetfulVoter); unsafe(broken) {
			t.Logf("seed %d: %s", seed, broken)
			return
		}
	}
	require.Fail(t, "not caught")
}

// TestChainChangesAreReported has a member killed, and reads what the others would log.
func TestChainChangesAreReported(t *testing.T) {
	s := steadyCore(t, 3, 3, 1)
	s.run(s.now + time.Second)
	leader := s.holders()[0]
	killed := s.others(leader)[0]
	leader.chainChanges = nil
	killed.kill()
	var changes []chainChange
	s.until(3*time.Second, func() bool {
		changes = append(changes, leader.chainChanges...)
		leader.chainChanges = nil
		return len(changes) > 0
	})
	require.Len(t, changes, 1)
	require.Equal(t, leader.node.view.Epoch, changes[0].epoch)
	require.NotContains(t, changes[0].chain, killed.address)
	require.Empty(t, changes[0].joined)
	require.Equal(t, []string{killed.address + ": its process has ended"}, changes[0].left)
}
