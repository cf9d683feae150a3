package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestALostQuorumIsTold has two of three members lost, one with its disk, and reads what the third would log.
func TestALostQuorumIsTold(t *testing.T) {
	s := settled(t, 1, 3, 1)
	s.run(s.now + time.Second)
	witness, silent, wiped := s.members[0], s.members[1], s.members[2]
	require.Empty(t, witness.quorum, "all is well")
	silent.kill()
	wiped.wipe()
	s.run(s.now + 100*time.Millisecond)
	wiped.start()
	s.run(s.now + quorumLostAfter/2)
	require.Empty(t, witness.quorum, "that may be an ordinary failover")
	s.run(s.now + 2*quorumLostAfter)
	require.Equal(t, []quorumChange{{
		Lost: true, Voters: 3, Heard: []string{witness.address},
		Silent: []string{silent.address + ": its process has ended", wiped.address + ": it has another disk"},
	}}, witness.quorum, "once")

	silent.start()
	s.run(s.now + time.Second)
	require.Len(t, witness.quorum, 2)
	require.False(t, witness.quorum[1].Lost)
}
