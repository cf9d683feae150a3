package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestQuorumChangesAreReported stops two of three members, wipes the disk of one of them, and checks what the third
// reports for its log.
func TestQuorumChangesAreReported(t *testing.T) {
	s := steadyCore(t, 1, 3, 1)
	s.run(s.now + time.Second)
	observer, killed, wiped := s.members[0], s.members[1], s.members[2]
	require.Empty(t, observer.quorumChanges, "no change is reported while all voters are responsive")
	killed.kill()
	wiped.wipe()
	s.run(s.now + 100*time.Millisecond)
	wiped.start()
	s.run(s.now + quorumReportDelay/2)
	require.Empty(t, observer.quorumChanges, "the gap may be an ordinary failover")
	s.run(s.now + 2*quorumReportDelay)
	require.Equal(t, []quorumChange{{
		Unavailable: true, Voters: 3, Responsive: []string{observer.address},
		Unresponsive: []string{killed.address + ": its process has ended", wiped.address + ": its disk was replaced"},
	}}, observer.quorumChanges, "the change is reported once")

	killed.start()
	s.run(s.now + time.Second)
	require.Len(t, observer.quorumChanges, 2)
	require.False(t, observer.quorumChanges[1].Unavailable)
}
