package simulation

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// loseTwo has a control machine go for good and an empty one come at another address, and another be lost when the first counts as lost no more.
// It says how long after that no order was acknowledged, by the machines that run: operators who wait for those that are gone say nothing of the core.
func loseTwo(t *testing.T, seed uint64, controls int, planned bool, m mutant) (outage time.Duration, described string) {
	w := newWorld(seed, worldSettings{controls: controls, edges: 2, stores: 2, zones: 1, faultTolerance: 1, heartbeatMs: 600, asksRunning: true}, m)
	w.found()
	w.play(5 * time.Second)
	w.replace("replaced", planned)
	require.True(t, w.awaits(10*time.Second, func() bool { return w.counts["replaced"] > 0 }))
	w.play(lossEvery + 200*time.Millisecond)
	w.anyControl().end(true)
	w.play(2 * contact)
	w.close()
	require.Empty(t, w.broken)
	return w.now - w.history.newest, w.describe()
}

// TestASecondLossAfterAReplacementLeavesAMajority has the second machine go as soon as the first no longer counts as lost.
func TestASecondLossAfterAReplacementLeavesAMajority(t *testing.T) {
	for _, controls := range []int{3, 4, 5} {
		for _, planned := range []bool{false, true} {
			for seed := range uint64(10) {
				t.Run(fmt.Sprintf("%d, planned: %v, seed %d", controls, planned, seed+1), func(t *testing.T) {
					outage, described := loseTwo(t, seed+1, controls, planned, sound)
					require.Less(t, outage, converge, described)
				})
			}
		}
	}
}

// TestAVoteThatIsKeptTooLongIsCaught shows that the test above sees a machine that has gone count as a voter beside the one in its place, with the
// seeds in which the second to be lost is not the one that came.
func TestAVoteThatIsKeptTooLongIsCaught(t *testing.T) {
	caught := 0
	for seed := range uint64(10) {
		if outage, _ := loseTwo(t, seed+1, 3, false, keepsVotes); outage >= 2*contact {
			caught++
		}
	}
	require.GreaterOrEqual(t, caught, 5)
}
