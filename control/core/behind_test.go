package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// restartBehind stops one of five members while 400 commands are committed, each of which takes long to apply. It
// returns the number of view changes after the member's restart, and the longest time without an answer.
func restartBehind(t *testing.T, seed uint64, m mutant) (views uint64, pause time.Duration) {
	const missed = 400
	s := newSimulation(seed, 5, 2, m)
	s.minLogBytes = 1 << 20 // large enough that the member receives commands and no snapshot
	s.run(1500 * time.Millisecond)
	s.submitLoad(20 * time.Millisecond)
	s.run(4 * time.Second)
	s.expectService("initially", 300*time.Millisecond)
	require.Empty(t, s.violation, "seed %d", seed)
	member := s.inChain(-1)
	member.kill()
	known := len(s.appliedCommands)
	s.runUntil(time.Minute, func() bool { return len(s.appliedCommands) >= known+missed })
	s.applyTime = 10 * time.Millisecond
	member.start()
	from, epoch, last := s.now, s.others(member)[0].node.view.Epoch, s.now
	s.runUntil(12*time.Second, func() bool {
		pause, last = max(pause, s.now-max(last, s.lastAnswerAt)), max(last, s.lastAnswerAt)
		return s.now > from+8*time.Second
	})
	require.Empty(t, s.violation, "seed %d", seed)
	return s.others(member)[0].node.view.Epoch - epoch, pause
}

// TestMemberBehindStaysInChain guards against a member that is silent while it applies the commands that it missed: it
// would be removed from the chain and added again.
func TestMemberBehindStaysInChain(t *testing.T) {
	for seed := range uint64(6) {
		views, pause := restartBehind(t, seed, noMutation)
		t.Logf("seed %d: %d changes of the chain, no answer for %v", seed, views, pause)
		require.LessOrEqual(t, views, uint64(2), "seed %d: the member joins the chain once", seed)
	}
}

func TestMutationAppliesAllIsDetected(t *testing.T) {
	for seed := range uint64(6) {
		if views, pause := restartBehind(t, seed, unboundedApply); views > 2 {
			t.Logf("seed %d: %d changes of the chain, no answer for %v", seed, views, pause)
			return
		}
	}
	require.Fail(t, "not caught")
}

// TestLogRecordsAreBounded commits many small commands: each start applies again what the log holds.
func TestLogRecordsAreBounded(t *testing.T) {
	s := newSimulation(3, 3, 1, noMutation)
	s.minLogBytes, s.maxLogRecords = 1<<20, maxLogRecords
	s.run(1500 * time.Millisecond)
	s.submitLoad(10 * time.Millisecond)
	for range 100 {
		s.run(s.now + 100*time.Millisecond)
		for _, member := range s.members {
			require.LessOrEqual(t, member.node.durability.logRecords, maxLogRecords)
		}
	}
	require.Greater(t, len(s.appliedCommands), 5*maxLogRecords)
	require.Empty(t, s.violation)
}

// restartWithLongLog kills all members at once when a log without limit would hold 250 commands that take 8 ms each to
// apply. It returns the time until there is a leader and an answer.
func restartWithLongLog(t *testing.T, seed uint64, m mutant, records int) time.Duration {
	s := newSimulation(seed, 5, 2, m)
	s.minLogBytes, s.maxLogRecords = 1<<20, records
	s.run(1500 * time.Millisecond)
	s.submitLoad(20 * time.Millisecond)
	s.runUntil(time.Minute, func() bool { return len(s.appliedCommands) >= 250 })
	s.run(s.now + 200*time.Millisecond)
	s.applyTime = 8 * time.Millisecond
	s.restart(s.members, 50*time.Millisecond)
	s.run(s.now + 50*time.Millisecond)
	back := s.now
	s.runUntil(30*time.Second, func() bool { return s.lastAnswerAt > back && len(s.holders()) == 1 })
	require.Empty(t, s.violation, "seed %d", seed)
	return s.now - back
}

// TestRestartWithLongLog replays the end of the simulated day scpwlb-grown, mix 500943057247.
func TestRestartWithLongLog(t *testing.T) {
	var slowest time.Duration
	for seed := range uint64(20) {
		slowest = max(slowest, restartWithLongLog(t, seed, noMutation, maxLogRecords))
	}
	t.Logf("at most %v", slowest)
	require.Less(t, slowest, 1500*time.Millisecond)
	long := restartWithLongLog(t, 0, unboundedApply, 1<<20)
	t.Logf("%v with an unlimited log that is applied at once", long)
	require.Greater(t, long, 2*time.Second)
}
