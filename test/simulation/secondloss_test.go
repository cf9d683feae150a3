package simulation

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// loseTwoControls replaces a control machine with an empty one at another address, and powers off a second one, drawn by
// second, as soon as the first no longer counts as failed.
// Operators call only running machines, so that their timeouts at failed ones do not count as an outage of the core.
func loseTwoControls(t *testing.T, seed uint64, controls int, planned bool, m mutant, second func(*world) *machine) *world {
	w := newWorld(seed, worldSettings{controls: controls, edges: 2, stores: 2, zones: 1, faultTolerance: 1, heartbeatMs: 600, asksRunning: true}, m)
	w.bootstrap()
	w.runFor(5 * time.Second)
	w.replace("replaced", planned)
	require.True(t, w.runUntil(10*time.Second, func() bool { return w.counts["replaced"] > 0 }))
	w.runFor(lossInterval + 200*time.Millisecond)
	second(w).end(true)
	w.runFor(2 * contactBound)
	w.close()
	return w
}

// outage returns the time without an acknowledgement up to the end of the run.
func (w *world) outage() time.Duration { return w.now - w.history.lastAckAt }

// anyButReplacement returns a control machine other than the newest.
func (w *world) anyButReplacement() *machine {
	controls := w.controls()
	return controls[w.random.IntN(len(controls)-1)].machine
}

// TestSecondLossAfterReplacement checks that orders are still acknowledged when a second control machine fails as soon
// as the first no longer counts as failed.
func TestSecondLossAfterReplacement(t *testing.T) {
	for _, controls := range []int{3, 4, 5} {
		for _, planned := range []bool{false, true} {
			for seed := range uint64(10) {
				t.Run(fmt.Sprintf("%d, planned: %v, seed %d", controls, planned, seed+1), func(t *testing.T) {
					w := loseTwoControls(t, seed+1, controls, planned, noMutation, (*world).anyControl)
					require.Empty(t, w.violation)
					require.Less(t, w.outage(), convergeBound, w.debugString())
				})
			}
		}
	}
}

// TestMutationKeptVoteIsDetected checks that the test above detects a failed machine that still counts as a voter
// beside its replacement. It can be seen only if the second machine to fail is not the replacement. From then on nothing
// is acknowledged but what was already on its way to an operator. If that is an order which not all edges have yet, they
// never get it, and the world ends with that violation.
func TestMutationKeptVoteIsDetected(t *testing.T) {
	for seed := range uint64(10) {
		w := loseTwoControls(t, seed+1, 3, false, keepsVotesTooLong, (*world).anyButReplacement)
		if w.violation != "" {
			require.Contains(t, w.violation, "serves configuration", "seed %d", seed+1)
			require.GreaterOrEqual(t, w.outage(), convergeBound, "seed %d", seed+1)
			continue
		}
		require.GreaterOrEqual(t, w.outage(), 2*contactBound-operatorTimeout, "seed %d: %s", seed+1, w.debugString())
	}
}
