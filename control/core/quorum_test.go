package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestAnUnavailableQuorumIsReported has two of three members lost, one with its disk, and reads what the third would log.
func TestAnUnavailableQuorumIsReported(t *testing.T) {
	s := steadyCore(t, 1, 3, 1)
	s.run(s.now + time.Second)
	witness, unheard, wiped := s.members[0], s.members[1], s.members[2]
	require.Empty(t, witness.quorumChanges, "all is well")
	unheard.kill()
	wiped.wipe()
	s.run(s.now + 100*time.Millisecond)
	wiped.start()
	s.run(s.now + quorumReportDelay/2)
	require.Empty(t, witness.quorumChanges, "that may be an ordinary failover")
	s.run(s.now + 2*quorumReportDelay)
	require.Equal(t, []quorumChange{{
		Unavailable: true, Voters: 3, Heard: []string{witness.address},
		Unresponsive: []string{unheard.address + ": its process has ended", wiped.address + ": it has another disk"},
	}}, witness.quorumChanges, "once")

	unheard.start()
	s.run(s.now + time.Second)
	require.Len(t, witness.quorumChanges, 2)
	require.False(t, witness.quorumChanges[1].Unavailable)
}
