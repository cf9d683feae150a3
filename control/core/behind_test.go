package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// comeBackBehind has one of five away while some hundred commands are committed, each of which takes long to apply, and returns how often
// the chain has changed since it came back, and how long nothing was answered.
func comeBackBehind(t *testing.T, seed uint64, m mutant) (views uint64, pause time.Duration) {
	const missed = 400
	s := newSimulation(seed, 5, 2, m)
	s.minLogBytes = 1 << 20 // no image: the member gets the commands
	s.run(1500 * time.Millisecond)
	s.load(20 * time.Millisecond)
	s.run(4 * time.Second)
	s.expectService("at first", 300*time.Millisecond)
	require.Empty(t, s.broken, "seed %d", seed)
	away := s.inChain(-1)
	away.kill()
	known := len(s.order)
	s.until(time.Minute, func() bool { return len(s.order) >= known+missed })
	s.applyTime = 10 * time.Millisecond
	away.start()
	from, epoch, last := s.now, s.others(away)[0].node.view.Epoch, s.now
	s.until(12*time.Second, func() bool {
		pause, last = max(pause, s.now-max(last, s.newest)), max(last, s.newest)
		return s.now > from+8*time.Second
	})
	require.Empty(t, s.broken, "seed %d", seed)
	return s.others(away)[0].node.view.Epoch - epoch, pause
}

// TestAMemberThatIsBehindSpeaksWhileItAppliesWhatItMissed would see it taken in, fall silent, left out and taken in again.
func TestAMemberThatIsBehindSpeaksWhileItAppliesWhatItMissed(t *testing.T) {
	for seed := range uint64(6) {
		views, pause := comeBackBehind(t, seed, sound)
		t.Logf("seed %d: %d changes of the chain, no answer for %v", seed, views, pause)
		require.LessOrEqual(t, views, uint64(2), "seed %d: it is taken in, and stays", seed)
	}
}

func TestAMemberThatAppliesAllAtOnceIsCaught(t *testing.T) {
	for seed := range uint64(6) {
		if views, pause := comeBackBehind(t, seed, applyAll); views > 2 {
			t.Logf("seed %d: %d changes of the chain, no answer for %v", seed, views, pause)
			return
		}
	}
	require.Fail(t, "not caught")
}

// TestTheLogIsShortHoweverSmallItsRecordsAre has a member commit many small commands: each start applies again what the log holds.
func TestTheLogIsShortHoweverSmallItsRecordsAre(t *testing.T) {
	s := newSimulation(3, 3, 1, sound)
	s.minLogBytes, s.maxLogRecords = 1<<20, maxLogRecords
	s.run(1500 * time.Millisecond)
	s.load(10 * time.Millisecond)
	for range 100 {
		s.run(s.now + 100*time.Millisecond)
		for _, member := range s.members {
			require.LessOrEqual(t, member.node.durability.logRecords, maxLogRecords)
		}
	}
	require.Greater(t, len(s.order), 5*maxLogRecords)
	require.Empty(t, s.broken)
}

// restartWithMuchToApply has all of a core killed at once, when a log without bound would hold 250 commands that take 8 ms each to apply.
// It returns how long it took to a leader and an answer.
func restartWithMuchToApply(t *testing.T, seed uint64, m mutant, records int) time.Duration {
	s := newSimulation(seed, 5, 2, m)
	s.minLogBytes, s.maxLogRecords = 1<<20, records
	s.run(1500 * time.Millisecond)
	s.load(20 * time.Millisecond)
	s.until(time.Minute, func() bool { return len(s.order) >= 250 })
	s.run(s.now + 200*time.Millisecond)
	s.applyTime = 8 * time.Millisecond
	s.restart(s.members, 50*time.Millisecond)
	s.run(s.now + 50*time.Millisecond)
	back := s.now
	s.until(30*time.Second, func() bool { return s.newest > back && len(s.holders()) == 1 })
	require.Empty(t, s.broken, "seed %d", seed)
	return s.now - back
}

// TestARestartedCoreWithMuchToApplyServesSoon is the end of the day scpwlb-grown mix 500943057247.
func TestARestartedCoreWithMuchToApplyServesSoon(t *testing.T) {
	var slowest time.Duration
	for seed := range uint64(20) {
		slowest = max(slowest, restartWithMuchToApply(t, seed, sound, maxLogRecords))
	}
	t.Logf("at most %v", slowest)
	require.Less(t, slowest, 1500*time.Millisecond)
	long := restartWithMuchToApply(t, 0, applyAll, 1<<20)
	t.Logf("%v with a log without bound that is applied at once", long)
	require.Greater(t, long, 2*time.Second)
}
